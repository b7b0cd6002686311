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

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
)

// Ledger counts the non-idempotent requests that applications ran, by body. Applications of one service share it, as
// they would share their data.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// Add counts one run of body.
func (l *Ledger) Add(body string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string]int{}
	}
	l.runs[body]++
	return l.runs[body]
}

// Runs returns how often body ran.
func (l *Ledger) Runs(body string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[body]
}

// Doubles returns how many bodies ran more than once.
func (l *Ledger) Doubles() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, k := range l.runs {
		if k > 1 {
			n++
		}
	}
	return n
}

// App is an emulated application: POST records a booking once per call, everything else echoes.
type App struct {
	Announcement engine.Announcement
	Announce     []string
	Key          string
	Ledger       *Ledger
	Delay        time.Duration

	mu     sync.Mutex
	heads  []http.Header
	server *http.Server
	state  engine.State
	silent context.CancelFunc
}

// Start listens and announces the application.
func (a *App) Start(ctx context.Context) error {
	l, err := net.Listen("tcp", a.Announcement.Address)
	if err != nil {
		return errors.Annotatef(err, "listen for application %s", a.Announcement.Name)
	}
	a.mu.Lock()
	a.Announcement.Address = l.Addr().String()
	a.Announcement.Incarnation = uint64(time.Now().UnixNano())
	a.state = engine.Ready
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: time.Minute}
	srv := a.server
	ctx, a.silent = context.WithCancel(ctx)
	a.mu.Unlock()
	go srv.Serve(l)
	go announceLoop(ctx, a.Announce, a.Key, nil, func() engine.Announcement {
		a.mu.Lock()
		defer a.mu.Unlock()
		n := a.Announcement
		n.State = a.state
		return n
	})
	return nil
}

// Silence stops the announcements; the application goes on answering.
func (a *App) Silence() { a.silent() }

// Kill ends the application as a killed process would.
func (a *App) Kill() {
	a.silent()
	a.server.Close()
}

// Heads returns the headers that reached the application.
func (a *App) Heads() []http.Header {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]http.Header(nil), a.heads...)
}

const keptHeads = 1000

// Echo is what an application answers.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query,omitempty"`
	Bytes  int    `json:"bytes"`
	Digest string `json:"digest"`
	Run    int    `json:"run,omitempty"` // how often this body has run
}

// ServeHTTP implements http.Handler.
func (a *App) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerIncarnation, strconv.FormatUint(a.Announcement.Incarnation, 10))
	w.Header().Set(headerRequest, r.Header.Get(headerRequest))
	if r.URL.Path == "/health" {
		return
	}
	a.mu.Lock()
	if len(a.heads) < keptHeads {
		a.heads = append(a.heads, r.Header.Clone())
	}
	a.mu.Unlock()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	time.Sleep(a.Delay)
	if n, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/bytes/")); err == nil {
		io.Copy(w, io.LimitReader(zeros{}, int64(n)))
		return
	}
	e := Echo{
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Bytes: len(body),
		Digest: strconv.FormatUint(hash.Bytes(body), 16),
	}
	if r.Method == http.MethodPost && a.Ledger != nil {
		e.Run = a.Ledger.Add(string(body))
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(e)
}

type zeros struct{}

// Read fills p with '0'.
func (zeros) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '0'
	}
	return len(p), nil
}

// Weights is the weight store: it loads one set of weights at a time.
type Weights struct {
	mu   sync.Mutex
	Each time.Duration // time of one load
}

// Load waits for the store's turn and the load.
func (s *Weights) Load(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(s.Each):
	}
}

// Platform takes usage reports and remembers what was wrong with them.
type Platform struct {
	mu        sync.Mutex
	fence     id.Fence
	windows   map[id.Window]string
	sum       map[string]usage.Count
	Conflicts int // reports of one window with different figures
	Stale     int // reports with an old fencing number
	Refuse    bool
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/usage":
		p.take(w, r)
	case "GET /emulate/stats":
		p.mu.Lock()
		defer p.mu.Unlock()
		json.NewEncoder(w).Encode(map[string]any{
			"windows": len(p.windows), "conflicts": p.Conflicts, "stale": p.Stale, "sum": p.sum,
		})
	default:
		http.NotFound(w, r)
	}
}

// Sum returns what all windows add up to for a customer and service.
func (p *Platform) Sum(c id.Customer, s id.Service) usage.Count {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sum[string(c)+"/"+string(s)]
}

func (p *Platform) take(w http.ResponseWriter, r *http.Request) {
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
	if q.Fence < p.fence {
		p.Stale++
	}
	p.fence = max(p.fence, q.Fence)
	figure, _ := json.Marshal(q.Lines)
	old, known := p.windows[q.Window]
	if known && old != string(figure) {
		p.Conflicts++
	}
	if known {
		return
	}
	p.windows[q.Window] = string(figure)
	for _, l := range q.Lines {
		k := string(l.Customer) + "/" + string(l.Service)
		p.sum[k] = p.sum[k].Add(l.Count)
	}
}
