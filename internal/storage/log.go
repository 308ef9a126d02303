package storage

import (
	"bufio"
	"os"
	"slices"
	"sync"
	"time"

	"otterchute/internal/statestore"
)

// Log is the disk of one process. Append, Snapshot and Wipe may be called from any
// goroutine and don't wait; all else happens on the goroutine of Run.
type Log struct {
	identity
	folder   folder
	lock     *os.File
	listener Listener
	events   EventLog

	mu      sync.Mutex
	wake    chan struct{}
	pending []job
	closed  bool
	ended   chan struct{}

	snapshots  sync.WaitGroup // being written
	file       file           // of the segment
	base       uint64         // what was read began at this number
	segment    uint64
	size       int64 // bytes of the segment that are synced
	batch      uint64
	unfinished []job         // not done since the disk failed
	startErr   error         // why the first segment could not be begun
	untrimmed  bool          // the segment still has a tail to be cut, or to be synced
	retry      time.Duration // the first wait after a failure
}

// job is one thing for Run to do.
type job struct {
	entries  []statestore.Entry
	done     func()
	snapshot bool   // entries are a whole store
	wipe     uint64 // the id of the empty disk to begin; 0 for none
}

func newLog(f folder, events EventLog) *Log {
	return &Log{
		folder: f, events: events, listener: ignore{}, retry: MinRetryDelay,
		wake: make(chan struct{}, 1), ended: make(chan struct{}),
	}
}

// ignore is the Listener before Run.
type ignore struct{}

func (ignore) Committed(int, time.Duration, []func()) {}
func (ignore) Failed(error)                           {}
func (ignore) Lost()                                  {}
func (ignore) Recovered()                             {}

// ID is the id of the disk as it was opened. Whoever wipes it knows the next one.
func (l *Log) ID() uint64 { return l.id }

// Append enqueues entries. Once they and all before them are synced, done is given
// to the Listener. Without entries it is so once nothing before it is unsynced.
func (l *Log) Append(entries []statestore.Entry, done func()) {
	l.enqueue(job{entries: entries, done: done})
}

// Snapshot enqueues a snapshot: the entries that build the whole store, with all
// that was appended before. Older segments go once it is complete; until then, and
// if it can't be written, they still hold everything.
func (l *Log) Snapshot(entries []statestore.Entry) { l.enqueue(job{entries: entries, snapshot: true}) }

// Wipe enqueues that the disk becomes an empty one under a new id.
func (l *Log) Wipe(id uint64) { l.enqueue(job{wipe: id}) }

func (l *Log) enqueue(j job) {
	l.mu.Lock()
	l.pending = append(l.pending, j)
	l.mu.Unlock()
	l.signal()
}

// signal wakes Run.
func (l *Log) signal() {
	select {
	case l.wake <- struct{}{}:
	default: // it is awake
	}
}

// Close has Run do what is enqueued, unless the disk fails, and waits for it.
func (l *Log) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.signal()
	<-l.ended
	l.snapshots.Wait()
	if l.file != nil {
		_ = l.file.Close() // all that was acknowledged is synced
	}
	_ = l.lock.Close() // nothing was written to it
}

// Run commits what has gathered since the last sync as one batch, again and
// again, until Close. After a failure nothing is acknowledged until all that was
// held up is written.
func (l *Log) Run(listener Listener) {
	defer close(l.ended)
	l.listener = listener
	if l.startErr != nil && !l.recover(l.startErr) {
		return
	}
	for range l.wake {
		jobs, closed := l.takePending()
		if err := l.commit(jobs); err != nil && !l.recover(err) {
			return
		}
		if closed {
			return
		}
	}
}

// takePending takes the jobs that wait.
func (l *Log) takePending() (jobs []job, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	jobs, closed = l.pending, l.closed
	l.pending = nil
	return jobs, closed
}

// commit does jobs in their order. Those that are not done when it fails are kept
// in unfinished.
func (l *Log) commit(jobs []job) error {
	for len(jobs) > 0 {
		count, err := l.commitNext(jobs)
		if err != nil {
			l.unfinished = jobs
			return err
		}
		jobs = jobs[count:]
	}
	l.unfinished = nil
	return nil
}

