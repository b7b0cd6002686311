package vm

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/setting"
	"wagtaillift/internal/services/emulate"
)

const (
	cutEntryVMs     = 4
	cutUpstreams    = 4
	contactTime     = 3 * time.Second // after the beginning of a cut, from which callers must be served
	cutRequests     = 12              // of each kind to each VM during a cut
	cutRequestGap   = 15 * time.Millisecond
	heartbeatPeriod = 200 * time.Millisecond
)

// cutKinds are the kinds of requests; routes have their names.
var cutKinds = []string{"safe", "unsafe", "stream"}

// cutFleet is a fleet of the platform's API: one control VM and several entry VMs in one process, each with a link of its own to the
// upstreams.
type cutFleet struct {
	t       *testing.T
	subnet  string
	control *VM
	entries []*VM
	links   []*link
	running atomic.Int64 // requests that run at upstreams
	runs    sync.Map     // how often each request ran, by id
	crashed sync.Map     // names of upstreams that crashed
	sent    atomic.Int64

	upstreams     []*cutUpstream
	refusedBefore uint64 // refusedChecks when the fleet started
}

// cutNet is the second octet of the loopback addresses of the fleets, so that two processes can run them at once; cutSubnets numbers the
// fleets of this process by the third.
var (
	cutNet     = flag.Int("cutnet", 230+os.Getpid()%20, "second octet of the loopback addresses of fleets that are cut off")
	cutSubnets atomic.Int32
)

func newCutFleet(t *testing.T) *cutFleet {
	f := &cutFleet{t: t, subnet: fmt.Sprintf("127.%d.%d", *cutNet, cutSubnets.Add(1))}
	f.refusedBefore = refusedChecks.Get()
	f.control = f.startVM(0, nil)
	for i := range cutEntryVMs {
		l := &link{}
		f.links = append(f.links, l)
		f.entries = append(f.entries, f.startVM(i+1, l))
	}
	for i := range cutUpstreams {
		f.upstreams = append(f.upstreams, f.startUpstream(i))
	}
	f.configure()
	for _, v := range f.entries {
		f.waitUntil("the VM is ready", func() bool { return v.ready() && len(v.roster.Snapshot().All) == cutUpstreams })
	}
	return f
}

func (f *cutFleet) waitUntil(condition string, ok func() bool) {
	f.t.Helper()
	require.Eventually(f.t, ok, waitTimeout, time.Millisecond, condition)
}

// startVM starts the control VM (0) or an entry VM.
func (f *cutFleet) startVM(i int, l *link) *VM {
	cfg := setting.Default()
	ip := fmt.Sprintf("%s.%d", f.subnet, i+1)
	cfg.VM, cfg.Zone, cfg.API = fmt.Sprint("vm", i), fmt.Sprint("z", i%2), apiPlatform
	cfg.Listen = setting.Listen{Peer: ip + ":7600"}
	cfg.Peers = setting.Peers{Seeds: []string{f.subnet + ".1:8229"}, Port: 7600, Trust: "network", Advertise: ip + ":7600"}
	cfg.Route.Scope = scopeFleet
	cfg.Route.Retries.Ratio, cfg.Route.Retries.Burst = 0.2, 60
	if l == nil {
		cfg.Listen.Operator = ip + ":8229"
		cfg.Data.Folder, cfg.Data.FirstStart = f.t.TempDir(), true
	} else {
		cfg.Listen.Caller = ip + ":8221"
	}
	v, err := New(cfg)
	require.NoError(f.t, err)
	if l != nil {
		v.dialer.Direct = l.dial
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		v.Run(ctx)
		close(done)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-done
	})
	return v
}

// configure sends the configuration until it is acknowledged.
func (f *cutFleet) configure() {
	r := func(name, kind, service string, attempts int, resumable bool) string {
		return fmt.Sprintf(`{"name":%q,"host":"h","path_prefix":"/%s/","type":%q,"timeout_ms":3000,"target_latency_ms":500,"target_itl_ms":250,`+
			`"service":%q,"max_attempts":%d,"resumable":%v,"public":true}`, name, name, kind, service, attempts, resumable)
	}
	text := fmt.Sprintf(`{"version":1,"routes":[%s,%s,%s],"services":[{"name":"plain"},{"name":"model","engine":{"slots":8,"kv_capacity_tokens":100000,`+
		`"kv_bytes":1000,"link_mbps":1000000,"models":[{"name":"m"}]}}]}`,
		r("safe", "safe", "plain", 2, false), r("unsafe", "unsafe", "plain", 1, false), r("stream", "streaming", "model", 2, true))
	f.waitUntil("the configuration is in force", func() bool {
		return f.post("http://"+f.subnet+".1:8229/api/config/replace", text) == http.StatusOK
	})
}

