package wal

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS accesses the files of one directory. File names have no directory part.
type FS interface {
	// Lock locks the file name until the result is closed. It returns *LockedError when another process holds the lock.
	Lock(name string) (io.Closer, error)
	// List returns the names of all files.
	List() ([]string, error)
	// Open opens a file for reading and returns its size in bytes.
	Open(name string) (io.ReadCloser, int64, error)
	// Create creates or truncates a file for writing.
	Create(name string) (File, error)
	// Rename renames from to to, replacing an existing file.
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes earlier creations, renames and removals of files durable.
	SyncDir() error
}

// File is a file that is open for appending.
type File interface {
	io.WriteCloser
	// Sync makes all written data durable.
	Sync() error
	// Truncate shortens the file to size bytes.
	Truncate(size int64) error
}

// dirFS implements FS on a directory of the operating system.
type dirFS struct {
	path string
}

// Permissions of the data directory and its files, which contain the operators' configuration.
const (
	dirMode  = 0o700
	fileMode = 0o600
)

// NewDirFS returns an FS for the directory at path, which it creates with its parents if it does not exist.
func NewDirFS(path string) (FS, error) { return newDirFS(path, syncDir) }

// newDirFS is NewDirFS with the function that syncs a directory. The parent is synced even if the directory exists, because an earlier
// process may have ended, or failed, between creating the directory and the sync.
func newDirFS(path string, syncDir func(path string) error) (FS, error) {
	path = filepath.Clean(path)
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, wrap(&IOError{Op: "create", File: path, Cause: err})
	}
	if err := syncDir(filepath.Dir(path)); err != nil {
		return nil, wrap(&IOError{Op: "sync", File: filepath.Dir(path), Cause: err})
	}
	return &dirFS{path: path}, nil
}

func (f *dirFS) join(name string) string { return filepath.Join(f.path, name) }

func (f *dirFS) Lock(name string) (io.Closer, error) {
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

func (f *dirFS) List() ([]string, error) {
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

func (f *dirFS) Open(name string) (io.ReadCloser, int64, error) {
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

func (f *dirFS) Create(name string) (File, error) {
	file, err := os.OpenFile(f.join(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	return file, nil
}

func (f *dirFS) Rename(from, to string) error { return os.Rename(f.join(from), f.join(to)) }

func (f *dirFS) Remove(name string) error { return os.Remove(f.join(name)) }

func (f *dirFS) SyncDir() error { return syncDir(f.path) }

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

// createFileAtomically writes content to a temporary file, syncs it and renames it to name, so that no file of that name
// ever has incomplete content. The returned file is open for appending.
func createFileAtomically(fs FS, name string, content io.Reader) (File, error) {
	temporary := name + temporarySuffix
	file, err := fs.Create(temporary)
	if err != nil {
		return nil, wrap(&IOError{Op: opCreate, File: temporary, Cause: err})
	}
	if err := writeAndRename(fs, file, name, content); err != nil {
		file.Close()
		if noSpace := asNoSpaceError(err); noSpace != nil {
			// Its part of the space is needed by the next attempt. Otherwise the file is removed when the log is opened.
			if removeErr := fs.Remove(temporary); removeErr != nil {
				return nil, wrap(&IOError{Op: "remove", File: temporary, Cause: removeErr})
			}
		}
		return nil, err
	}
	return file, nil
}

// writeAndRename writes content to file, the temporary file for name, syncs it and renames it to name.
func writeAndRename(fs FS, file File, name string, content io.Reader) error {
	temporary := name + temporarySuffix
	// The wrapper hides ReadFrom, so that io.Copy passes every byte to Write.
	if _, err := io.Copy(struct{ io.Writer }{file}, content); err != nil {
		return wrap(&IOError{Op: opWrite, File: temporary, Cause: err})
	}
	if err := file.Sync(); err != nil {
		return wrap(&IOError{Op: "sync", File: temporary, Cause: err})
	}
	if err := fs.Rename(temporary, name); err != nil {
		return wrap(&IOError{Op: "rename", File: temporary, Cause: err})
	}
	if err := fs.SyncDir(); err != nil {
		return wrap(&IOError{Op: "sync directory of", File: name, Cause: err})
	}
	return nil
}

// writeFileAtomically is like createFileAtomically, but closes the file.
func writeFileAtomically(fs FS, name string, content io.Reader) error {
	file, err := createFileAtomically(fs, name, content)
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return wrap(&IOError{Op: "close", File: name, Cause: err})
	}
	return nil
}

// appendAndSync appends data to file and syncs it.
func appendAndSync(file File, name string, data []byte) error {
	n, err := file.Write(data)
	if err == nil && n < len(data) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return wrap(&IOError{Op: opWrite, File: name, Cause: err})
	}
	if err := file.Sync(); err != nil {
		return wrap(&IOError{Op: "sync", File: name, Cause: err})
	}
	return nil
}
