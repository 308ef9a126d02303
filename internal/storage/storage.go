// Package storage makes the entries of a core member durable: a log of checksummed
// segments, and snapshots, in a data folder that is used by one process at a time.
//
// Open reads the folder and builds the statestore.Store from it. Run, on a goroutine of
// its own, commits the operations that Append, Snapshot and Wipe enqueue, with one sync
// for all entries enqueued since the last sync, and notifies a Listener. Close ends it.
//
// Guarantees:
//   - An entry's done function is passed to the Listener only after the entry is synced.
//   - A log that is damaged before its end is never read as a shorter one: the disk
//     begins again, empty and under a new identity, and the files are quarantined.
//   - After a failed write nothing is acknowledged until all pending entries are written
//     again and synced, see recovery.go.
//
// The package does not interpret entries, which the store applies, and holds no copy of
// the state: the caller passes the entries of a snapshot.
package storage

import (
	"time"

	"github.com/go-faster/errors"
)

// Errors that are wrapped by errors of this package; test for them with errors.Is.
var (
	// ErrDamaged means that a log is damaged before its end, or lacks data that was
	// synced. Open handles it; it only appears in logs.
	ErrDamaged = errors.New("log damaged before its end")
	// ErrFormat means that the folder was written by another version of the program.
	// The folder is left unchanged.
	ErrFormat = errors.New("written by another version of the program")
	// ErrInUse means that another process holds the folder's lock.
	ErrInUse = errors.New("the data folder is in use by another process")
)

// Error describes a failed operation on the data folder or one of its files.
type Error struct {
	Op   string // the operation: "write", "sync", …
	File string // the file's name in the folder; "" for the folder itself
	Err  error  // the cause
}

// Error returns the operation, the file and the cause.
func (e *Error) Error() string {
	file := "data folder"
	if e.File != "" {
		file = e.File
	}
	return "disk failed: " + e.Op + " " + file + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// wrapError wraps an error of the file system. It returns nil if err is nil.
func wrapError(op, file string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, File: file, Err: err}
}

// Listener is notified by Run, on Run's goroutine, in the order of events. Its methods
// must not wait for Run.
type Listener interface {
	// Committed is called after entries were synced, which took this long. The caller's
	// done functions are to be called in this order. For reads that waited for earlier
	// entries, the number of entries is 0.
	Committed(entries int, took time.Duration, done []func())
	// Failed is called when a write or sync fails. It is retried until Recovered or Lost.
	Failed(cause error)
	// Lost is called when the disk lacks data that was acknowledged. The disk accepts nothing until
	// it is wiped.
	Lost()
	// Recovered is called once all pending entries are synced.
	Recovered()
}

// EventLog logs one event with keys and values for operators.
type EventLog func(event string, keysAndValues ...any)

const (
	// segmentBytes is the size at which a segment is closed: small enough that
	// the files before a snapshot are soon removed.
	segmentBytes = 8 << 20
	// quarantineBytes bounds the quarantined files of a damaged disk, which are kept
	// until the next snapshot. A disk may hold 128 MB in total.
	quarantineBytes = 8 << 20
	// MinRetryDelay is the wait before the first retry after a failure; it doubles each time.
	MinRetryDelay = 100 * time.Millisecond
	// MaxRetryDelay bounds that wait, since the member is unavailable meanwhile.
	MaxRetryDelay = time.Second
)
