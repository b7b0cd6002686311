// Command cases2 runs the scripts of the second review: it starts the project's program as a small deployment on loopback addresses, with
// stand-ins of engines, operators and clients, and checks one rule.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var zoneNames = []string{"ernakulam", "aluva", "thrippunithura"}

// machine is one process of the program.
type machine struct {
	name    string
	ip      string
	zone    string
	control bool
	folder  string
	cmd     *exec.Cmd
	exited  chan struct{}
}

// fleet is a deployment with its record.
type fleet struct {
	folder   string
	binary   string
	ports    ports
	prefix   string // of the loopback addresses
	machines []*machine

	mu     sync.Mutex
	record io.Writer
	start  time.Time
}

type ports struct{ front, ready, control, peer, metrics int }

// runs reports whether the process of m has started and not ended.
func (m *machine) runs() bool {
	if m.exited == nil {
		return false
	}
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// newFleet chooses free loopback addresses for controls and fronts.
func newFleet(record io.Writer, controls, fronts int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs("target/wagtaillift")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, binary: binary, record: record, start: time.Now()}
	if err := f.chooseAddresses(); err != nil {
		return nil, err
	}
	for range controls {
		f.add("core", true)
	}
	for range fronts {
		f.add("frontend", false)
	}
	return f, nil
}

// add adds a machine, which is not started, in the next zone.
func (f *fleet) add(kind string, control bool) *machine {
	i := 0
	for _, m := range f.machines {
		if m.control == control {
			i++
		}
	}
	zone := zoneNames[i%len(zoneNames)]
	m := &machine{name: fmt.Sprintf("%s-%s-%d", kind, zone, i/len(zoneNames)+1), zone: zone, control: control}
	m.ip = fmt.Sprintf("%s.%d", f.prefix, len(f.machines)+10)
	m.folder = filepath.Join(f.folder, m.name)
	f.machines = append(f.machines, m)
	return m
}

// chooseAddresses takes a part of 127.0.0.0/8 and ports that are free there.
func (f *fleet) chooseAddresses() error {
	for range 100 {
		f.prefix = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		base := 20000 + rand.IntN(10000)
		f.ports = ports{base, base + 1, base + 2, base + 3, base + 4}
		free := true
		for p := base; p < base+5; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.10:%d", f.prefix, p))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

func (f *fleet) logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f  %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

// controls returns the machines that serve control.
func (f *fleet) controls() (list []*machine) {
	for _, m := range f.machines {
		if m.control {
			list = append(list, m)
		}
	}
	return list
}

// fronts returns the machines that serve clients.
func (f *fleet) fronts() (list []*machine) {
	for _, m := range f.machines {
		if !m.control {
			list = append(list, m)
		}
	}
	return list
}

func (f *fleet) address(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settings returns the settings file of m as deploy/settings.jsonc has it, filled in with the bounds of the small deployment.
func (f *fleet) settings(m *machine, first bool) ([]byte, error) {
	var seeds []string
	for _, c := range f.controls() {
		if len(seeds) < 3 && (first || c.runs()) {
			seeds = append(seeds, f.address(c, f.ports.control))
		}
	}
	listen := map[string]string{
		"caller": "", "ready": "", "operator": "", "upstream": "", "peer": f.address(m, f.ports.peer), "metrics": f.address(m, f.ports.metrics),
	}
	data := ""
	if m.control {
		listen["operator"], data = f.address(m, f.ports.control), filepath.Join(m.folder, "data")
	} else {
		listen["caller"], listen["ready"] = f.address(m, f.ports.front), f.address(m, f.ports.ready)
	}
	return json.Marshal(map[string]any{
		"vm": m.name, "zone": m.zone, "face": "platform", "listen": listen,
		"peers": map[string]any{"seeds": seeds, "port": f.ports.peer, "trust": "network"},
		"data":  map[string]any{"folder": data, "first": first, "spare": "1s", "losses": 1},
		"route": map[string]any{"scope": "fleet", "silence": "4s", "retries": map[string]any{"part": 0.2, "burst": 58, "window": "10s"}},
		"limit": map[string]any{"over": 0.1, "slack": 190000, "span": "8s"},
		"lease": map[string]any{"revoke": "5000ms", "apply": "2000ms", "duty": "3000ms", "vm": "3s", "election": "400ms"},
		"stop":  map[string]any{"grace": "8s", "lead": "2200ms", "leave": "900ms"},
		"bill":  map[string]string{"window": "5s", "delay": "3s"}, "memory": 284,
	})
}

// startMachine starts the process of m. First is set at the first start of the whole system.
func (f *fleet) startMachine(m *machine, first bool) error {
	if err := os.MkdirAll(m.folder, 0o700); err != nil {
		return err
	}
	if m.control {
		if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o700); err != nil {
			return err
		}
	}
	data, err := f.settings(m, first)
	if err != nil {
		return err
	}
	path := filepath.Join(m.folder, "boot.yaml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command(f.binary, "serve", "--config", path)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.folder, "WAGTAILLIFT_NODE_FILE=" + path}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		cmd.Wait()
		log.Close()
		close(exited)
	}(m.cmd, m.exited)
	f.logf("%s starts at %s", m.name, m.ip)
	return nil
}

// signal sends s to the process of m.
func (f *fleet) signal(m *machine, s syscall.Signal) {
	f.logf("%s gets %s", m.name, s)
	m.cmd.Process.Signal(s)
}

// kill ends the process of m at once and waits for its end.
func (f *fleet) kill(m *machine) {
	f.signal(m, syscall.SIGKILL)
	<-m.exited
}

// close ends all processes and removes the folder, unless KEEP is set.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.cmd != nil {
			m.cmd.Process.Signal(syscall.SIGKILL)
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs:", f.folder)
	}
}

