package fleet

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// heartbeatInterval is the time between two announcements of an upstream.
const heartbeatInterval = 1200 * time.Millisecond

// Upstream is a stand-in of an engine or application.
type Upstream struct {
	Service string
	Zone    int
	Slots   int
	Stage   string // empty for an application
	Control *VM    // to which it announces itself; nil takes one control VM after the other
	// Run answers a request that is run. The body has been read, the request's id and the receipt are set.
	Run func(w http.ResponseWriter, r *http.Request, body []byte)
	// Arrived is called before the body of a request is read; nil does nothing.
	Arrived func(r *http.Request)

	Name     string // drawn at the start if empty
	Address  string // the same
	fleet    *Fleet
	born     int64
	sequence int
	silent   atomic.Bool
	server   *http.Server
}

// StartUpstream starts u under a new name and announces it.
func (f *Fleet) StartUpstream(n int, u *Upstream) {
	address := cmp.Or(u.Address, fmt.Sprintf("%s.%d.%d:0", f.subnet, u.Zone+1, 100+n))
	l, err := net.Listen("tcp", address)
	if err != nil {
		Abort(err)
	}
	u.fleet, u.born, u.Address = f, time.Now().UnixMilli(), l.Addr().String()
	u.Name = cmp.Or(u.Name, fmt.Sprintf("i-%s-%d-%x", u.Service, n, u.born))
	u.server = &http.Server{Handler: u}
	go u.server.Serve(l)
	go u.announce()
}

func (u *Upstream) announce() {
	for i := 0; !u.silent.Load(); i++ {
		u.Ping("ready", cmp.Or(u.Control, u.fleet.Controls[(i+u.Zone)%len(u.fleet.Controls)]))
		time.Sleep(heartbeatInterval)
	}
}

// Silence ends the announcements.
func (u *Upstream) Silence() { u.silent.Store(true) }

// Stop ends the upstream and the requests that it runs.
func (u *Upstream) Stop() {
	u.Silence()
	u.server.Close()
}

// Deregister tells a control VM that u leaves, and returns the status of its answer.
func (u *Upstream) Deregister(at *VM) int {
	status, _ := Post("http://"+at.OperatorAddress()+"/api/instances/"+u.Name+"/deregister", fmt.Appendf(nil, `{"born":%d}`, u.born), time.Second)
	return status
}

// Ping announces u in a state at a control VM.
func (u *Upstream) Ping(state string, to *VM) int {
	u.sequence++
	n := map[string]any{
		"service": u.Service, "address": u.Address, "zone": fmt.Sprintf("zone-%d", u.Zone+1), "version": "v1", "slots": u.Slots, "state": state,
		"cold_remaining_ms": 0, "sequence": u.sequence, "born": u.born,
	}
	if u.Stage != "" {
		n["stage"], n["models"] = u.Stage, []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	data, err := json.Marshal(n)
	if err != nil {
		Abort(err)
	}
	status, _ := Post("http://"+to.OperatorAddress()+"/api/instances/"+u.Name+"/heartbeat", data, time.Second)
	return status
}

// ServeHTTP answers as the pages say: requests for another instance get 421, reports and health checks need no slot.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if u.Arrived != nil {
		u.Arrived(r)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id := r.Header.Get("X-Request-Id"); id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	expected := r.Header.Get("X-Expect-Instance")
	switch {
	case expected != "" && expected != u.Name:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == "/api/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"running":0,"kv_used":0,"kv_total":493529,"kv_handles":0,"born":%d}`, u.Stage, u.born)
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", u.Name)
	case r.URL.Path == "/api/order":
		w.WriteHeader(http.StatusConflict)
	default:
		w.Header().Set("X-Response-Signature", "receipt-of-"+u.Name)
		u.Run(w, r, body)
	}
}
