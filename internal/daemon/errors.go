package daemon

import "github.com/go-faster/errors"

// Each layer has its own errors; a layer turns those from below into its own.
var (
	errSettings = errors.New("settings")
	errOrder    = errors.New("order")
	errDraft    = errors.New("import")
	errClient   = errors.New("downstream")
)
