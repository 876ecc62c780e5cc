package wal

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the access to the files of one folder. Names have no directory part.
type FS interface {
	// Lock locks name until the result is closed. It returns *LockedError when another process holds the lock.
	Lock(name string) (io.Closer, error)
	// List returns the names of all files.
	List() ([]string, error)
	// Open opens a file for reading and returns its size in bytes.
	Open(name string) (io.ReadCloser, int64, error)
	// Create creates or empties a file for writing.
	Create(name string) (File, error)
	// Rename replaces to.
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes creations, renames and removals durable.
	SyncDir() error
}

// File is a file open for writing at its end.
type File interface {
	io.WriteCloser
	// Sync makes everything written durable.
	Sync() error
}

// folder implements FS on the operating system's files.
type folder struct {
	path string
}

// Permissions of the data folder and its files: they hold operators' configuration.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// NewDirFS returns the files of path, which it creates with its parents when it does not exist.
func NewDirFS(path string) (FS, error) {
	path = filepath.Clean(path)
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		if err := os.MkdirAll(path, folderMode); err != nil {
			return nil, wrap(&IOError{Op: "create", File: path, Cause: err})
		}
		if err := syncDir(filepath.Dir(path)); err != nil {
			return nil, wrap(&IOError{Op: "sync", File: filepath.Dir(path), Cause: err})
		}
	}
	return &folder{path: path}, nil
}

func (f *folder) join(name string) string { return filepath.Join(f.path, name) }

func (f *folder) Lock(name string) (io.Closer, error) {
	file, err := os.OpenFile(f.join(name), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, &LockedError{Dir: f.path}
		}
		return nil, err
	}
	return file, nil
}

func (f *folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

func (f *folder) Open(name string) (io.ReadCloser, int64, error) {
	file, err := os.Open(f.join(name))
	if err != nil {
		return nil, 0, err
	}
	info, err := file.Stat()
	if err != nil {
		file.Close()
		return nil, 0, err
	}
	return file, info.Size(), nil
}

func (f *folder) Create(name string) (File, error) {
	file, err := os.OpenFile(f.join(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	return file, nil
}

func (f *folder) Rename(from, to string) error { return os.Rename(f.join(from), f.join(to)) }

func (f *folder) Remove(name string) error { return os.Remove(f.join(name)) }

func (f *folder) SyncDir() error { return syncDir(f.path) }

func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	if err := dir.Sync(); err != nil {
		dir.Close()
		return err
	}
	return dir.Close()
}

// publish writes content to a temporary file, syncs it and gives it its name, so that the name never stands for
// unfinished content. The file stays open for appending.
func publish(fs FS, name string, content io.Reader) (File, error) {
	temporary := name + temporarySuffix
	file, err := fs.Create(temporary)
	if err != nil {
		return nil, wrap(&IOError{Op: "create", File: temporary, Cause: err})
	}
	if err := fill(fs, file, name, content); err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}

func fill(fs FS, file File, name string, content io.Reader) error {
	temporary := name + temporarySuffix
	// The wrapper hides ReadFrom, so that every byte goes through Write.
	if _, err := io.Copy(struct{ io.Writer }{file}, content); err != nil {
		return wrap(&IOError{Op: "write", File: temporary, Cause: err})
	}
	if err := file.Sync(); err != nil {
		return wrap(&IOError{Op: "sync", File: temporary, Cause: err})
	}
	if err := fs.Rename(temporary, name); err != nil {
		return wrap(&IOError{Op: "rename", File: temporary, Cause: err})
	}
	if err := fs.SyncDir(); err != nil {
		return wrap(&IOError{Op: "sync folder of", File: name, Cause: err})
	}
	return nil
}

// publishAndClose is publish for files that are complete.
func publishAndClose(fs FS, name string, content io.Reader) error {
	file, err := publish(fs, name, content)
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return wrap(&IOError{Op: "close", File: name, Cause: err})
	}
	return nil
}

// appendAndSync writes data at the end of file and makes it durable.
func appendAndSync(file File, name string, data []byte) error {
	n, err := file.Write(data)
	if err == nil && n < len(data) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return wrap(&IOError{Op: "write", File: name, Cause: err})
	}
	if err := file.Sync(); err != nil {
		return wrap(&IOError{Op: "sync", File: name, Cause: err})
	}
	return nil
}
