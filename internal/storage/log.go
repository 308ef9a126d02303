package storage

import (
	"bufio"
	"os"
	"slices"
	"sync"
	"time"

	"otterchute/internal/statestore"
)

// Log is the durable log of one process. Append, Snapshot and Wipe may be called from any
// goroutine and don't block; everything else happens on Run's goroutine.
type Log struct {
	identity
	folder   folder
	lock     *os.File
	listener Listener
	events   EventLog

	mu      sync.Mutex
	wake    chan struct{}
	pending []operation
	closed  bool
	stopped chan struct{}

	snapshots       sync.WaitGroup // snapshots that are being written
	file            file           // the current segment
	baseSegment     uint64         // the number at which the loaded snapshot or segments begin
	segment         uint64
	syncedBytes     int64 // synced bytes of the segment
	batch           uint64
	uncommitted     []operation   // pending since the disk failed
	startErr        error         // why the first segment could not be created
	needsTrim       bool          // the segment's tail is still to be truncated and the rest synced
	firstRetryDelay time.Duration // the first wait after a failure
}

// operation is one append, snapshot or wipe that Run has to execute.
type operation struct {
	entries   []statestore.Entry
	done      func()
	snapshot  bool   // entries are a whole store
	newDiskID uint64 // the new disk id of a wipe, else 0
}

func newLog(f folder, events EventLog) *Log {
	return &Log{
		folder: f, events: events, listener: nopListener{}, firstRetryDelay: MinRetryDelay,
		wake: make(chan struct{}, 1), stopped: make(chan struct{}),
	}
}

// nopListener is the Listener until Run is called. It does nothing.
type nopListener struct{}

func (nopListener) Committed(int, time.Duration, []func()) {}
func (nopListener) Failed(error)                           {}
func (nopListener) Lost()                                  {}
func (nopListener) Recovered()                             {}

// ID returns the disk's id. Call it before Run: a wipe changes the id.
func (l *Log) ID() uint64 { return l.id }

// Append enqueues entries. Once they and all earlier ones are synced, done is passed to the
// Listener. Without entries, done is passed once all earlier entries are synced.
func (l *Log) Append(entries []statestore.Entry, done func()) {
	l.enqueue(operation{entries: entries, done: done})
}

// Snapshot enqueues a snapshot: the entries that rebuild the whole store, including all
// that was appended before. Older segments are removed once it is complete; until then,
// and if writing it fails, they hold everything.
func (l *Log) Snapshot(entries []statestore.Entry) {
	l.enqueue(operation{entries: entries, snapshot: true})
}

// Wipe enqueues a wipe, which empties the disk and gives it a new id.
func (l *Log) Wipe(id uint64) { l.enqueue(operation{newDiskID: id}) }

func (l *Log) enqueue(op operation) {
	l.mu.Lock()
	l.pending = append(l.pending, op)
	l.mu.Unlock()
	l.wakeRun()
}

func (l *Log) wakeRun() {
	select {
	case l.wake <- struct{}{}:
	default: // a signal is pending
	}
}

// Close makes Run complete the enqueued operations, unless the disk fails, and waits until
// Run has returned.
func (l *Log) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.wakeRun()
	<-l.stopped
	l.snapshots.Wait()
	if l.file != nil {
		_ = l.file.Close() // all acknowledged entries are synced
	}
	_ = l.lock.Close() // nothing was written
}

// Run commits the entries enqueued since the last sync as one batch, repeatedly until
// Close. After a failure nothing is acknowledged until all pending entries are written.
func (l *Log) Run(listener Listener) {
	defer close(l.stopped)
	l.listener = listener
	if l.startErr != nil && !l.retryUntilRecovered(l.startErr) {
		return
	}
	for range l.wake {
		operations, closed := l.takePending()
		if err := l.commit(operations); err != nil && !l.retryUntilRecovered(err) {
			return
		}
		if closed {
			return
		}
	}
}

// takePending removes and returns the pending operations.
func (l *Log) takePending() (operations []operation, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	operations, closed = l.pending, l.closed
	l.pending = nil
	return operations, closed
}

// commit executes operations in order. If one fails, it and the following ones are kept
// in uncommitted.
func (l *Log) commit(operations []operation) error {
	for len(operations) > 0 {
		count, err := l.commitNext(operations)
		if err != nil {
			l.uncommitted = operations
			return err
		}
		operations = operations[count:]
	}
	l.uncommitted = nil
	return nil
}

