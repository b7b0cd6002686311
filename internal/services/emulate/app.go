package emulate

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
)

// RunCounter counts how often applications executed each non-idempotent request, by request body. The applications of
// one service share a counter, as they would share a database.
type RunCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// Add counts one execution of the request with this body and returns the count.
func (r *RunCounter) Add(body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = map[string]int{}
	}
	r.runs[body]++
	return r.runs[body]
}

// Runs returns how often the request with this body was executed.
func (r *RunCounter) Runs(body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[body]
}

// Duplicates returns the number of requests that were executed more than once.
func (r *RunCounter) Duplicates() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, count := range r.runs {
		if count > 1 {
			n++
		}
	}
	return n
}

// App is an emulated application. It answers with a description of the request, and counts each POST in RunCounter.
type App struct {
	Announcement engine.Announcement
	Announce     []string // base URLs of the fleet's upstream listeners
	Credential   string   // upstream credential
	RunCounter   *RunCounter
	Delay        time.Duration // before each answer
	CrashText    string        // a request whose target or body contains this text crashes the application; empty for none
	Restart      time.Duration // after a crash; zero never restarts

	mu             sync.Mutex
	requestHeaders []http.Header
	server         *http.Server
	state          engine.State
	stopAnnouncing context.CancelFunc
	parent         context.Context // of Start
	crashes        int
	crashed        bool // and not restarted yet
}

// Start listens on the announced address and announces the application periodically until ctx ends.
func (a *App) Start(ctx context.Context) error {
	l, err := net.Listen("tcp", a.Announcement.Address)
	if err != nil {
		return errors.Annotatef(err, "listen for application %s", a.Announcement.Name)
	}
	a.mu.Lock()
	a.Announcement.Address = l.Addr().String()
	a.Announcement.Incarnation = uint64(time.Now().UnixNano())
	a.state, a.crashed = engine.Ready, false
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: time.Minute}
	srv := a.server
	a.parent = ctx
	ctx, a.stopAnnouncing = context.WithCancel(ctx)
	a.mu.Unlock()
	go srv.Serve(l)
	go announceLoop(ctx, a.Announce, a.Credential, nil, func() engine.Announcement {
		a.mu.Lock()
		defer a.mu.Unlock()
		n := a.Announcement
		n.State = a.state
		return n
	})
	return nil
}

// StopAnnouncing stops the announcements; the application keeps serving requests.
func (a *App) StopAnnouncing() { a.stopAnnouncing() }

// Kill stops the application abruptly, as if its process were killed.
func (a *App) Kill() {
	a.mu.Lock()
	stop, srv := a.stopAnnouncing, a.server
	a.mu.Unlock()
	stop()
	srv.Close()
}

// crash kills the application and starts it again after Restart as a new incarnation, unless the context of Start has ended.
func (a *App) crash() {
	a.mu.Lock()
	if a.crashed {
		a.mu.Unlock()
		return
	}
	a.crashed = true
	a.crashes++
	ctx := a.parent
	a.mu.Unlock()
	a.Kill()
	if a.Restart == 0 {
		return
	}
	time.AfterFunc(a.Restart, func() {
		if ctx.Err() != nil {
			return
		}
		if err := a.Start(ctx); err != nil {
			klog.ErrorS(err, "Application not restarted", "app", a.Announcement.Name)
		}
	})
}

// Crashes returns the number of crashes so far.
func (a *App) Crashes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.crashes
}

// RequestHeaders returns the headers of the first maxKeptHeaders requests.
func (a *App) RequestHeaders() []http.Header {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]http.Header(nil), a.requestHeaders...)
}

// maxKeptHeaders is the number of requests whose headers an App keeps.
const maxKeptHeaders = 1000

// EchoAnswer is the body with which an application answers.
type EchoAnswer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query,omitempty"`
	Bytes  int    `json:"bytes"`
	Digest string `json:"digest"`
	Run    int    `json:"run,omitempty"` // number of executions of this body so far
}

