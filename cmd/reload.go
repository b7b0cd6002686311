package cmd

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/modules/setting"
)

// reloader is a VM that applies changed settings while it runs.
type reloader interface {
	runner
	Reload(cfg setting.Config)
}

// reloadedVM is a VM whose settings file is watched while it runs.
type reloadedVM struct {
	reloader
	path string
	data []byte // content of the settings file when the VM was built
	hup  <-chan os.Signal
}

// serveReloading runs the VM that build returns for the settings file at path. SIGHUP has the file read again; it never ends the process,
// which may be starting, waiting for room in folder or draining.
func serveReloading(ctx context.Context, path, folder string, build func(setting.Config) (reloader, error)) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return runThroughFullDisks(ctx, folder, func() (runner, error) { return newReloadedVM(path, hup, build) })
}

// newReloadedVM builds a VM from the settings that the file at path has now.
func newReloadedVM(path string, hup <-chan os.Signal, build func(setting.Config) (reloader, error)) (runner, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "read settings")
	}
	cfg, err := setting.Load(path)
	if err != nil {
		return nil, err
	}
	v, err := build(cfg)
	return reloadedVM{v, path, data, hup}, err
}

// Run runs the VM and applies changes of its settings file until the VM has drained, which is after ctx has ended.
func (v reloadedVM) Run(ctx context.Context) error {
	watch, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go v.watchSettings(watch)
	return v.reloader.Run(ctx)
}

// reloadInterval is how often the settings file is checked for changes, since it may be rewritten without a SIGHUP.
const reloadInterval = time.Second

// watchSettings reloads the settings file if its content has changed, checking on SIGHUP and every reloadInterval. An
// unreadable or invalid file is ignored.
func (v reloadedVM) watchSettings(ctx context.Context) {
	last := v.data
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.hup:
		case <-ticker.C:
		}
		data, err := os.ReadFile(v.path)
		if err != nil {
			klog.InfoS("Failed to read settings file", "file", v.path, "err", err)
			continue
		}
		if bytes.Equal(data, last) {
			continue
		}
		last = data
		cfg, err := setting.Load(v.path)
		if err != nil {
			klog.ErrorS(err, "Failed to reload settings", "file", v.path)
			continue
		}
		v.Reload(cfg)
	}
}
