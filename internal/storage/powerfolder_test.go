package storage

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
)

// powerFolder is a data folder whose content survives a loss of power only as
// far as it was synced: of each write since a file's last sync, and of each file
// that was made, renamed or removed since the folder's, anything may remain.
type powerFolder struct {
	now     map[string]*powerFile // as a process sees it
	lasting map[string]*powerFile // what is sure to be there after a loss
	changes []entryChange         // since the folder's last sync
	after   func()                // called after each operation that changes anything
}

type powerFile struct {
	now     []byte
	lasting []byte
	changes []contentChange // since the file's last sync
}

type entryChange struct {
	kind     string // made, renamed or removed
	name, to string
	file     *powerFile
}

// contentChange is a write at the file's end, or a cut where data is nil.
type contentChange struct {
	at   int
	data []byte
}

func newPowerFolder() *powerFolder {
	return &powerFolder{now: map[string]*powerFile{}, lasting: map[string]*powerFile{}, after: func() {}}
}

// clone copies the folder as it stands, with all that isn't synced: what the next
// process finds where the last one was killed.
func (f *powerFolder) clone() *powerFolder {
	copies := map[*powerFile]*powerFile{}
	copyOf := func(file *powerFile) *powerFile {
		if copies[file] == nil {
			copies[file] = &powerFile{now: slices.Clone(file.now), lasting: slices.Clone(file.lasting), changes: slices.Clone(file.changes)}
		}
		return copies[file]
	}
	out := newPowerFolder()
	for name, file := range f.now {
		out.now[name] = copyOf(file)
	}
	for name, file := range f.lasting {
		out.lasting[name] = copyOf(file)
	}
	for _, change := range f.changes {
		change.file = copyOf(change.file)
		out.changes = append(out.changes, change)
	}
	return out
}

func (f *powerFolder) List() ([]string, error) { return slices.Sorted(maps.Keys(f.now)), nil }

func (f *powerFolder) Size(name string) (int64, error) {
	b, err := f.Read(name)
	return int64(len(b)), err
}

func (f *powerFolder) Read(name string) ([]byte, error) {
	if file := f.now[name]; file != nil {
		return slices.Clone(file.now), nil
	}
	return nil, fs.ErrNotExist
}

func (f *powerFolder) Create(name string) (file, error) {
	if f.now[name] != nil {
		return nil, fs.ErrExist
	}
	file := &powerFile{}
	f.now[name] = file
	f.changes = append(f.changes, entryChange{kind: "made", name: name, file: file})
	f.after()
	return &powerHandle{folder: f, file: file}, nil
}

func (f *powerFolder) Open(name string) (file, error) {
	if f.now[name] == nil {
		return nil, fs.ErrNotExist
	}
	return &powerHandle{folder: f, file: f.now[name]}, nil
}

func (f *powerFolder) Rename(from, to string) error {
	file := f.now[from]
	if file == nil {
		return fs.ErrNotExist
	}
	delete(f.now, from)
	f.now[to] = file
	f.changes = append(f.changes, entryChange{kind: "renamed", name: from, to: to, file: file})
	f.after()
	return nil
}

func (f *powerFolder) Remove(name string) error {
	if file := f.now[name]; file != nil {
		delete(f.now, name)
		f.changes = append(f.changes, entryChange{kind: "removed", name: name, file: file})
		f.after()
	}
	return nil
}

func (f *powerFolder) Sync() error {
	f.lasting, f.changes = maps.Clone(f.now), nil
	f.after()
	return nil
}

// powerHandle is an open file.
type powerHandle struct {
	folder *powerFolder
	file   *powerFile
	closed bool
}

var errClosed = errors.New("the file is closed")

func (h *powerHandle) Write(b []byte) (int, error) {
	if h.closed {
		return 0, errClosed
	}
	h.file.changes = append(h.file.changes, contentChange{len(h.file.now), slices.Clone(b)})
	h.file.now = append(h.file.now, b...)
	h.folder.after()
	return len(b), nil
}

func (h *powerHandle) Truncate(size int64) error {
	if int(size) < len(h.file.now) {
		h.file.changes = append(h.file.changes, contentChange{at: int(size)})
		h.file.now = h.file.now[:size]
		h.folder.after()
	}
	return nil
}

// Sync makes the content last, and with it the name of a new file.
func (h *powerHandle) Sync() error {
	h.file.lasting, h.file.changes = slices.Clone(h.file.now), nil
	f := h.folder
	f.changes = slices.DeleteFunc(f.changes, func(c entryChange) bool {
		made := c.kind == "made" && c.file == h.file
		if made {
			f.lasting[c.name] = c.file
		}
		return made
	})
	f.after()
	return nil
}

func (h *powerHandle) Close() error {
	h.closed = true
	return nil
}

// lossChoices walks through all that a loss of power may leave: each pick is one
// thing that turns out one of several ways.
type lossChoices struct {
	path, widths []int
	at           int
	everyByte    bool // the last write may tear at any byte, not only in its middle
	gone         bool // a file that was being renamed is there under neither name
}

func (c *lossChoices) pick(ways int) int {
	if c.at == len(c.path) {
		c.path, c.widths = append(c.path, 0), append(c.widths, ways)
	}
	c.at++
	return c.path[c.at-1]
}

// next moves on to the next combination; false after the last.
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

// eachLoss calls visit with every folder that a loss of power now may leave.
// With gone, a file that was renamed may have been lost altogether.
func (f *powerFolder) eachLoss(everyByte bool, visit func(left *powerFolder, gone bool)) {
	for c := (&lossChoices{everyByte: everyByte}); ; {
		left := f.lose(c)
		visit(left, c.gone)
		if !c.next() {
			return
		}
	}
}

func (f *powerFolder) lose(c *lossChoices) *powerFolder {
	lasting := maps.Clone(f.lasting)
	forget := func(name string, file *powerFile) {
		if lasting[name] == file {
			delete(lasting, name)
		}
	}
	for _, change := range f.changes {
		switch change.kind {
		case "made":
			if c.pick(2) == 1 {
				lasting[change.name] = change.file
			}
		case "removed":
			if c.pick(2) == 1 {
				forget(change.name, change.file)
			}
		case "renamed":
			switch c.pick(3) {
			case 1:
				forget(change.name, change.file)
				lasting[change.to] = change.file
			case 2:
				forget(change.name, change.file)
				delete(lasting, change.to)
				c.gone = true
			}
		}
	}
	left := newPowerFolder()
	for _, name := range slices.Sorted(maps.Keys(lasting)) {
		content := lasting[name].lose(c)
		file := &powerFile{now: content, lasting: slices.Clone(content)}
		left.now[name], left.lasting[name] = file, file
	}
	return left
}

// lose gives what is left of a file's content.
func (file *powerFile) lose(c *lossChoices) []byte {
	content := slices.Clone(file.lasting)
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
			from = torn[at] // its beginning reads as zeros
		}
		for len(content) < change.at+len(data) {
			content = append(content, 0)
		}
		copy(content[change.at+from:], data[from:])
	}
	return content
}
