// Command 4 moves a route to a service whose name has a quotation mark in it.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"wagtaillift/review/fleet"
)

const (
	oldService = "workshop"
	newService = `workshop "west"`
	otherName  = "workshop west" // in place of newService, without the disruption
	requests   = 60
	timeoutMS  = 1000
	applyTime  = 2 * time.Second // config_apply_ms
	maxCut     = 3               // LOST counts more than three
)

// config returns a configuration in which bookings go to a service.
func config(version int, booking string, services ...string) map[string]any {
	routes := []map[string]any{fleet.Route("booking", "unsafe", booking, timeoutMS, 150, 1), fleet.Route("status", "safe", oldService, timeoutMS, 150, 2)}
	return fleet.Config(version, routes, services, 0, 0)
}

func main() {
	f := fleet.New(fleet.Options{Zones: 3, FrontsEach: 1, MemoryMB: 284, QuotaSlack: 190000, BinaryPath: os.Args[1], RecordPath: os.Args[2]})
	name := newService
	if !f.Trouble {
		name = otherName
	}
	f.Start()
	f.Configure(config(1, oldService, oldService, name), 20*time.Second)
	var mu sync.Mutex
	ran := map[string]bool{}
	for i := range 6 {
		u := &fleet.Upstream{Name: fmt.Sprintf("i-engine-%d", i), Service: oldService, Zone: i % 3, Slots: 64}
		if i >= 3 {
			u.Service = name
		}
		u.Run = func(w http.ResponseWriter, r *http.Request, _ []byte) {
			mu.Lock()
			ran[r.Header.Get("X-Request-Id")] = true
			mu.Unlock()
			io.WriteString(w, "booked")
		}
		f.StartUpstream(i, u)
	}
	f.AwaitReady(20 * time.Second)
	time.Sleep(2 * time.Second)
	cutBefore := sendAll(f, &mu, ran, "before")
	f.Configure(config(2, name, oldService, name), 10*time.Second)
	time.Sleep(applyTime)
	cutAfter := sendAll(f, &mu, ran, "after")
	f.Finish(cutBefore+cutAfter > maxCut, "%d of %d bookings before the change and %d of %d after it ran at a sound engine and lost their channel without an answer",
		cutBefore, requests, cutAfter, requests)
}

// sendAll sends bookings over all entry VMs on kept channels and returns how many ran and were not answered.
func sendAll(f *fleet.Fleet, mu *sync.Mutex, ran map[string]bool, phase string) (cut int) {
	for k := range requests {
		id := fmt.Sprintf("%s-%02d", phase, k)
		client := fleet.Client{Address: f.Fronts[k%len(f.Fronts)].CallerAddress(), TimeoutMS: timeoutMS}
		var sent time.Duration
		end := client.SendOnKept("/status/x", "/booking/x", id, "body", func() { sent = f.Since() })
		mu.Lock()
		f.Log("%s sent %.3f, ran: %v, ended: %s", id, sent.Seconds(), ran[id], end)
		if ran[id] && strings.HasPrefix(end, fleet.ClosedUnanswered) {
			cut++
		}
		mu.Unlock()
	}
	return cut
}
