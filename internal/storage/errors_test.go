package storage

import (
	"io/fs"
	"testing"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
)

// Error texts name the operation and the file, and errors wrap their cause.
func TestErrors(t *testing.T) {
	for _, c := range []struct {
		err  error
		text string
		is   error
	}{
		{wrapError("sync", "", fs.ErrInvalid), "disk failed: sync data folder: invalid argument", fs.ErrInvalid},
		{wrapError("read", "log-1", ErrFormat),
			"disk failed: read log-1: written by another version of the program", ErrFormat},
	} {
		t.Run(c.text, func(t *testing.T) {
			must.EqError(t, c.err, c.text)
			must.ErrorIs(t, c.err, c.is)
			var typed *Error
			must.True(t, errors.As(c.err, &typed))
		})
	}
	must.NoError(t, wrapError("sync", "", nil))
}
