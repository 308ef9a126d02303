package storage

import (
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// folder contains the files of a log. Its methods guarantee no more durability than the
// system calls behind them: a file's Sync makes its content and a new file's name
// durable, the folder's Sync makes renames and removals durable. Tests substitute a
// model of power losses.
type folder interface {
	List() ([]string, error)
	Size(name string) (int64, error)
	Read(name string) ([]byte, error)
	Create(name string) (file, error) // fails if the file exists
	Open(name string) (file, error)   // for appending
	Rename(from, to string) error
	Remove(name string) error
	Sync() error
}

// file is a file that is written sequentially or appended to.
type file interface {
	Write(b []byte) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// osFolder is a folder of the file system.
type osFolder string

func (f osFolder) path(name string) string { return filepath.Join(string(f), name) }

// List returns the names of all files and folders in the folder.
func (f osFolder) List() ([]string, error) {
	list, err := os.ReadDir(string(f))
	names := make([]string, 0, len(list))
	for _, entry := range list {
		names = append(names, entry.Name())
	}
	return names, err
}

// Size returns a file's size in bytes.
func (f osFolder) Size(name string) (int64, error) {
	info, err := os.Stat(f.path(name))
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Read returns a file's content.
func (f osFolder) Read(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

// Create creates a new file.
func (f osFolder) Create(name string) (file, error) {
	return openFile(f.path(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY)
}

// Open opens an existing file for appending.
func (f osFolder) Open(name string) (file, error) {
	return openFile(f.path(name), os.O_WRONLY|os.O_APPEND)
}

// Rename renames a file.
func (f osFolder) Rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

// Remove removes a file, or a folder with its contents. A missing file is no error.
func (f osFolder) Remove(name string) error { return os.RemoveAll(f.path(name)) }

// Sync makes renames and removals durable.
func (f osFolder) Sync() error {
	dir, err := os.Open(string(f))
	if err != nil {
		return err
	}
	err = dir.Sync()
	if closeErr := dir.Close(); err == nil {
		err = closeErr
	}
	return err
}

// dataFile is a file whose Sync makes its content and size durable, but not its
// timestamps.
type dataFile struct{ *os.File }

// Sync makes the written content durable.
func (f dataFile) Sync() error { return unix.Fdatasync(int(f.Fd())) }

func openFile(path string, flags int) (file, error) {
	f, err := os.OpenFile(path, flags, 0o600)
	if err != nil {
		return nil, err
	}
	return dataFile{f}, nil
}
