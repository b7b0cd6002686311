package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in of an engine of the service "app".
type engine struct {
	fleet   *fleet
	id      string
	zone    string
	address string
	born    int64
	server  *http.Server

	mu       sync.Mutex
	sequence int
	leaving  bool // it has deregistered, or is draining, and sends no further pings by itself
	at       int  // core machine that gets the next ping
	runs     []run

	spoilEach atomic.Int64 // one answer of so many is spoiled; zero spoils none
	answers   atomic.Int64 // while spoilEach is set
	spoiled   atomic.Int64
}

// run is a request that an engine ran.
type run struct {
	at      time.Time
	request string
	path    string
}

func newEngine(f *fleet, n int) (*engine, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.2.%d:0", f.subnet, n+1))
	if err != nil {
		return nil, err
	}
	e := &engine{fleet: f, id: fmt.Sprintf("i-%d%08x", n, time.Now().UnixNano()&0xffffffff), zone: zones[n%len(zones)], address: l.Addr().String(), born: time.Now().UnixMilli(), at: n}
	e.server = &http.Server{Handler: e}
	go e.server.Serve(l)
	go e.heartbeats()
	return e, nil
}

const workTime = 30 * time.Millisecond // the mean of the sheet

// ServeHTTP runs a request, unless another engine is meant.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.runs = append(e.runs, run{at: time.Now(), request: id, path: r.URL.Path})
	e.mu.Unlock()
	e.fleet.rec.add("engine %s runs %s (%s %s)", e.id, id, r.Method, r.URL.Path)
	time.Sleep(workTime)
	if n := e.spoilEach.Load(); n > 0 && e.answers.Add(1)%n == 0 {
		e.spoil(w, id)
		return
	}
	w.Header().Set("X-Response-Signature", "s."+id)
	fmt.Fprintf(w, "answer to %s", id)
}

