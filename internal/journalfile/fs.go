package journalfile

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
)

// Disk is a directory as a log uses it. All names are plain file names.
type Disk interface {
	// List returns the names of the files in the directory, sorted.
	List() ([]string, error)
	// Read returns a file's whole content.
	Read(name string) ([]byte, error)
	// Create creates a file for appending; it is an error if the file exists.
	Create(name string) (File, error)
	// Reserve creates a file of this many zeros and a footer, to be written from its start; it is an error if it exists.
	Reserve(name string, size int64, footer []byte) (File, error)
	// Append opens an existing file for appending, truncated to a size.
	Append(name string, size int64) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes created, renamed and removed names durable.
	Sync() error
}

// File is an open file of a Disk.
type File interface {
	io.Writer
	// Sync makes written data durable. After an error, nothing written since the last successful Sync can be relied on.
	Sync() error
	Close() error
}

// Dir returns a directory of the file system as a Disk. It creates the directory if necessary.
func Dir(path string) (Disk, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("log directory: %w", err)
	}
	return dir(path), nil
}

type dir string

func (d dir) path(name string) string { return filepath.Join(string(d), name) }

func (d dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

func (d dir) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

func (d dir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
}

func (d dir) Reserve(name string, size int64, footer []byte) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, err
	}
	if _, err := f.WriteAt(footer, size); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (d dir) Append(name string, size int64) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	if err := f.Truncate(size); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (d dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

func (d dir) Remove(name string) error {
	if err := os.Remove(d.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

func (d dir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