func (f *cutFleet) post(url, body string) int {
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// cutUpstream is an application or an engine that announces itself to the control VM. After a crash it starts under a new name.
type cutUpstream struct {
	fleet       *cutFleet
	number      int
	incarnation int
	name        string
	srv         *httptest.Server
	stop        context.CancelFunc
	silent      sync.RWMutex // held for writing while the process stands still
	unhealthy   atomic.Bool  // its status check fails
	fails       atomic.Bool  // its answers are failures
}

// startUpstream starts application or engine i.
func (f *cutFleet) startUpstream(i int) *cutUpstream {
	u := &cutUpstream{fleet: f, number: i}
	u.start()
	f.t.Cleanup(u.crash)
	return u
}

func (u *cutUpstream) start() {
	u.incarnation++
	name := fmt.Sprintf("i-%d-%d", u.number, u.incarnation)
	u.name = name
	u.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.silent.RLock()
		defer u.silent.RUnlock()
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != name {
			w.WriteHeader(http.StatusMisdirectedRequest) // for an upstream that had the address before
			return
		}
		if strings.HasPrefix(r.URL.Path, "/health") && u.unhealthy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !strings.HasPrefix(r.URL.Path, "/health") && u.fails.Load() {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.Header().Set("X-Response-Signature", name)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		u.fleet.answer(w, r, name)
	}))
	service, stage := "plain", ""
	if u.number%2 == 1 {
		service, stage = "model", "decode"
	}
	ctx, cancel := context.WithCancel(context.Background())
	u.stop = cancel
	url := "http://" + u.fleet.subnet + ".1:8229/api/instances/" + name + "/heartbeat"
	address, zone, born := strings.TrimPrefix(u.srv.URL, "http://"), u.number%2, u.incarnation
	go func() {
		for n := 1; ctx.Err() == nil; n++ {
			u.fleet.post(url, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z%d","version":"v1","slots":8,"state":"ready","stage":%q,"models":[{"name":"m"}],"sequence":%d,"born":%d}`,
				service, address, zone, stage, n, born))
			time.Sleep(heartbeatPeriod)
		}
	}()
}

// crash stops the upstream without notice.
func (u *cutUpstream) crash() {
	u.fleet.crashed.Store(u.name, true)
	u.stop()
	u.srv.Listener.Close()
	u.srv.CloseClientConnections()
	u.srv.Close()
}

// answer runs a request as upstreams of the platform do.
func (f *cutFleet) answer(w http.ResponseWriter, r *http.Request, name string) {
	f.running.Add(1)
	defer f.running.Add(-1)
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	n, _ := f.runs.LoadOrStore(id, new(atomic.Int32))
	n.(*atomic.Int32).Add(1)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", name)
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		io.WriteString(w, "answer")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= 3; i++ {
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// send sends count requests of each kind to entry VM i, the kinds at once, and returns how many were served at the first attempt.
func (f *cutFleet) send(i, count int) int {
	var served atomic.Int64
	var wg sync.WaitGroup
	for _, kind := range cutKinds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			served.Add(int64(f.sendKind(i, kind, count)))
		}()
	}
	wg.Wait()
	return int(served.Load())
}

// sendKind sends count requests of one kind, one after the other.
func (f *cutFleet) sendKind(i int, kind string, count int) (served int) {
	client := &http.Client{Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	for range count {
		id := fmt.Sprintf("%s-%d", kind, f.sent.Add(1))
		if resp, err := client.Do(f.newRequest(i, kind, id)); err == nil {
			_, err := io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if err == nil && resp.StatusCode == http.StatusOK {
				served++
			}
		}
		time.Sleep(cutRequestGap)
	}
	return served
}

// newRequest returns a request of a kind to entry VM i.
func (f *cutFleet) newRequest(i int, kind, id string) *http.Request {
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s.%d:8221/%s/", f.subnet, i+2, kind), strings.NewReader("body"))
	require.NoError(f.t, err)
	r.Host = "h"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "1000")
	if kind == "stream" {
		r.Header.Set("X-Token-Usage", "10,10")
		r.Header.Set("X-Prefix-Hash", "ab:5,cd:5")
	}
	return r
}

