// Package store keeps the persistent state of a voter in a data folder: its
// identity, the log and the newest snapshot. Save returns only after the written
// files are synced, and the folder too where file names changed.
package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// Folder abstracts the file system operations that the store needs. Names have no
// directory part. Created, renamed and removed names are durable only after Sync,
// and content only after File.Sync.
type Folder interface {
	// Create creates a file, which must not exist yet.
	Create(name string) (File, error)
	// Append opens a file for writing at its end.
	Append(name string) (File, error)
	Read(name string) ([]byte, error)
	List() ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	Sync() error
	// Lock prevents other processes from using the folder until the result is
	// closed.
	Lock() (io.Closer, error)
}

// File is an open file of a Folder.
type File interface {
	io.Writer
	Truncate(size int64) error
	Sync() error
	Close() error
}

// Dir is the Folder with this path in the operating system's file system.
type Dir string

const (
	filePerm = 0o600
	dirPerm  = 0o700
)

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Make creates the folder and syncs its parent, unless the folder exists.
func (d Dir) Make() error {
	err := os.Mkdir(string(d), dirPerm)
	if errors.Is(err, os.ErrExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	return Dir(filepath.Dir(filepath.Clean(string(d)))).Sync()
}

// Create implements Folder.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, filePerm)
}

// Append implements Folder.
func (d Dir) Append(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_WRONLY|os.O_APPEND, filePerm)
}

// Read implements Folder.
func (d Dir) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// List implements Folder.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, nil
}

// Rename implements Folder.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove implements Folder.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// Sync implements Folder.
func (d Dir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock implements Folder. The operating system releases the lock when the process
// ends.
func (d Dir) Lock() (io.Closer, error) {
	f, err := os.Open(string(d))
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("data folder is in use by another process: %w", err)
	}
	return f, nil
}