// commitNext executes the first operations that can be committed together, and returns
// their number.
func (l *Log) commitNext(operations []operation) (count int, err error) {
	appends := slices.IndexFunc(operations, func(op operation) bool { return op.snapshot || op.newDiskID != 0 })
	if appends < 0 {
		appends = len(operations)
	}
	switch {
	case appends > 0:
		return appends, l.writeBatch(operations[:appends])
	case operations[0].newDiskID != 0:
		return 1, l.wipeDisk(operations[0].newDiskID)
	default:
		return 1, l.takeSnapshot(operations[0].entries)
	}
}

// writeBatch writes and syncs the entries of appends, and notifies the Listener.
func (l *Log) writeBatch(appends []operation) error {
	var entries []statestore.Entry
	done := make([]func(), 0, len(appends))
	for _, op := range appends {
		entries = append(entries, op.entries...)
		done = append(done, op.done)
	}
	took := time.Duration(0)
	if len(entries) > 0 {
		var err error
		if took, err = l.writeEntries(entries); err != nil {
			return err
		}
	}
	l.listener.Committed(len(entries), took, done)
	return nil
}

// writeEntries writes entries as the next batch and syncs it. It returns how long the disk
// took.
func (l *Log) writeEntries(entries []statestore.Entry) (took time.Duration, err error) {
	if l.syncedBytes > segmentBytes {
		if err := l.roll(); err != nil {
			return 0, err
		}
	}
	l.batch++
	var b []byte
	for i, e := range entries {
		b = appendRecord(b, e, l.batch, i == len(entries)-1)
	}
	began := time.Now()
	if _, err := l.file.Write(b); err != nil {
		return 0, wrapError("write", segmentName(l.segment), err)
	}
	if err := l.file.Sync(); err != nil {
		return 0, wrapError("sync", segmentName(l.segment), err)
	}
	l.syncedBytes += int64(len(b))
	return time.Since(began), nil
}

// roll closes the current segment and creates the next one.
func (l *Log) roll() error {
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return wrapError("close", segmentName(l.segment), err)
		}
	}
	l.file = nil
	name := segmentName(l.segment + 1)
	f, err := l.folder.Create(name)
	if err != nil {
		return wrapError("create", name, err)
	}
	if err := l.folder.Sync(); err != nil {
		_ = f.Close() // nothing was written
		return wrapError("sync", "", err)
	}
	l.file, l.syncedBytes = f, 0
	l.segment++
	return nil
}

// takeSnapshot begins a new segment and writes the snapshot in the background, while
// appends continue. Older segments are removed once the snapshot is durable.
func (l *Log) takeSnapshot(entries []statestore.Entry) error {
	l.snapshots.Wait() // only one at a time
	if err := l.roll(); err != nil {
		return err
	}
	number, batch := l.segment, max(l.batch, 1)
	l.snapshots.Add(1)
	go func() {
		defer l.snapshots.Done()
		if err := l.writeSnapshot(number, batch, entries); err != nil { // the segments still hold everything
			l.events("snapshot_failed", "err", err.Error())
		}
	}()
	return nil
}

// writeSnapshot writes a snapshot that replaces all segments with lower numbers. Its
// records carry the number of the last batch in them.
func (l *Log) writeSnapshot(number, batch uint64, entries []statestore.Entry) error {
	err := l.writeAtomically(snapshotName(number), func(w *bufio.Writer) {
		var b []byte
		for i, e := range entries {
			b = appendRecord(b[:0], e, batch, i == len(entries)-1)
			_, _ = w.Write(b) // Flush returns the first error
		}
	})
	if err == nil {
		err = l.removeBefore(number)
	}
	if err == nil {
		err = l.removeQuarantined()
	}
	return err
}

// writeAtomically writes a file under a temporary name and renames it once it is synced.
func (l *Log) writeAtomically(name string, write func(w *bufio.Writer)) error {
	temporary := name + temporarySuffix
	if err := l.writeFile(temporary, write); err != nil {
		_ = l.folder.Remove(temporary) // frees the space, best effort
		return err
	}
	if err := l.folder.Rename(temporary, name); err != nil {
		return wrapError("rename", name, err)
	}
	return wrapError("sync", "", l.folder.Sync())
}

// writeFile writes and syncs a new file, replacing any file of that name.
func (l *Log) writeFile(name string, write func(w *bufio.Writer)) error {
	if err := l.folder.Remove(name); err != nil { // left by an earlier attempt
		return wrapError("remove", name, err)
	}
	f, err := l.folder.Create(name)
	if err != nil {
		return wrapError("create", name, err)
	}
	w := bufio.NewWriterSize(f, statestore.ChunkBytes)
	write(w)
	err = wrapError("write", name, w.Flush()) // returns the first error of any write
	if err == nil {
		err = wrapError("sync", name, f.Sync())
	}
	if closeErr := f.Close(); err == nil {
		err = wrapError("close", name, closeErr)
	}
	return err
}
