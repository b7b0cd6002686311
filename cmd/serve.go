package cmd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/customer"
	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/key"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/cert"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/modules/setting"
	"wagtaillift/internal/modules/wal"
	"wagtaillift/internal/routers/vm"
	"wagtaillift/internal/services/authority"
	"wagtaillift/internal/services/emulate"
)

type serveArgs struct {
	Config string `arg:"--config" help:"settings file" placeholder:"FILE"`
	Demo   bool   `arg:"--demo" help:"run one VM with an embedded engine, application and platform, and a sample customer"`
}

func (a *serveArgs) run(ctx context.Context, out io.Writer) error {
	if a.Demo == (a.Config != "") {
		return exitErrorf(ExitUsage, "serve needs either --config FILE or --demo")
	}
	if a.Demo {
		return serveDemo(ctx, out)
	}
	cfg, err := setting.Load(a.Config)
	if err != nil {
		return err
	}
	configureLog(cfg.Log.Verbosity)
	return serveReloading(ctx, a.Config, cfg.Data.Folder, func(cfg setting.Config) (reloader, error) { return vm.New(cfg) })
}

// runner is a VM that serves until ctx ends or a component fails.
type runner interface {
	Run(ctx context.Context) error
}

// runThroughFullDisks runs the VM that build returns. If it can't be built or ends because the disk of folder is full, the next one starts in
// the same process once there is room: a control VM without its log must stop serving, but its process need not end. Any other error is
// returned.
func runThroughFullDisks(ctx context.Context, folder string, build func() (runner, error)) error {
	for {
		err := runOnceWithRoom(ctx, folder, build)
		if ctx.Err() != nil || !wal.LacksRoom(err) {
			return err
		}
		klog.ErrorS(err, "VM stopped on a full disk; it starts again once there is room", "folder", folder)
		if !pause.For(ctx, fullDiskPause) {
			return nil
		}
	}
}

// fullDiskPause is the time until the next start after a disk was full, which may have room for the probe only.
const fullDiskPause = 100 * time.Millisecond

// runOnceWithRoom waits for room in folder, unless it is empty, and runs the VM that build returns.
func runOnceWithRoom(ctx context.Context, folder string, build func() (runner, error)) error {
	if folder != "" {
		if err := wal.AwaitRoom(ctx, folder); err != nil {
			if ctx.Err() != nil {
				return nil // stopped as planned while it waited
			}
			return err
		}
	}
	v, err := build()
	if err != nil {
		return err
	}
	return v.Run(ctx)
}

type foundArgs struct {
	Config    string `arg:"--config,required" help:"settings file of the first control VM" placeholder:"FILE"`
	KeyFolder string `arg:"--keys,required" help:"folder to write the first keys into" placeholder:"FOLDER"`
}

func (a *foundArgs) run(out io.Writer) error {
	cfg, err := setting.Load(a.Config)
	if err != nil {
		return err
	}
	if cfg.Data.Folder == "" {
		return exitErrorf(ExitUsage, "data.folder is empty: a fleet can only be created on a control VM")
	}
	keys, err := createFleet(cfg, nil)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(a.KeyFolder, 0o700); err != nil {
		return errors.Annotate(err, "create key folder")
	}
	for _, k := range keys {
		path := filepath.Join(a.KeyFolder, k.name)
		if err := os.WriteFile(path, []byte(k.secret+"\n"), 0o600); err != nil {
			return errors.Annotate(err, "write key")
		}
		fmt.Fprintln(out, path)
	}
	return nil
}

// initialKey is a key generated when the fleet is created.
type initialKey struct {
	name, secret string
}

// createFleet writes the initial state of a new fleet: an admin key, an upstream credential and the given changes.
func createFleet(cfg setting.Config, changes []state.Change) ([]initialKey, error) {
	var keys []initialKey
	var list []state.Command
	add := func(ch state.Change) {
		ch.AnyBase, ch.Actor, ch.At = true, "founder", time.Now().UTC()
		ch.Request = id.Request(fmt.Sprint("found-", len(list)))
		list = append(list, state.Command{Change: &ch})
	}
	for _, k := range []key.Key{{ID: "admin", Role: key.Admin}, {ID: "upstream", Role: key.Upstream}} {
		secret, hash, err := key.Generate(k.ID)
		if err != nil {
			return nil, err
		}
		k.Hash = hash
		keys = append(keys, initialKey{string(k.ID), secret})
		add(state.Change{Key: &k})
	}
	for _, ch := range changes {
		add(ch)
	}
	return keys, authority.Bootstrap(cfg.Data.Folder, id.VM(cfg.VM), list)
}

