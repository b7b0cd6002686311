// Command 1 stops an entry VM as planned, and tells it during the stop that its settings have changed.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"wagtaillift/review/fleet"
)

const (
	requests  = 40
	runTime   = 3 * time.Second
	timeoutMS = 5000
	hupAfter  = time.Second // after the SIGTERM
	grace     = 8 * time.Second
)

// request is what the record keeps of one.
type request struct {
	id               string
	sent, ran, ended time.Duration
	end              string
}

func main() {
	f := fleet.New(fleet.Options{Zones: 3, FrontsEach: 1, MemoryMB: 284, QuotaSlack: 190000, BinaryPath: os.Args[1], RecordPath: os.Args[2]})
	f.Start()
	routes := []map[string]any{fleet.Route("booking", "unsafe", "app", timeoutMS, 600, 1), fleet.Route("status", "safe", "app", timeoutMS, 600, 2)}
	f.Configure(fleet.Config(1, routes, []string{"app"}, 0, 0), 20*time.Second)
	var mu sync.Mutex
	byID := map[string]*request{}
	for i := range 3 {
		f.StartUpstream(i, &fleet.Upstream{Service: "app", Zone: i, Slots: 64, Run: func(w http.ResponseWriter, r *http.Request, _ []byte) {
			mu.Lock()
			if q := byID[r.Header.Get("X-Request-Id")]; q != nil {
				q.ran = f.Since()
			}
			mu.Unlock()
			if strings.HasPrefix(r.URL.Path, "/booking/") {
				time.Sleep(runTime)
			}
			io.WriteString(w, "booked")
		}})
	}
	f.AwaitReady(20 * time.Second)
	time.Sleep(2 * time.Second)

	entry := f.Fronts[0]
	client := fleet.Client{Address: entry.CallerAddress(), TimeoutMS: timeoutMS}
	var wg sync.WaitGroup
	var list []*request
	for k := range requests {
		q := &request{id: fmt.Sprintf("r%02d", k)}
		mu.Lock()
		list, byID[q.id] = append(list, q), q
		mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			q.end = client.SendOnKept("/status/x", "/booking/x", q.id, "body", func() { q.sent = f.Since() })
			q.ended = f.Since()
		}()
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	f.Log("SIGTERM to %s", entry.Name)
	stopped := f.Since()
	entry.Signal(syscall.SIGTERM)
	time.Sleep(hupAfter)
	if f.Trouble {
		f.Log("settings of %s change, SIGHUP", entry.Name)
		entry.Rewrite()
		entry.Signal(syscall.SIGHUP)
	}
	select {
	case <-entry.Ended():
		f.Log("%s ended %.3f s after its SIGTERM: %s", entry.Name, (f.Since() - stopped).Seconds(), entry.EndState())
	case <-time.After(grace - hupAfter):
		f.Log("%s is killed at the end of its grace", entry.Name)
		entry.Kill()
	}
	wg.Wait()
	cut := 0
	for _, q := range list {
		f.Log("%s sent %.3f, ran from %.3f on, ended %.3f: %s", q.id, q.sent.Seconds(), q.ran.Seconds(), q.ended.Seconds(), q.end)
		if q.ran > 0 && (strings.HasPrefix(q.end, fleet.ClosedUnanswered) || strings.HasPrefix(q.end, fleet.ClosedInAnswer)) {
			cut++
		}
	}
	f.Finish(cut > 0, "%d of %d requests that engines ran lost their channel without a complete answer", cut, len(list))
}
