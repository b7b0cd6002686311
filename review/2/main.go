// Command 2 restarts an engine under its id, and has it leave for good some seconds later.
package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"sync"
	"time"

	"wagtaillift/review/fleet"
)

const (
	drain      = 2 * time.Second // drain_ms
	longer     = time.Second     // for which the engine serves on after that
	downTime   = time.Second     // between the two lives of the engine
	secondLife = 6200 * time.Millisecond
	workTime   = 300 * time.Millisecond
	timeoutMS  = 1500
	perS       = 60
	maxLate    = 0 // requests after drain_ms
)

// arrival is a request that reached the engine.
type arrival struct {
	id string
	at time.Duration
}

// engine is one life of the engine that leaves.
type engine struct {
	*fleet.Upstream
	mu       sync.Mutex
	arrivals []arrival
	running  map[string]bool
	cut      map[string]bool // requests that it was running when it ended
}

func newEngine(f *fleet.Fleet, control int) *engine {
	e := &engine{running: map[string]bool{}}
	e.Upstream = &fleet.Upstream{Service: "app", Zone: 0, Slots: 64, Control: f.Controls[control], Run: func(w http.ResponseWriter, r *http.Request, _ []byte) {
		id := r.Header.Get("X-Request-Id")
		f.Log("%s runs at engine %s", id, e.Name)
		e.mu.Lock()
		e.arrivals = append(e.arrivals, arrival{id, f.Since()})
		e.running[id] = true
		e.mu.Unlock()
		time.Sleep(workTime)
		e.mu.Lock()
		delete(e.running, id)
		e.mu.Unlock()
		io.WriteString(w, "booked")
	}}
	return e
}

// leave deregisters the engine at a control VM, serves on, and ends. It returns when it was told that it may leave.
func (e *engine) leave(f *fleet.Fleet, at *fleet.VM, serveOn time.Duration) time.Duration {
	e.Silence()
	status := e.Deregister(at)
	acked := f.Since()
	f.Log("engine %s deregisters at %s: %d", e.Name, at.Name, status)
	if status != http.StatusOK {
		f.Close()
		fleet.Abort(fmt.Errorf("the departure was answered %d", status))
	}
	time.Sleep(serveOn)
	e.mu.Lock()
	e.cut = maps.Clone(e.running)
	e.mu.Unlock()
	e.Stop()
	f.Log("engine %s ends", e.Name)
	return acked
}

func main() {
	f := fleet.New(fleet.Options{Zones: 3, FrontsEach: 1, MemoryMB: 284, QuotaSlack: 190000, BinaryPath: os.Args[1], RecordPath: os.Args[2]})
	f.Start()
	routes := []map[string]any{fleet.Route("booking", "unsafe", "app", timeoutMS, 600, 1)}
	f.Configure(fleet.Config(1, routes, []string{"app"}, 0, 0), 20*time.Second)
	for i := 1; i < 3; i++ {
		f.StartUpstream(i, &fleet.Upstream{Service: "app", Zone: i, Slots: 64, Run: func(w http.ResponseWriter, r *http.Request, _ []byte) {
			f.Log("%s runs at another engine, %d", r.Header.Get("X-Request-Id"), i)
			time.Sleep(workTime)
			io.WriteString(w, "booked")
		}})
	}
	first := newEngine(f, 0)
	f.StartUpstream(0, first.Upstream)
	f.AwaitReady(20 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n, entry := range f.Fronts {
		clients.Add(1)
		go func() {
			defer clients.Done()
			sendRequests(f, entry, n, stop)
		}()
	}
	time.Sleep(3 * time.Second)
	first.leave(f, f.Controls[0], drain+500*time.Millisecond)
	time.Sleep(downTime)

	second := newEngine(f, 1)
	if f.Trouble {
		second.Name, second.Address = first.Name, first.Address
	}
	f.StartUpstream(0, second.Upstream)
	f.Log("engine %s starts at %s and announces itself at %s", second.Name, second.Address, f.Controls[1].Name)
	time.Sleep(secondLife)
	acked := second.leave(f, f.Controls[0], drain+longer)
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()

	second.mu.Lock()
	defer second.mu.Unlock()
	late := 0
	for _, a := range second.arrivals {
		if a.at > acked {
			f.Log("%s reached engine %s %.3f s after the confirmation", a.id, second.Name, (a.at - acked).Seconds())
		}
		if a.at > acked+drain {
			late++
		}
	}
	for id := range second.cut {
		f.Log("%s was running at engine %s when that ended", id, second.Name)
	}
	f.Finish(late > maxLate, "%d requests reached the engine later than %s after its departure was confirmed; it was running %d bookings when it ended",
		late, drain, len(second.cut))
}

// sendRequests sends bookings to an entry VM, each on a channel of its own, until stop is closed.
func sendRequests(f *fleet.Fleet, entry *fleet.VM, n int, stop chan struct{}) {
	client := fleet.Client{Address: entry.CallerAddress(), TimeoutMS: timeoutMS}
	var wg sync.WaitGroup
	defer wg.Wait()
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Second * time.Duration(len(f.Fronts)) / perS):
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("r%d-%04d", n, k)
			sent := f.Since()
			end := client.Send("/booking/x", id, "body")
			f.Log("%s sent %.3f to %s, ended: %s", id, sent.Seconds(), entry.Name, end)
		}()
	}
}
