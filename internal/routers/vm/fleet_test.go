package vm

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/customer"
	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/key"
	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/cert"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/setting"
	"wagtaillift/internal/services/authority"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/emulate"
)

const (
	testZone     = "a"
	testModel    = "verdict"
	testApp      = "booking"
	waitTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// fastTiming returns engine delays short enough for tests.
func fastTiming() emulate.Timing {
	return emulate.Timing{
		Step: time.Millisecond, PrefillPerToken: time.Microsecond, DecodePerSequence: time.Microsecond, ChunkTokens: 4096,
		ChangeDuration: 50 * time.Millisecond,
	}
}

// fleet runs several VMs in one process, with emulated engines and applications.
type fleet struct {
	options    fleetOptions
	t          testing.TB
	folder     string
	vms        []*VM
	links      []*link // between each VM and the upstreams
	stops      []func()
	secrets    map[string]string
	runCounter *emulate.RunCounter
	engines    []*emulate.Engine
	apps       []*emulate.App
	ctx        context.Context
}

// fleetOptions are the VM settings that a test may change. A zero value keeps the default.
type fleetOptions struct {
	platform    string // base URL
	window      time.Duration
	bodyTimeout time.Duration
	stopLimit   time.Duration
}

// newFleet starts n VMs in one data centre; the first is the only voter.
func newFleet(t testing.TB, n int) *fleet { return (&fleetOptions{}).start(t, n) }

func (o *fleetOptions) start(t testing.TB, n int) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{t: t, options: *o, folder: t.TempDir(), secrets: map[string]string{}, runCounter: &emulate.RunCounter{}, ctx: ctx}
	require.NoError(t, cert.NewCA(f.path("ca"), "test", time.Now(), time.Hour))
	t.Cleanup(func() {
		for _, stop := range f.stops {
			stop()
		}
		cancel()
	})
	f.writeInitialState()
	for i := range n {
		f.addVM(i)
	}
	for _, v := range f.vms {
		f.waitUntil("VM lease", func() bool { return v.authority.LeaseEnd() > 0 })
	}
	for _, v := range f.vms {
		f.waitUntil("shares", func() bool {
			_, body := f.callVM(v, "GET", "/s/booking/x", f.secrets["one"], "")
			return strings.Contains(body, string(call.NoUpstream)) // the request has passed the rate limit
		})
	}
	return f
}

func (f *fleet) path(parts ...string) string {
	return filepath.Join(append([]string{f.folder}, parts...)...)
}

func vmName(i int) string { return fmt.Sprint("vm", i+1) }

// writeInitialState writes the state that the first VM starts from: two customers, their keys, a model and three applications.
func (f *fleet) writeInitialState() {
	var list []state.Command
	add := func(ch state.Change) {
		ch.AnyBase, ch.Request = true, id.Request(fmt.Sprint("found-", len(list)))
		list = append(list, state.Command{Change: &ch})
	}
	addKey := func(k key.Key) {
		secret, hash, err := key.Generate(k.ID)
		require.NoError(f.t, err)
		k.Hash = hash
		f.secrets[string(k.ID)] = secret
		add(state.Change{Key: &k})
	}
	for _, c := range []id.Customer{"one", "two"} {
		add(state.Change{Customer: &customer.Customer{ID: c}})
		addKey(key.Key{ID: id.Key(c), Role: key.Caller, Customer: c})
	}
	addKey(key.Key{ID: "upstream", Role: key.Upstream})
	addKey(key.Key{ID: "admin", Role: key.Admin})
	add(state.Change{Service: &service.Service{ID: testModel, Kind: service.Model, Model: testModel}})
	add(state.Change{Service: &service.Service{ID: testApp, Kind: service.Plain}})
	add(state.Change{Service: &service.Service{ID: "open", Kind: service.Plain, AllowAnonymous: true}})
	add(state.Change{Service: &service.Service{ID: "private", Kind: service.Plain, Customers: []id.Customer{"two"}}})
	add(state.Change{Defaults: policy.Defaults{policy.Rate: 1e8, policy.Burst: 1e8, policy.RetryRatio: 1}})
	require.NoError(f.t, authority.Bootstrap(f.path("vm1", "data"), "vm1", list))
}

func (f *fleet) config(i int) setting.Config {
	cfg := setting.Default()
	cfg.VM, cfg.Zone = vmName(i), testZone
	cfg.Listen = setting.Listen{
		Caller: "127.0.0.1:0", Operator: "127.0.0.1:0", Upstream: "127.0.0.1:0", Peer: "127.0.0.1:0", Metrics: "127.0.0.1:0",
	}
	cfg.Peers.Cert = f.path(cfg.VM, "cert")
	cfg.Shutdown.RefuseDelay = 10 * time.Millisecond
	cfg.Billing.Platform = f.options.platform
	for _, o := range []struct {
		to    *time.Duration
		value time.Duration
	}{
		{&cfg.Billing.Window, f.options.window},
		{&cfg.Caller.ReadTimeout, f.options.bodyTimeout},
		{&cfg.Shutdown.DrainTimeout, f.options.stopLimit},
	} {
		if o.value > 0 {
			*o.to = o.value
		}
	}
	if i == 0 {
		cfg.Data.Folder = f.path(cfg.VM, "data")
	} else {
		cfg.Peers.Seeds = []string{f.vms[0].PeerAddress()}
	}
	return cfg
}

func (f *fleet) addVM(i int) *VM {
	cfg := f.config(i)
	require.NoError(f.t, cert.NewVM(f.path("ca"), cfg.Peers.Cert, id.VM(cfg.VM), testZone, time.Now(), time.Hour))
	v, err := New(cfg)
	require.NoError(f.t, err)
	l := &link{}
	v.dialer.Direct = l.dial
	f.vms, f.links = append(f.vms, v), append(f.links, l)
	f.stops = append(f.stops, f.startVM(v))
	return v
}

