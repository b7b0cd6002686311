package wal

import (
	"io"
	"os"

	"github.com/juju/errors"
)

// Files are the writing operations on a data folder.
type Files interface {
	OpenFile(path string, flag int, perm os.FileMode) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncFolder(path string) error
}

// File is a file that was opened for writing.
type File interface {
	io.WriteCloser
	io.WriterAt
	Sync() error
	Truncate(size int64) error
}

// OS is the file system of the operating system.
var OS Files = osFiles{}

type osFiles struct{}

func (osFiles) OpenFile(path string, flag int, perm os.FileMode) (File, error) {
	f, err := os.OpenFile(path, flag, perm)
	if err != nil {
		return nil, err // no File around a nil *os.File
	}
	return f, nil
}

func (osFiles) Rename(from, to string) error { return os.Rename(from, to) }

func (osFiles) Remove(path string) error { return os.Remove(path) }

func (osFiles) SyncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return errors.Annotate(err, "open folder")
	}
	defer d.Close()
	return errors.Annotatef(d.Sync(), "sync folder %s", path)
}