// spoil sends bytes that are no answer of HTTP/1.1, and closes: an answer of HTTP/1.0 that claims to be in chunks, which HTTP/1.0 doesn't know
// (RFC 9112, section 6.1), by turns alone and beside a length.
func (e *engine) spoil(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	body := "answer to " + id
	length := ""
	if e.spoiled.Add(1)%2 == 0 {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	e.fleet.rec.add("engine %s spoils its answer to %s", e.id, id)
	fmt.Fprintf(conn, "HTTP/1.0 200 OK\r\nX-Request-Id: %s\r\nX-Response-Signature: s.%s\r\nContent-Type: text/plain\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		id, id, length, len(body), body)
}

// ping returns the body of the next ping.
func (e *engine) ping(state string) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	data, _ := json.Marshal(map[string]any{
		"service": "app", "address": e.address, "zone": e.zone, "version": "v1", "slots": 6, "state": state, "cold_remaining_ms": 0,
		"sequence": e.sequence, "born": e.born,
	})
	return data
}

// heartbeats sends pings, at the next core machine after a failure, until the engine leaves.
func (e *engine) heartbeats() {
	for {
		e.mu.Lock()
		leaving, at := e.leaving, e.at
		e.mu.Unlock()
		if leaving {
			return
		}
		if status := e.post(e.fleet.cores()[at%coreMachines], "heartbeat", e.ping("ready")); status/100 != 2 {
			e.mu.Lock()
			e.at++
			e.mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			continue
		}
		time.Sleep(heartbeat)
	}
}

// post sends a message of the engine to a core machine and returns the status; zero if there is none within a second.
func (e *engine) post(to *machine, what string, body []byte) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post(to.control()+"/api/instances/"+e.id+"/"+what, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode
}

// leave deregisters at core machines in turn until one acknowledges it, and returns when that was.
func (e *engine) leave() (time.Time, bool) {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	for i := range 30 {
		to := e.fleet.cores()[i%coreMachines]
		if e.post(to, "deregister", fmt.Appendf(nil, `{"born":%d}`, e.born)) == http.StatusOK {
			e.fleet.rec.add("engine %s: %s acknowledges that it leaves", e.id, to.name)
			return time.Now(), true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, false
}

func (e *engine) runsAfter(t time.Time) (list []run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		if r.at.After(t) {
			list = append(list, r)
		}
	}
	return list
}

// sendConfig sends a configuration until it is acknowledged.
func (f *fleet) sendConfig(version int, wait time.Duration) bool {
	text := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":"a.example","path_prefix":"/look/","type":"safe","timeout_ms":1000,"target_latency_ms":150,`+
		`"priority":2,"service":"app","max_attempts":2,"public":false},{"name":"r-2","host":"a.example","path_prefix":"/book/","type":"unsafe","timeout_ms":1000,`+
		`"target_latency_ms":150,"priority":2,"service":"app","max_attempts":1,"public":false}],"services":[{"name":"app","health_path":"/healthz","max_connections":110,`+
		`"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"t1","api_keys":["k1"],"priority":1,"unit":"tokens","uncached_tokens":200,"rate_per_s":400000,"burst":400000}]}`, version)
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(wait); time.Now().Before(end); {
		for _, m := range f.cores() {
			resp, err := client.Post(m.control()+"/api/config/replace", "application/json", bytes.NewReader([]byte(text)))
			if err != nil {
				continue
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				f.rec.add("operator: %s acknowledges version %d", m.name, version)
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// clientsPerFront is the number of clients that send to each front machine.
const clientsPerFront = 3

// clients send lookups and bookings in turn until done is closed.
type clients struct {
	fleet    *fleet
	done     chan struct{}
	wg       sync.WaitGroup
	number   atomic.Int64
	answered atomic.Int64
	wrong    atomic.Int64 // successes with another body than the engine's
	mu       sync.Mutex
	status   map[string]int // of the answer, by request; zero if there was none
}

func startClients(f *fleet, pause time.Duration) *clients {
	c := &clients{fleet: f, done: make(chan struct{}), status: map[string]int{}}
	for i := range clientsPerFront * len(f.fronts()) {
		m := f.fronts()[i%len(f.fronts())]
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			client := &http.Client{Timeout: time.Second}
			for {
				select {
				case <-c.done:
					return
				case <-time.After(pause):
				}
				c.send(client, m)
			}
		}()
	}
	return c
}

// send sends one request to m and returns the status; zero if there is none.
func (c *clients) send(client *http.Client, m *machine) int {
	n := c.number.Add(1)
	id := fmt.Sprintf("%016x", n)
	method, path, body := http.MethodGet, "/look/x", io.Reader(nil)
	if n%2 == 0 {
		method, path, body = http.MethodPost, "/book/x", strings.NewReader("a booking")
	}
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, frontPort, path), body)
	if err != nil {
		return 0
	}
	r.Host = "a.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "1000")
	r.Header.Set("Authorization", "Token k1")
	c.fleet.rec.add("client sends %s (%s %s) to %s", id, method, path, m.name)
	resp, err := client.Do(r)
	if err != nil {
		c.fleet.rec.add("client gets no answer to %s", id)
		return 0
	}
	data, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	c.fleet.rec.add("client gets %d to %s: %.60q", resp.StatusCode, id, data)
	c.mu.Lock()
	c.status[id] = resp.StatusCode
	c.mu.Unlock()
	switch {
	case resp.StatusCode/100 != 2 || err != nil:
	case string(data) == "answer to "+id && resp.Header.Get("X-Response-Signature") != "":
		c.answered.Add(1)
	default:
		c.wrong.Add(1)
		c.fleet.rec.add("MIXED: %s gets a success with another body than the engine's", id)
	}
	return resp.StatusCode
}

// unanswered returns how many requests of list got no success.
func (c *clients) unanswered(list []run) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range list {
		if c.status[r.request] != http.StatusOK {
			n++
		}
	}
	return n
}

func (c *clients) stop() {
	close(c.done)
	c.wg.Wait()
}

// awaitServing waits until every front machine has answered a request.
func (f *fleet) awaitServing(c *clients, wait time.Duration) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(wait)
	for _, m := range f.fronts() {
		for c.send(client, m) != http.StatusOK {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
