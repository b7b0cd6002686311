package cmd

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/setting"
)

// drainingVM gets a SIGHUP with new settings when it has been told to stop, and drains until it has applied them.
type drainingVM struct {
	t       *testing.T
	path    string
	applied chan setting.Config
}

// Reload implements reloader.
func (v *drainingVM) Reload(cfg setting.Config) { v.applied <- cfg }

// Run implements runner.
func (v *drainingVM) Run(ctx context.Context) error {
	<-ctx.Done()
	writeSettings(v.t, v.path, "during-stop")
	hangUp(v.t)
	select {
	case cfg := <-v.applied:
		require.Equal(v.t, "during-stop", cfg.VM)
	case <-time.After(10 * time.Second):
		require.Fail(v.t, "settings that changed during the stop were not applied")
	}
	return nil
}

// fullVM ends with a full disk; a SIGHUP arrives before the next VM is built.
type fullVM struct{ t *testing.T }

// Reload implements reloader.
func (fullVM) Reload(setting.Config) {}

// Run implements runner.
func (v fullVM) Run(context.Context) error {
	hangUp(v.t)
	return errors.WithType(syscall.ENOSPC, errors.ConstError("write"))
}

func hangUp(t *testing.T) { require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP)) }

func writeSettings(t *testing.T, path, vm string) {
	require.NoError(t, os.WriteFile(path, []byte(`{"vm": "`+vm+`"}`), 0o600))
}

// SIGHUP ended the process whenever no VM was running: during its start, after a full disk and during a planned stop.
func TestHangupNeverEndsTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	writeSettings(t, path, "first")
	ctx, stop := context.WithCancel(t.Context())
	draining := &drainingVM{t: t, path: path, applied: make(chan setting.Config, 10)}
	built := 0
	err := serveReloading(ctx, path, t.TempDir(), func(setting.Config) (reloader, error) {
		hangUp(t)
		if built++; built == 1 {
			return fullVM{t}, nil
		}
		stop()
		return draining, nil
	})
	require.NoError(t, err)
	require.Equal(t, 2, built)
}

// Settings that changed while the VM was built are applied once it runs.
func TestSettingsThatChangeDuringTheStartAreApplied(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	writeSettings(t, path, "first")
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	v := &drainingVM{t: t, path: path, applied: make(chan setting.Config, 10)}
	done := make(chan error, 1)
	go func() {
		done <- serveReloading(ctx, path, "", func(setting.Config) (reloader, error) {
			writeSettings(t, path, "second")
			return v, nil
		})
	}()
	select {
	case cfg := <-v.applied:
		require.Equal(t, "second", cfg.VM)
	case <-time.After(10 * time.Second):
		require.Fail(t, "settings that changed during the start were not applied")
	}
	stop()
	require.NoError(t, <-done)
}
