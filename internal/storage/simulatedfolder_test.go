package storage

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
)

// simulatedFolder simulates a data folder and power losses. Synced changes survive a power
// loss; any part of each write since a file's last sync, and of each file creation, rename
// and removal since the folder's last sync, may survive.
type simulatedFolder struct {
	current  map[string]*simulatedFile // as processes see it
	durable  map[string]*simulatedFile // certain to survive a power loss
	changes  []entryChange             // since the folder's last sync
	onChange func()                    // called after each change
}

type simulatedFile struct {
	current []byte
	durable []byte
	changes []contentChange // since the file's last sync
}

type entryChange struct {
	kind     string // made, renamed or removed
	name, to string
	file     *simulatedFile
}

// contentChange is a write at the file's end, or a truncation if data is nil.
type contentChange struct {
	at   int
	data []byte
}

func newSimulatedFolder() *simulatedFolder {
	return &simulatedFolder{
		current: map[string]*simulatedFile{}, durable: map[string]*simulatedFile{}, onChange: func() {},
	}
}

// clone copies the folder including unsynced changes, as the next process finds it after
// the current one was killed.
func (f *simulatedFolder) clone() *simulatedFolder {
	copies := map[*simulatedFile]*simulatedFile{}
	copyOf := func(file *simulatedFile) *simulatedFile {
		if copies[file] == nil {
			copies[file] = &simulatedFile{
				current: slices.Clone(file.current), durable: slices.Clone(file.durable), changes: slices.Clone(file.changes),
			}
		}
		return copies[file]
	}
	out := newSimulatedFolder()
	for name, file := range f.current {
		out.current[name] = copyOf(file)
	}
	for name, file := range f.durable {
		out.durable[name] = copyOf(file)
	}
	for _, change := range f.changes {
		change.file = copyOf(change.file)
		out.changes = append(out.changes, change)
	}
	return out
}

func (f *simulatedFolder) List() ([]string, error) { return slices.Sorted(maps.Keys(f.current)), nil }

func (f *simulatedFolder) Size(name string) (int64, error) {
	b, err := f.Read(name)
	return int64(len(b)), err
}

func (f *simulatedFolder) Read(name string) ([]byte, error) {
	if file := f.current[name]; file != nil {
		return slices.Clone(file.current), nil
	}
	return nil, fs.ErrNotExist
}

func (f *simulatedFolder) Create(name string) (file, error) {
	if f.current[name] != nil {
		return nil, fs.ErrExist
	}
	file := &simulatedFile{}
	f.current[name] = file
	f.changes = append(f.changes, entryChange{kind: "made", name: name, file: file})
	f.onChange()
	return &simulatedHandle{folder: f, file: file}, nil
}

func (f *simulatedFolder) Open(name string) (file, error) {
	if f.current[name] == nil {
		return nil, fs.ErrNotExist
	}
	return &simulatedHandle{folder: f, file: f.current[name]}, nil
}

func (f *simulatedFolder) Rename(from, to string) error {
	file := f.current[from]
	if file == nil {
		return fs.ErrNotExist
	}
	delete(f.current, from)
	f.current[to] = file
	f.changes = append(f.changes, entryChange{kind: "renamed", name: from, to: to, file: file})
	f.onChange()
	return nil
}

func (f *simulatedFolder) Remove(name string) error {
	if file := f.current[name]; file != nil {
		delete(f.current, name)
		f.changes = append(f.changes, entryChange{kind: "removed", name: name, file: file})
		f.onChange()
	}
	return nil
}

func (f *simulatedFolder) Sync() error {
	f.durable, f.changes = maps.Clone(f.current), nil
	f.onChange()
	return nil
}

// simulatedHandle is an open file.
type simulatedHandle struct {
	folder *simulatedFolder
	file   *simulatedFile
	closed bool
}

var errClosed = errors.New("the file is closed")

func (h *simulatedHandle) Write(b []byte) (int, error) {
	if h.closed {
		return 0, errClosed
	}
	h.file.changes = append(h.file.changes, contentChange{len(h.file.current), slices.Clone(b)})
	h.file.current = append(h.file.current, b...)
	h.folder.onChange()
	return len(b), nil
}