// operatorClient sends each call on a channel of its own.
var operatorClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}

// sendConfig sends a configuration to one control machine, and returns the status, 0 without an answer.
func (f *fleet) sendConfig(m *machine, body []byte, wait time.Duration) int {
	c := &http.Client{Transport: operatorClient.Transport, Timeout: wait}
	resp, err := c.Post("http://"+f.address(m, f.ports.control)+"/api/config/replace", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// confirmConfig sends a configuration until a machine confirms it, to the machines of list in turn, and returns the time of the confirmation.
func (f *fleet) confirmConfig(list []*machine, version int, body []byte, limit time.Duration) (time.Time, error) {
	end := time.Now().Add(limit)
	pause := 20 * time.Millisecond
	for i := 0; time.Now().Before(end); i++ {
		m := list[i%len(list)]
		status := f.sendConfig(m, body, time.Second+time.Duration(len(body)/1000)*time.Millisecond)
		if status == http.StatusOK {
			at := time.Now()
			f.logf("version %d confirmed by %s", version, m.name)
			return at, nil
		}
		if status/100 == 4 {
			return time.Time{}, fmt.Errorf("version %d refused with %d", version, status)
		}
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("version %d was not confirmed within %s", version, limit)
}

// engine is a sound engine of a plain service: it pings the machines that serve control and answers requests.
type engine struct {
	f       *fleet
	id      string
	service string
	zone    string
	address string
	slots   int
	handler http.HandlerFunc
	born    int64

	mu       sync.Mutex
	sequence int
	stop     chan struct{}
	server   *http.Server
}

// startEngine starts an engine of service at a free port of the fleet's addresses.
func (f *fleet) startEngine(id, service, zone string, h http.HandlerFunc) (*engine, error) {
	l, err := net.Listen("tcp", f.prefix+".200:0")
	if err != nil {
		return nil, err
	}
	e := &engine{f: f, id: id, service: service, zone: zone, address: l.Addr().String(), slots: 64, handler: h, born: time.Now().UnixMilli(), stop: make(chan struct{})}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go e.server.Serve(l)
	go e.pings()
	return e, nil
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", e.id)
		return
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != e.id:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r.URL.Path == "/api/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"busy":false,"sequence":0,"queued":0,"running":0,"born":%d}`, e.born)
		return
	}
	e.handler(w, r)
}

// say sends one message about the engine to the machines that serve control, in turn until one confirms it.
func (e *engine) say(what, state string, list []*machine) bool {
	e.mu.Lock()
	e.sequence++
	n := e.sequence
	e.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state, "cold_remaining_ms": 0, "sequence": n, "born": e.born,
	})
	c := &http.Client{Transport: operatorClient.Transport, Timeout: time.Second}
	for _, m := range list {
		resp, err := c.Post("http://"+e.f.address(m, e.f.ports.control)+"/api/instances/"+e.id+"/"+what, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

func (e *engine) pings() {
	t := time.NewTicker(1200 * time.Millisecond)
	defer t.Stop()
	for {
		list := e.f.controls()
		rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
		e.say("heartbeat", "ready", list)
		select {
		case <-e.stop:
			return
		case <-t.C:
		}
	}
}

func versionOf(body []byte) int {
	var n struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(body, &n); err != nil {
		return 0
	}
	return n.Version
}

// answer writes a success as an engine does.
func answer(w http.ResponseWriter, r *http.Request, body string) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Signature", "s."+r.Header.Get("X-Request-Id"))
	io.WriteString(w, body)
}

// ready waits until all machines of list say that they are ready.
func (f *fleet) ready(list []*machine, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range list {
		for !f.isReady(m) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (f *fleet) isReady(m *machine) bool {
	resp, err := operatorClient.Get("http://" + f.address(m, f.ports.ready) + "/api/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

const (
	tenantKey  = "i9n73hh2b9wu3fexd9dn"
	routeHost  = "ficu95.example"
	appService = "wuno96b"
)

// config returns a configuration with a route for bookings, which may run once only, and one for look-ups.
func config(version int) []byte {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": routeHost, "path_prefix": prefix, "type": kind, "timeout_ms": 3000, "target_latency_ms": 150, "priority": 1,
			"service": appService, "max_attempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
	}
	data, _ := json.Marshal(map[string]any{
		"version":  version,
		"routes":   []map[string]any{route("r-once", "/once/", "unsafe", 1), route("r-safe", "/safe/", "safe", 2)},
		"services": []map[string]any{{"name": appService, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{tenantKey}, "priority": 1}},
	})
	return data
}

// clientTransport opens a channel for each request, as clients that retry do.
var clientTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// request sends one request of a client to a front machine, and returns the status; 0 if no whole answer came.
func (f *fleet) request(m *machine, method, path, id string, body []byte) int {
	r, err := http.NewRequest(method, "http://"+f.address(m, f.ports.front)+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = routeHost
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "1000")
	r.Header.Set("Authorization", "Token "+tenantKey)
	c := &http.Client{Transport: clientTransport, Timeout: time.Second}
	resp, err := c.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