// commitNext does as many of the first jobs as go together, and tells how many.
func (l *Log) commitNext(jobs []job) (count int, err error) {
	appends := slices.IndexFunc(jobs, func(j job) bool { return j.snapshot || j.wipe != 0 })
	if appends < 0 {
		appends = len(jobs)
	}
	switch {
	case appends > 0:
		return appends, l.writeBatch(jobs[:appends])
	case jobs[0].wipe != 0:
		return 1, l.wipeDisk(jobs[0].wipe)
	default:
		return 1, l.takeSnapshot(jobs[0].entries)
	}
}

// writeBatch writes and syncs the entries of appends, and tells the Listener.
func (l *Log) writeBatch(jobs []job) error {
	var entries []statestore.Entry
	done := make([]func(), 0, len(jobs))
	for _, j := range jobs {
		entries = append(entries, j.entries...)
		done = append(done, j.done)
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

// writeEntries writes entries as the next batch and syncs it, and tells how long
// the disk took.
func (l *Log) writeEntries(entries []statestore.Entry) (took time.Duration, err error) {
	if l.size > segmentBytes {
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
		return 0, failed("write", segmentName(l.segment), err)
	}
	if err := l.file.Sync(); err != nil {
		return 0, failed("sync", segmentName(l.segment), err)
	}
	l.size += int64(len(b))
	return time.Since(began), nil
}

// roll begins the next segment.
func (l *Log) roll() error {
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return failed("close", segmentName(l.segment), err)
		}
	}
	l.file = nil
	name := segmentName(l.segment + 1)
	f, err := l.folder.Create(name)
	if err != nil {
		return failed("create", name, err)
	}
	if err := l.folder.Sync(); err != nil {
		_ = f.Close() // it is empty
		return failed("sync", "", err)
	}
	l.file, l.size = f, 0
	l.segment++
	return nil
}

// takeSnapshot begins a new segment and writes the store's entries beside it, while
// appends go on; older segments go once it is synced under its name.
func (l *Log) takeSnapshot(entries []statestore.Entry) error {
	l.snapshots.Wait() // one at a time
	if err := l.roll(); err != nil {
		return err
	}
	number, batch := l.segment, max(l.batch, 1)
	l.snapshots.Add(1)
	go func() {
		defer l.snapshots.Done()
		if err := l.writeSnapshot(number, batch, entries); err != nil { // the segments still hold all
			l.events("snapshot_failed", "err", err.Error())
		}
	}()
	return nil
}

// writeSnapshot writes a snapshot that takes the place of all segments before a
// number. Its records carry the last batch of those.
func (l *Log) writeSnapshot(number, batch uint64, entries []statestore.Entry) error {
	err := l.writeSynced(snapshotName(number), func(w *bufio.Writer) {
		var b []byte
		for i, e := range entries {
			b = appendRecord(b[:0], e, batch, i == len(entries)-1)
			_, _ = w.Write(b) // Flush tells the first error
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

// writeSynced writes a file that gets its name only once it is complete and synced.
func (l *Log) writeSynced(name string, write func(w *bufio.Writer)) error {
	unfinished := name + unfinishedSuffix
	if err := l.writeFile(unfinished, write); err != nil {
		_ = l.folder.Remove(unfinished) // it would take room that others need
		return err
	}
	if err := l.folder.Rename(unfinished, name); err != nil {
		return failed("rename", name, err)
	}
	return failed("sync", "", l.folder.Sync())
}

// writeFile writes and syncs a new file in the place of any of that name.
func (l *Log) writeFile(name string, write func(w *bufio.Writer)) error {
	if err := l.folder.Remove(name); err != nil { // of an earlier try
		return failed("remove", name, err)
	}
	f, err := l.folder.Create(name)
	if err != nil {
		return failed("create", name, err)
	}
	w := bufio.NewWriterSize(f, statestore.ChunkBytes)
	write(w)
	err = failed("write", name, w.Flush()) // and with it the first error of any write
	if err == nil {
		err = failed("sync", name, f.Sync())
	}
	if closing := f.Close(); err == nil {
		err = failed("close", name, closing)
	}
	return err
}