// Names of the demo's sample objects.
const (
	demoCustomer = "kochi"
	demoModel    = "verdict"
	demoApp      = "booking"
)

const demoCertLife = 24 * time.Hour

// serveDemo runs one VM with an emulated engine, application and platform, with all its files in a temporary folder.
func serveDemo(ctx context.Context, out io.Writer) error {
	folder, err := os.MkdirTemp("", "wagtaillift-demo-")
	if err != nil {
		return errors.Annotate(err, "create demo folder")
	}
	defer os.RemoveAll(folder)
	cfg := setting.Default()
	cfg.Zone = "kochi"
	cfg.Peers.Cert = filepath.Join(folder, "cert")
	cfg.Data.Folder = filepath.Join(folder, "data")
	cfg.Billing.Window = 10 * time.Second
	now := time.Now()
	ca := filepath.Join(folder, "ca")
	if err := cert.NewCA(ca, "demo", now, demoCertLife); err != nil {
		return err
	}
	if err := cert.NewVM(ca, cfg.Peers.Cert, id.VM(cfg.VM), id.Zone(cfg.Zone), now, demoCertLife); err != nil {
		return err
	}
	secret, hash, err := key.Generate("sample")
	if err != nil {
		return err
	}
	keys, err := createFleet(cfg, []state.Change{
		{Customer: &customer.Customer{ID: demoCustomer}},
		{Service: &service.Service{ID: demoModel, Kind: service.Model, Model: demoModel}},
		{Service: &service.Service{ID: demoApp, Kind: service.Plain}},
		{Key: &key.Key{ID: "sample", Role: key.Caller, Customer: demoCustomer, Hash: hash}},
	})
	if err != nil {
		return err
	}
	platform, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Annotate(err, "listen for platform")
	}
	go http.Serve(platform, &emulate.Platform{})
	cfg.Billing.Platform = "http://" + platform.Addr().String()
	v, err := vm.New(cfg)
	if err != nil {
		return err
	}
	if err := startDemoUpstreams(ctx, cfg, keys[1].secret); err != nil {
		return err
	}
	printDemoUsage(out, cfg, secret, keys[0].secret)
	return v.Run(ctx)
}

func startDemoUpstreams(ctx context.Context, cfg setting.Config, credential string) error {
	announce := []string{"http://" + cfg.Listen.Upstream}
	e := emulate.NewEngine(emulate.Options{
		Announcement: engine.Announcement{
			Name: "engine1", Zone: id.Zone(cfg.Zone), Address: "127.0.0.1:0", Model: demoModel, ChecksFence: true,
		},
		Announce: announce, Credential: credential, Restart: time.Second,
	})
	if err := e.Start(ctx); err != nil {
		return err
	}
	a := &emulate.App{
		Announcement: engine.Announcement{Name: "app1", Zone: id.Zone(cfg.Zone), Address: "127.0.0.1:0", Service: demoApp},
		Announce:     announce, Credential: credential, RunCounter: &emulate.RunCounter{},
	}
	return a.Start(ctx)
}

func printDemoUsage(out io.Writer, cfg setting.Config, secret, admin string) {
	fmt.Fprintf(out, `One VM is starting with an emulated engine, application and platform. Stream an answer with:

curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"%s","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"The starter clicks once and stops. What is wrong?"}]}'

Call the application:

curl http://%s/s/%s/slots -H 'Authorization: Bearer %s'

Read the fleet's state:

bin/wagtaillift admin --server http://%s --key %s state

Stop with Ctrl-C.

`, cfg.Listen.Caller, secret, demoModel, cfg.Listen.Caller, demoApp, secret, cfg.Listen.Operator, admin)
}