func (h *simulatedHandle) Truncate(size int64) error {
	if int(size) < len(h.file.current) {
		h.file.changes = append(h.file.changes, contentChange{at: int(size)})
		h.file.current = h.file.current[:size]
		h.folder.onChange()
	}
	return nil
}

// Sync makes the content durable, and the name of a new file.
func (h *simulatedHandle) Sync() error {
	h.file.durable, h.file.changes = slices.Clone(h.file.current), nil
	f := h.folder
	f.changes = slices.DeleteFunc(f.changes, func(c entryChange) bool {
		made := c.kind == "made" && c.file == h.file
		if made {
			f.durable[c.name] = c.file
		}
		return made
	})
	f.onChange()
	return nil
}

func (h *simulatedHandle) Close() error {
	h.closed = true
	return nil
}

// lossChoices enumerates the outcomes of a power loss as paths through a tree of choices:
// each call of pick is one choice.
type lossChoices struct {
	path, widths []int
	at           int
	everyByte    bool // writes may tear at any byte, not only in the middle
	gone         bool // a renamed file exists under neither name
}

func (c *lossChoices) pick(ways int) int {
	if c.at == len(c.path) {
		c.path, c.widths = append(c.path, 0), append(c.widths, ways)
	}
	c.at++
	return c.path[c.at-1]
}

// next advances to the next combination of choices. It returns false after the last.
func (c *lossChoices) next() bool {
	c.at, c.gone = 0, false
	for i := len(c.path) - 1; i >= 0; i-- {
		if c.path[i]++; c.path[i] < c.widths[i] {
			c.path, c.widths = c.path[:i+1], c.widths[:i+1]
			return true
		}
	}
	return false
}

// eachLoss calls visit with every folder that a power loss at this point may leave. gone
// is set if a renamed file was lost altogether.
func (f *simulatedFolder) eachLoss(everyByte bool, visit func(left *simulatedFolder, gone bool)) {
	for c := (&lossChoices{everyByte: everyByte}); ; {
		left := f.afterLoss(c)
		visit(left, c.gone)
		if !c.next() {
			return
		}
	}
}

// afterLoss returns the folder after a power loss with these choices.
func (f *simulatedFolder) afterLoss(c *lossChoices) *simulatedFolder {
	durable := maps.Clone(f.durable)
	forget := func(name string, file *simulatedFile) {
		if durable[name] == file {
			delete(durable, name)
		}
	}
	for _, change := range f.changes {
		switch change.kind {
		case "made":
			if c.pick(2) == 1 {
				durable[change.name] = change.file
			}
		case "removed":
			if c.pick(2) == 1 {
				forget(change.name, change.file)
			}
		case "renamed":
			switch c.pick(3) {
			case 1:
				forget(change.name, change.file)
				durable[change.to] = change.file
			case 2:
				forget(change.name, change.file)
				delete(durable, change.to)
				c.gone = true
			}
		}
	}
	left := newSimulatedFolder()
	for _, name := range slices.Sorted(maps.Keys(durable)) {
		content := durable[name].afterLoss(c)
		file := &simulatedFile{current: content, durable: slices.Clone(content)}
		left.current[name], left.durable[name] = file, file
	}
	return left
}

// afterLoss returns the file's content after a power loss with these choices.
func (file *simulatedFile) afterLoss(c *lossChoices) []byte {
	content := slices.Clone(file.durable)
	for _, change := range file.changes {
		if change.data == nil {
			if c.pick(2) == 1 {
				content = content[:min(change.at, len(content))]
			}
			continue
		}
		torn := []int{len(change.data) / 2}
		if c.everyByte {
			torn = nil
			for i := 1; i < len(change.data); i++ {
				torn = append(torn, i)
			}
		}
		way := c.pick(2 + 2*len(torn))
		if way == 0 {
			continue
		}
		data, from := change.data, 0
		if at := (way - 2) / 2; way >= 2 && way%2 == 0 {
			data = data[:torn[at]] // its end is missing
		} else if way >= 2 {
			from = torn[at] // its beginning is zeros
		}
		for len(content) < change.at+len(data) {
			content = append(content, 0)
		}
		copy(content[change.at+from:], data[from:])
	}
	return content
}
