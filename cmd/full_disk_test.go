package cmd

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/setting"
	"wagtaillift/internal/routers/vm"
)

// A disk that fills up between the probe for room and the start of the VM must not end the process, and the VM that could not be built must let
// go of its addresses.
func TestDiskFillsWhileVMIsBuilt(t *testing.T) {
	for _, name := range []string{"identity", "first"} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			cfg := setting.Default()
			cfg.Peers.Trust, cfg.Data.Folder, cfg.Data.FirstStart = "network", folder, true
			cfg.Shutdown = setting.Shutdown{Leave: 100 * time.Millisecond}
			cfg.Listen = setting.Listen{Peer: freeAddress(t), Caller: "127.0.0.1:0", Operator: "127.0.0.1:0"}
			ctx, cancel := context.WithCancel(t.Context())
			builds, errs := 0, make(chan error, 1)
			build := func() (runner, error) {
				if builds++; builds < 3 { // the device answers like a full disk; the VM removes the link
					require.NoError(t, os.Symlink("/dev/full", filepath.Join(folder, name+".tmp")))
				}
				v, err := vm.New(cfg)
				if err == nil {
					time.AfterFunc(100*time.Millisecond, cancel)
				}
				return v, err
			}
			go func() { errs <- runThroughFullDisks(ctx, folder, build) }()
			select {
			case err := <-errs:
				require.NoError(t, err)
				require.Equal(t, 3, builds)
			case <-time.After(30 * time.Second):
				require.Fail(t, "the VM doesn't start")
			}
		})
	}
}

// freeAddress returns a UDP address that nothing uses.
func freeAddress(t *testing.T) string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer c.Close()
	return c.LocalAddr().String()
}

// A quota that is used up ends the VM and not the process, as a full disk does.
func TestRunThroughUsedUpQuota(t *testing.T) {
	broken := errors.New("the log is damaged")
	list := []error{errors.Annotate(syscall.EDQUOT, "replica"), broken}
	err := runThroughFullDisks(t.Context(), t.TempDir(), func() (runner, error) {
		r := endingRunner{list[0]}
		list = list[1:]
		return r, nil
	})
	require.ErrorIs(t, err, broken)
}
