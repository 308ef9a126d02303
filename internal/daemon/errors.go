package daemon

import "github.com/go-faster/errors"

// Each layer wraps the errors of the layers below it in its own.
var (
	errSettings = errors.New("settings")   // the settings of the process
	errOrder    = errors.New("order")      // start and stop orders to workers
	errDraft    = errors.New("import")     // drafts of a configuration from other formats
	errClient   = errors.New("downstream") // calls of the command line to a daemon
)
