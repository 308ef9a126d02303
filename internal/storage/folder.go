package storage

import (
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// folder is where a log keeps its files. Its methods persist what the system
// calls of the same names do, and no more: a file's content by the file's own
// Sync, a new file by that too, a rename or removal by the folder's. Tests put a
// model of power losses in its place.
type folder interface {
	List() ([]string, error)
	Size(name string) (int64, error)
	Read(name string) ([]byte, error)
	Create(name string) (file, error) // fails where the file exists
	Open(name string) (file, error)   // for appending
	Rename(from, to string) error
	Remove(name string) error
	Sync() error
}

// file is a file that is written from its start or its end on.
type file interface {
	Write(b []byte) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// osFolder is a folder of the file system.
type osFolder string

func (f osFolder) path(name string) string { return filepath.Join(string(f), name) }

// List returns the names of all that is in the folder.
func (f osFolder) List() ([]string, error) {
	list, err := os.ReadDir(string(f))
	names := make([]string, 0, len(list))
	for _, entry := range list {
		names = append(names, entry.Name())
	}
	return names, err
}

// Size returns a file's length in bytes.
func (f osFolder) Size(name string) (int64, error) {
	info, err := os.Stat(f.path(name))
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Read returns a file's content.
func (f osFolder) Read(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

// Create makes a new file.
func (f osFolder) Create(name string) (file, error) {
	return openFile(f.path(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY)
}

// Open opens a file that exists.
func (f osFolder) Open(name string) (file, error) {
	return openFile(f.path(name), os.O_WRONLY|os.O_APPEND)
}

// Rename gives a file another name.
func (f osFolder) Rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

// Remove removes a file, or a folder with all that is in it.
func (f osFolder) Remove(name string) error { return os.RemoveAll(f.path(name)) }

// Sync makes renames and removals durable.
func (f osFolder) Sync() error {
	dir, err := os.Open(string(f))
	if err != nil {
		return err
	}
	err = dir.Sync()
	if closing := dir.Close(); err == nil {
		err = closing
	}
	return err
}

// dataFile is a file whose Sync covers its content and its length, but not the
// times of its use.
type dataFile struct{ *os.File }

// Sync makes the content written so far durable.
func (f dataFile) Sync() error { return unix.Fdatasync(int(f.Fd())) }

func openFile(path string, flags int) (file, error) {
	f, err := os.OpenFile(path, flags, 0o600)
	if err != nil {
		return nil, err
	}
	return dataFile{f}, nil
}