// ServeHTTP implements http.Handler. /health returns an empty answer, /bytes/N returns N bytes, and every other path an
// EchoAnswer.
func (a *App) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerIncarnation, strconv.FormatUint(a.Announcement.Incarnation, 10))
	w.Header().Set(headerRequest, r.Header.Get(headerRequest))
	if r.URL.Path == "/health" {
		return
	}
	a.mu.Lock()
	if len(a.requestHeaders) < maxKeptHeaders {
		a.requestHeaders = append(a.requestHeaders, r.Header.Clone())
	}
	a.mu.Unlock()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	time.Sleep(a.Delay)
	if a.CrashText != "" && strings.Contains(r.RequestURI+string(body), a.CrashText) {
		go a.crash()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if n, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/bytes/")); err == nil {
		io.Copy(w, io.LimitReader(zeroReader{}, int64(n)))
		return
	}
	e := EchoAnswer{
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Bytes: len(body),
		Digest: strconv.FormatUint(hash.Bytes(body), 16),
	}
	if r.Method == http.MethodPost && a.RunCounter != nil {
		e.Run = a.RunCounter.Add(string(body))
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(e)
}

// zeroReader is an endless stream of the character '0'.
type zeroReader struct{}

// Read fills p with '0'.
func (zeroReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '0'
	}
	return len(p), nil
}

// WeightStore is an emulated weight store that serves one load of model weights at a time.
type WeightStore struct {
	mu       sync.Mutex
	LoadTime time.Duration // duration of one load
}

// Load waits until earlier loads have finished and then for the duration of one load, or until ctx ends.
func (s *WeightStore) Load(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(s.LoadTime):
	}
}

// Platform is an emulated platform that accepts usage reports and counts faulty ones.
type Platform struct {
	mu        sync.Mutex
	fence     id.Fence
	windows   map[id.Window]string
	sum       map[string]usage.Count
	Conflicts int  // repeated reports of a window whose usage differs from the first
	Stale     int  // reports with a lower fencing token than an earlier report
	Refuse    bool // answer reports with status 503
	Acts      Acts // reports by the VMs that hold the lease
}

// ServeHTTP implements http.Handler. It serves POST /v1/usage and GET /emulate/stats.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/usage":
		p.recordUsage(w, r)
	case "GET /emulate/stats":
		p.mu.Lock()
		defer p.mu.Unlock()
		json.NewEncoder(w).Encode(map[string]any{
			"windows": len(p.windows), "conflicts": p.Conflicts, "stale": p.Stale, "sum": p.sum, "broken": p.Acts.Broken(0),
		})
	default:
		http.NotFound(w, r)
	}
}

// UsageSum returns the usage of a customer and service over all reported windows.
func (p *Platform) UsageSum(c id.Customer, s id.Service) usage.Count {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sum[string(c)+"/"+string(s)]
}

// recordUsage handles a usage report. Only the first report of each window is added to the sums.
func (p *Platform) recordUsage(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Window id.Window    `json:"window"`
		Fence  id.Fence     `json:"fence"`
		Lines  []usage.Line `json:"lines"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Refuse {
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	if p.windows == nil {
		p.windows, p.sum = map[id.Window]string{}, map[string]usage.Count{}
	}
	p.Acts.Add("usage", Act{Fence: q.Fence, At: time.Now()})
	if q.Fence < p.fence {
		p.Stale++
	}
	p.fence = max(p.fence, q.Fence)
	encoded, _ := json.Marshal(q.Lines)
	old, exists := p.windows[q.Window]
	if exists && old != string(encoded) {
		p.Conflicts++
	}
	if exists {
		return
	}
	p.windows[q.Window] = string(encoded)
	for _, l := range q.Lines {
		k := string(l.Customer) + "/" + string(l.Service)
		p.sum[k] = p.sum[k].Add(l.Count)
	}
}
