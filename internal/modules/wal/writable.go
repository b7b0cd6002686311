package wal

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/modules/pause"
)

const (
	probeFile     = "probe" // written and removed to find out whether the disk has room
	probeInterval = 100 * time.Millisecond
)

// LacksRoom reports whether err means that a disk is full, or the quota on it.
func LacksRoom(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// AwaitRoom waits until the disk that holds folder accepts a write, or ctx ends. A VM that starts while its disk is full would join
// the fleet and end again at its first write. Any error but a lack of space is returned at once.
func AwaitRoom(ctx context.Context, folder string) error { return AwaitRoomOn(ctx, OS, folder) }

// AwaitRoomOn is like AwaitRoom with another file system.
func AwaitRoomOn(ctx context.Context, files Files, folder string) error {
	for first := true; ; first = false {
		err := probe(files, folder)
		if err == nil || !LacksRoom(err) {
			return err
		}
		if first {
			klog.ErrorS(err, "Waiting for room on the disk", "folder", folder)
		}
		if !pause.For(ctx, probeInterval) {
			return err
		}
	}
}

// probe writes and syncs a file in folder and removes it.
func probe(files Files, folder string) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return errors.Annotate(err, "create data folder")
	}
	path := filepath.Join(folder, probeFile)
	f, err := files.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, filePerm)
	if err != nil {
		return errors.Annotate(err, "create probe file")
	}
	_, err = f.Write([]byte("probe\n"))
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return errors.Annotatef(err, "write %s", path)
	}
	return errors.Annotate(files.Remove(path), "remove probe file")
}