// sendAll sends requests to all entry VMs at once and returns how many of each were served.
func (f *cutFleet) sendAll(count int) []int {
	served := make([]int, cutEntryVMs)
	var wg sync.WaitGroup
	for i := range served {
		wg.Add(1)
		go func() {
			defer wg.Done()
			served[i] = f.send(i, count)
		}()
	}
	wg.Wait()
	return served
}

// refusedChecks counts the checks by which a VM of this process found an upstream crashed, as its connections were refused.
var refusedChecks = metrics.GetOrCreateCounter(`wagtaillift_crash_checks_total{result="refused"}`)

// requireSafe requires that no request that may run once at most ran twice, and that no VM found a crash.
func (f *cutFleet) requireSafe() {
	f.t.Helper()
	require.Equal(f.t, f.refusedBefore, refusedChecks.Get(), "an upstream was found crashed, but none crashed")
	f.runs.Range(func(id, n any) bool {
		if strings.HasPrefix(id.(string), "unsafe") {
			require.LessOrEqual(f.t, n.(*atomic.Int32).Load(), int32(1), id)
		}
		return true
	})
	for i, v := range f.entries {
		require.Zero(f.t, v.quarantineList.Len(), "VM %d knows crashes, but no upstream crashed", i)
	}
}

// Callers of VMs that are cut off from all upstreams are served at least two thirds as often as others while other VMs reach the
// upstreams, and nobody takes the upstreams for crashed.
func TestVMsWithoutUpstreamsServe(t *testing.T) {
	f := newCutFleet(t)
	for _, kind := range []cutKind{cutHangs, cutResets, cutRefuses, cutKeepsOpen} {
		for _, cut := range []int{1, cutEntryVMs - 1} {
			t.Run(fmt.Sprintf("%s, %d of %d VMs", kind, cut, cutEntryVMs), func(t *testing.T) {
				f.t = t
				before := f.sendAll(cutRequests)
				busy := make(chan struct{})
				go func() {
					f.sendAll(cutRequests)
					close(busy)
				}()
				f.waitUntil("requests are running", func() bool { return f.running.Load() >= cutEntryVMs })
				for i := range cut {
					f.links[i].cut(kind)
				}
				time.Sleep(contactTime)
				served := f.sendAll(cutRequests)
				<-busy
				for i := range cut {
					f.links[i].cut(connected)
				}
				t.Log("served before the cut", before, "and during it", served)
				for i := range served {
					require.GreaterOrEqual(t, 3*served[i], 2*served[cutEntryVMs-1], "VM %d", i)
				}
				require.GreaterOrEqual(t, served[cutEntryVMs-1], len(cutKinds)*cutRequests*9/10, "the VM that was not cut off")
				f.requireSafe()
			})
		}
	}
}

// The same for the OpenAI-style API.
func TestVMsWithoutEnginesServe(t *testing.T) {
	const calls = 20
	f := newFleet(t, 3)
	for i := range 3 {
		f.startEngine(i, emulate.Faults{})
	}
	f.startApp("app", testApp)
	f.waitForUpstreams(4)
	serve := func(v *VM) (served int) {
		for i := range calls {
			chat, body := f.callVM(v, "POST", "/v1/chat/completions", f.secrets["one"], chatBody(fmt.Sprint("question ", i), 3, true))
			if chat.StatusCode == http.StatusOK && strings.Contains(body, "[DONE]") {
				served++
			}
			plain, _ := f.callVM(v, "POST", "/s/"+testApp+"/x", f.secrets["one"], "body")
			if plain.StatusCode == http.StatusOK {
				served++
			}
		}
		return served
	}
	for _, kind := range []cutKind{cutHangs, cutResets, cutRefuses, cutKeepsOpen} {
		t.Run(string(kind), func(t *testing.T) {
			require.Equal(t, 2*calls, serve(f.vms[0]), "before the cut")
			f.links[0].cut(kind)
			time.Sleep(contactTime)
			served, others := serve(f.vms[0]), serve(f.vms[1])
			f.links[0].cut(connected)
			require.GreaterOrEqual(t, 3*served, 2*others)
			require.GreaterOrEqual(t, others, 2*calls*9/10)
			for i, v := range f.vms {
				require.Zero(t, v.quarantineList.Len(), "VM %d knows crashes, but no upstream crashed", i)
			}
		})
	}
}
