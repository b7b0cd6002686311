package wal

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fullFolder returns a folder in which the probe file is a device that refuses writes for lack of space.
func fullFolder(t *testing.T) string {
	folder := t.TempDir()
	require.NoError(t, os.Symlink("/dev/full", filepath.Join(folder, probeFile)))
	return folder
}

func TestAwaitRoom(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	require.NoError(t, AwaitRoom(context.Background(), folder), "a new folder")
	files, err := os.ReadDir(folder)
	require.NoError(t, err)
	require.Empty(t, files)
}

func TestAwaitRoomOnFullDisk(t *testing.T) {
	folder := fullFolder(t)
	done := make(chan error, 1)
	go func() { done <- AwaitRoom(context.Background(), folder) }()
	time.Sleep(2 * probeInterval)
	require.Empty(t, done, "the disk is still full")
	require.NoError(t, os.Remove(filepath.Join(folder, probeFile)))
	require.NoError(t, <-done)
}

func TestAwaitRoomEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, AwaitRoom(ctx, fullFolder(t)), syscall.ENOSPC)
}

func TestAwaitRoomReturnsOtherErrors(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, filePerm))
	require.ErrorIs(t, AwaitRoom(context.Background(), filepath.Join(file, "data")), syscall.ENOTDIR)
}
