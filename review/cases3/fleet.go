// Command cases3 plays the scripted cases of the third review against processes of the built program, on loopback addresses and the real clock.
// All engines, clients and the platform are small stand-ins that follow the users' pages.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small site chakra-kochi that the cases use.
const (
	contactTime  = 3 * time.Second
	drainTime    = 2 * time.Second
	graceTime    = 8 * time.Second
	heartbeat    = 1200 * time.Millisecond
	frontPort    = 8221
	readyPort    = 8224
	controlPort  = 8229
	peerPort     = 7600
	metricsPort  = 7601
	cloudPort    = 8225
	coreMachines = 3
)

var zones = []string{"ernakulam", "aluva", "thrippunithura"}

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one machine of the system and its process.
type machine struct {
	name, zone, ip, folder string
	core                   bool

	mu        sync.Mutex
	cmd       *exec.Cmd
	startedAt time.Time
}

// fleet is the system under test with its platform.
type fleet struct {
	rec      *record
	binary   string
	template string
	folder   string
	subnet   string
	machines []*machine
	cloud    *http.Server

	mu      sync.Mutex
	stopped bool // no process is started any more
}

// newFleet starts three core machines and the given number of front machines. After an error the fleet must be stopped as well.
func newFleet(rec *record, fronts int) (*fleet, error) {
	f := &fleet{rec: rec}
	root := os.Getenv("PROJECT_ROOT")
	f.binary = filepath.Join(root, "target", "wagtaillift")
	text, err := os.ReadFile(filepath.Join(root, "deploy", "settings.jsonc"))
	if err != nil {
		return f, err
	}
	f.template = string(text)
	if f.folder, err = os.MkdirTemp("", "wagtaillift-review3-"); err != nil {
		return f, err
	}
	f.stopOnSignal()
	if err := f.reserve(coreMachines + fronts); err != nil {
		return f, err
	}
	for i := range coreMachines + fronts {
		m := &machine{zone: zones[i%len(zones)], ip: fmt.Sprintf("%s.0.%d", f.subnet, i+1), core: i < coreMachines}
		m.name = fmt.Sprintf("frontend-%d", i)
		if m.core {
			m.name = fmt.Sprintf("core-%d", i)
		}
		m.folder = filepath.Join(f.folder, m.name)
		if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o700); err != nil {
			return f, err
		}
		f.machines = append(f.machines, m)
	}
	for _, m := range f.machines {
		if err := f.startMachine(m, true); err != nil {
			return f, err
		}
	}
	return f, nil
}

// stopOnSignal ends all processes if the case is ended early.
func (f *fleet) stopOnSignal() {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		f.stop()
		os.Exit(failed)
	}()
}

// reserve finds a subnet of loopback in which all ports are free that the machines use, and starts the platform there.
func (f *fleet) reserve(machines int) error {
	var err error
	for range 50 {
		f.subnet = fmt.Sprintf("127.%d", 20+rand.IntN(200))
		if err = checkFree(f.subnet, machines); err != nil {
			continue
		}
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("%s.3.1:%d", f.subnet, cloudPort)); err != nil {
			continue
		}
		f.cloud = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusOK) })}
		go f.cloud.Serve(l)
		return nil
	}
	return err
}

// checkFree returns an error if a port is taken that a machine may use.
func checkFree(subnet string, machines int) error {
	for i := range machines {
		ip := fmt.Sprintf("%s.0.%d", subnet, i+1)
		for _, port := range []int{frontPort, readyPort, controlPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return err
			}
			l.Close()
		}
		c, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, peerPort))
		if err != nil {
			return err
		}
		c.Close()
	}
	return nil
}

// values are the fields that the platform fills into the template for m.
func (f *fleet) values(m *machine, first bool) map[string]any {
	var seeds []any
	for _, c := range f.machines[:coreMachines] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, controlPort))
	}
	v := map[string]any{
		"node_name": m.name, "zone": m.zone, "ip": m.ip, "seeds": seeds, "bootstrap": first,
		"internal_ports":  []any{peerPort, peerPort + 15},
		"fault_tolerance": map[string]any{"machines": 1, "zones": 1},
		"bounds": map[string]any{
			"retry_budget_ratio": 0.2, "retry_slack": 58, "retry_window_s": 10, "quota_overage": 0.1, "quota_slack": 190000, "quota_window_s": 8,
			"revoke_ms": 5000, "config_apply_ms": 2000, "lease_ms": 3000, "grace_s": 8, "usage_window_s": 5,
		},
		"cloud": map[string]any{"address": fmt.Sprintf("%s.3.1:%d", f.subnet, cloudPort)},
	}
	if m.core {
		v["listen"] = map[string]any{"control": fmt.Sprintf("%s:%d", m.ip, controlPort)}
		v["limits"] = map[string]any{"memory_mb": 280, "max_fds": 4096}
		v["data_dir"] = filepath.Join(m.folder, "data")
	} else {
		v["listen"] = map[string]any{"frontend": fmt.Sprintf("%s:%d", m.ip, frontPort), "readiness": fmt.Sprintf("%s:%d", m.ip, readyPort)}
		v["limits"] = map[string]any{"memory_mb": 284, "max_fds": 4100}
	}
	return v
}

