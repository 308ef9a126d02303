// Package storage makes the entries of a core member durable: a log in checksummed
// segments with snapshots beside it, in one folder that belongs to one process.
//
// Open reads the folder and builds the statestore.Store from it. Run, on a
// goroutine of its own, commits what Append, Snapshot and Wipe enqueue, as many
// entries with one sync as have gathered since the last; a Listener hears how that
// goes. Close ends it.
//
// What holds:
//   - An entry's done function is handed to the Listener only after the entry is synced.
//   - A log that is damaged before its end is never read as a shorter one: the disk
//     begins again, empty and under a new identity, and the files are quarantined.
//   - A write that fails is a state that can end, see recovery.go: nothing that was
//     held up is acknowledged before all of it is written anew and synced.
//
// The package neither knows what entries mean nor who sends them; it is the store
// that applies them. It keeps no copy of the state: a snapshot's entries are given to it.
package storage

import (
	"time"

	"github.com/go-faster/errors"
)

// Causes that errors of this package wrap; test for them with errors.Is.
var (
	// ErrDamaged tells that a log is damaged before its end, or lacks what it had
	// synced. Open handles it itself; it is seen only in logs.
	ErrDamaged = errors.New("log damaged before its end")
	// ErrFormat tells that the folder was written by another version of the
	// program. The folder is left as it is.
	ErrFormat = errors.New("written by another version of the program")
	// ErrInUse tells that another process holds the folder's lock.
	ErrInUse = errors.New("the data folder is in use by another process")
)

// Error is a failed operation on the folder or on one of its files.
type Error struct {
	Op   string // what was tried: "write", "sync", …
	File string // its name within the folder; "" for the folder itself
	Err  error  // the cause
}

// Error tells the operation, the file and the cause.
func (e *Error) Error() string {
	file := "data folder"
	if e.File != "" {
		file = e.File
	}
	return "disk failed: " + e.Op + " " + file + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// failed wraps an error of the file system; nil stays nil.
func failed(op, file string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, File: file, Err: err}
}

// Listener hears from Run, on Run's goroutine, in the order in which things
// happened. Its methods must not wait for Run.
type Listener interface {
	// Committed tells that entries were synced within this time. done are the
	// functions given with them, to be called in this order. Reads that waited
	// for earlier entries come with entries 0.
	Committed(entries int, took time.Duration, done []func())
	// Failed tells that writes or syncs fail; they are tried again until Recovered.
	Failed(cause error)
	// Lost tells that the disk lacks what it had acknowledged. It takes nothing
	// more before a Wipe.
	Lost()
	// Recovered tells that all that was held up is synced.
	Recovered()
}

// EventLog takes one event and its keys and values, for operators.
type EventLog func(event string, keysAndValues ...any)

const (
	// segmentBytes is the size at which a segment is closed: small enough that
	// the files before a snapshot are soon removed.
	segmentBytes = 8 << 20
	// quarantineBytes bounds what is kept of a damaged disk's files, until the next
	// snapshot; a disk may hold 128 MB in all.
	quarantineBytes = 8 << 20
	// MinRetryDelay is the wait before a failed disk is tried again, doubled each time.
	MinRetryDelay = 100 * time.Millisecond
	// MaxRetryDelay is the longest such wait: the member is missed meanwhile.
	MaxRetryDelay = time.Second
)