// startVM starts v and returns a function that stops it gracefully; later calls of the function do nothing.
func (f *fleet) startVM(v *VM) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		v.Run(ctx)
		close(done)
	}()
	var once sync.Once
	return func() {
		once.Do(func() {
			cancel()
			<-done
		})
	}
}

// killVM closes the peer transport of VM i before it stops the VM, so that its peers aren't notified and get nothing more from it.
func (f *fleet) killVM(i int) {
	f.vms[i].transport.Close()
	f.stops[i]()
}

// waitUntil polls ok and fails the test after waitTimeout.
func (f *fleet) waitUntil(condition string, ok func() bool) {
	f.t.Helper()
	end := time.Now().Add(waitTimeout)
	for !ok() {
		require.True(f.t, time.Now().Before(end), "timed out waiting: %s", condition)
		time.Sleep(pollInterval)
	}
}

func (f *fleet) announceURLs() []string {
	var list []string
	for _, v := range f.vms {
		list = append(list, v.UpstreamURL())
	}
	return list
}

func (f *fleet) startEngine(i int, faults emulate.Faults) *emulate.Engine {
	return f.startAnnouncedEngine(i, faults, engine.Announcement{})
}

// startPricedEngine starts an engine that may be reclaimed (cheap) or not.
func (f *fleet) startPricedEngine(i int, faults emulate.Faults, cheap bool) *emulate.Engine {
	return f.startAnnouncedEngine(i, faults, engine.Announcement{Cheap: cheap})
}

// startEngineOfVersion starts an engine of a software version.
func (f *fleet) startEngineOfVersion(i int, version string, faults emulate.Faults) *emulate.Engine {
	return f.startAnnouncedEngine(i, faults, engine.Announcement{Version: version})
}

// startAnnouncedEngine starts an engine that announces a and the fields that all engines of a fleet share.
func (f *fleet) startAnnouncedEngine(i int, faults emulate.Faults, a engine.Announcement) *emulate.Engine {
	a.Name, a.Zone, a.Address, a.Model, a.KVBlocks = id.Upstream(fmt.Sprint("engine", i)), testZone, "127.0.0.1:0", testModel, 100000
	e := emulate.NewEngine(emulate.Options{
		Announcement: a, Announce: f.announceURLs(), Credential: f.secrets["upstream"], Timing: fastTiming(), Faults: faults, Seed: uint64(i),
		Restart: 300 * time.Millisecond,
	})
	require.NoError(f.t, e.Start(f.ctx))
	f.engines = append(f.engines, e)
	return e
}

func (f *fleet) startApp(name string, svc id.Service) *emulate.App {
	return f.startCrashingApp(name, svc, "")
}

// startCrashingApp starts an application that requests with this text in their target or body crash.
func (f *fleet) startCrashingApp(name string, svc id.Service, text string) *emulate.App {
	a := &emulate.App{
		CrashText: text, Restart: 300 * time.Millisecond,
		Announcement: engine.Announcement{Name: id.Upstream(name), Zone: testZone, Address: "127.0.0.1:0", Service: svc},
		Announce:     f.announceURLs(), Credential: f.secrets["upstream"], RunCounter: f.runCounter,
	}
	require.NoError(f.t, a.Start(f.ctx))
	f.apps = append(f.apps, a)
	return a
}

// waitForUpstreams waits until the roster of every VM has n upstreams.
func (f *fleet) waitForUpstreams(n int) {
	for _, v := range f.vms {
		f.waitUntil("number of upstreams in the roster", func() bool { return len(v.roster.Snapshot().All) == n })
	}
}

func (f *fleet) callerURLs() []string {
	var list []string
	for _, v := range f.vms {
		list = append(list, v.CallerURL())
	}
	return list
}

// callVM sends one request to the caller listener of v and returns the response and its body.
func (f *fleet) callVM(v *VM, method, path, secret, body string, head ...string) (*http.Response, string) {
	return f.sendRequest(method, v.CallerURL()+path, secret, body, head...)
}

// sendRequest sends one request; head is a list of header names and values in turn.
func (f *fleet) sendRequest(method, url, secret, body string, head ...string) (*http.Response, string) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(f.t, err)
	if secret != "" {
		r.Header.Set("Authorization", "Bearer "+secret)
	}
	for i := 0; i+1 < len(head); i += 2 {
		r.Header.Set(head[i], head[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	return resp, string(data)
}

// chatBody returns the JSON body of a chat call.
func chatBody(text string, maxTokens int, stream bool) string {
	data, _ := json.Marshal(map[string]any{
		"model": testModel, "max_tokens": maxTokens, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	return string(data)
}

// expectedAnswer returns the emulator's answer to chatBody(text, maxTokens).
func expectedAnswer(text string, maxTokens int) string {
	raw, _ := json.Marshal(text)
	b := call.ModelBody{Messages: []call.Message{{Role: "user", Content: raw}}}
	return emulate.AnswerText(b.Text(), maxTokens)
}

// requireRefusal checks the status of a refusal, its code in the body, and its run value in the header and the body.
func requireRefusal(t *testing.T, resp *http.Response, body string, status int, code call.Code, run call.Run) {
	t.Helper()
	var p struct {
		Error struct{ Code, Run string }
	}
	require.Equal(t, status, resp.StatusCode, body)
	require.NoError(t, json.Unmarshal([]byte(body), &p))
	require.Equal(t, string(code), p.Error.Code)
	require.Equal(t, string(run), p.Error.Run)
	require.Equal(t, string(run), resp.Header.Get("Wagtaillift-Run"))
}