// startMachine writes the settings of m and starts its process with the command of the deploy file.
func (f *fleet) startMachine(m *machine, first bool) error {
	path := filepath.Join(m.folder, "boot.yaml")
	if err := os.WriteFile(path, []byte(render(f.template, f.values(m, first))), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if f.stopped {
		return errors.New("the case has ended")
	}
	m.cmd = exec.Command(f.binary, "serve", "--config", path)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.startedAt = time.Now()
	f.rec.add("machine %s (%s) starts", m.name, m.ip)
	return m.cmd.Start()
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && m.cmd.Process != nil {
		m.cmd.Process.Signal(s)
	}
}

// kill ends the process of m and waits for it.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil || m.cmd.Process == nil {
		return
	}
	m.cmd.Process.Signal(syscall.SIGCONT)
	m.cmd.Process.Kill()
	m.cmd.Wait()
}

// stop ends all processes for good and removes their files.
func (f *fleet) stop() {
	f.mu.Lock()
	f.stopped = true
	f.mu.Unlock()
	for _, m := range f.machines {
		m.kill()
	}
	if f.cloud != nil {
		f.cloud.Close()
	}
	os.RemoveAll(f.folder)
}

func (f *fleet) cores() []*machine  { return f.machines[:coreMachines] }
func (f *fleet) fronts() []*machine { return f.machines[coreMachines:] }

func (m *machine) control() string { return fmt.Sprintf("http://%s:%d", m.ip, controlPort) }

// render fills values into a template as the platform does.
func render(text string, values map[string]any) string {
	return renderIn(text, []any{values})
}

func renderIn(text string, scope []any) string {
	var out strings.Builder
	for {
		before, rest, ok := strings.Cut(text, "{{")
		out.WriteString(before)
		if !ok {
			return out.String()
		}
		tag, after, _ := strings.Cut(rest, "}}")
		switch tag[0] {
		case '#', '^':
			name := tag[1:]
			body, tail, _ := strings.Cut(after, "{{/"+name+"}}")
			out.WriteString(renderSection(tag[0], body, lookup(scope, name), scope))
			text = tail
		default:
			out.WriteString(renderValue(tag, scope))
			text = after
		}
	}
}

func renderSection(kind byte, body string, v any, scope []any) string {
	empty := v == nil || v == false
	if kind == '^' {
		if empty {
			return renderIn(body, scope)
		}
		return ""
	}
	if empty {
		return ""
	}
	list, ok := v.([]any)
	if !ok {
		return renderIn(body, append(append([]any{}, scope...), v))
	}
	var out strings.Builder
	for i, x := range list {
		comma := ","
		if i == len(list)-1 {
			comma = ""
		}
		out.WriteString(renderIn(strings.ReplaceAll(body, "{{,}}", comma), append(append([]any{}, scope...), x)))
	}
	return out.String()
}

func renderValue(tag string, scope []any) string {
	name, asJSON := strings.CutSuffix(tag, "|json")
	v := lookup(scope, name)
	if asJSON {
		data, _ := json.Marshal(v)
		return string(data)
	}
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// lookup returns the value of a dotted name, from the innermost scope that has it.
func lookup(scope []any, name string) any {
	if name == "." {
		return scope[len(scope)-1]
	}
	for i := len(scope) - 1; i >= 0; i-- {
		if v, ok := descend(scope[i], strings.Split(name, ".")); ok {
			return v
		}
	}
	return nil
}

func descend(v any, path []string) (any, bool) {
	for _, p := range path {
		switch x := v.(type) {
		case map[string]any:
			next, ok := x[p]
			if !ok {
				return nil, false
			}
			v = next
		case []any:
			var n int
			if _, err := fmt.Sscan(p, &n); err != nil || n >= len(x) {
				return nil, false
			}
			v = x[n]
		default:
			return nil, false
		}
	}
	return v, true
}
