package vm

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Flags of the soak with cuts: go test ./internal/routers/vm -run SoakWithCuts -args -cutsoak 20s -cutfirst 100 -cutruns 50
var (
	cutSoakTime  = flag.Duration("cutsoak", 12*time.Second, "duration of fault injection in each run of the soak with cuts")
	cutSoakFirst = flag.Uint64("cutfirst", 1, "first seed of the soak with cuts")
	cutSoakRuns  = flag.Uint64("cutruns", 1, "number of runs of the soak with cuts, with consecutive seeds")
)

const (
	calmTime       = time.Second // without a crash or a silent upstream, after which requests count
	maxCutFailures = 10          // requests that may fail at VMs that are cut off, and one in cutFailurePart more
	cutFailurePart = 50
)

// cutTally counts requests to VMs that are cut off, from contactTime on, and to the others meanwhile.
type cutTally struct{ served, sent atomic.Int64 }

func (n *cutTally) count(served bool) {
	n.sent.Add(1)
	if served {
		n.served.Add(1)
	}
}

// cutSoak is one run of the soak with cuts.
type cutSoak struct {
	*cutFleet
	rnd      *rand.Rand
	mu       sync.Mutex
	cuts     [cutEntryVMs]int       // cuts in force, by VM
	cutSince [cutEntryVMs]time.Time // when the VM was cut off; zero if it is not
	faulted  time.Time              // end of the last fault of an upstream
	cut      cutTally
	others   cutTally
	refused  sync.Map // ids of requests that were answered as not run
	done     chan struct{}
}

// beginCut cuts off some VMs, never all of them, and returns a function that ends the cut.
func (s *cutSoak) beginCut(list []int, kind cutKind) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range list {
		if s.cuts[i]++; s.cuts[i] == 1 {
			s.cutSince[i] = time.Now()
		}
		s.links[i].cut(kind)
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, i := range list {
			if s.cuts[i]--; s.cuts[i] == 0 {
				s.cutSince[i] = time.Time{}
				s.links[i].cut(connected)
			}
		}
	}
}

// tally returns where a request to VM i counts now; nil if it does not.
func (s *cutSoak) tally(i int) *cutTally {
	s.mu.Lock()
	defer s.mu.Unlock()
	some := false
	for _, at := range s.cutSince {
		some = some || !at.IsZero() && time.Since(at) > contactTime
	}
	switch {
	case !some || time.Since(s.faulted) < calmTime:
		return nil
	case s.cutSince[i].IsZero():
		return &s.others
	case time.Since(s.cutSince[i]) > contactTime:
		return &s.cut
	}
	return nil
}

// runCaller sends requests of one kind to one VM until the run ends.
func (s *cutSoak) runCaller(i int, kind string) {
	client := &http.Client{Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	for s.running() {
		id := fmt.Sprintf("%s-%d", kind, s.sent.Add(1))
		r := s.newRequest(i, kind, id)
		before := s.tally(i)
		served := false
		if resp, err := client.Do(r); err == nil {
			data, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			served = err == nil && resp.StatusCode == http.StatusOK
			if served && kind == "stream" && strings.Count(string(data), "id: ") != 3 || served && kind != "stream" && string(data) != "answer" {
				s.refused.Store("wrong answer to "+id, true)
			}
			if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
				s.refused.Store(id, true)
			}
		}
		if before != nil && before == s.tally(i) {
			before.count(served)
		}
		time.Sleep(cutRequestGap)
	}
}

func (s *cutSoak) running() bool {
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}

// injectCuts begins and ends cuts, several at a time, until the given time.
func (s *cutSoak) injectCuts(until time.Time) {
	var wg sync.WaitGroup
	for time.Now().Before(until) {
		spared := s.rnd.IntN(cutEntryVMs)
		var list []int
		for _, k := range s.rnd.Perm(cutEntryVMs) {
			if k != spared && (len(list) == 0 || s.rnd.IntN(3) > 0) {
				list = append(list, k)
			}
		}
		kind := []cutKind{cutHangs, cutResets, cutRefuses, cutKeepsOpen}[s.rnd.IntN(4)]
		length := contactTime + time.Duration(s.rnd.IntN(3000))*time.Millisecond
		end := s.beginCut(s.exceptLast(list), kind)
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(length)
			end()
		}()
		time.Sleep(time.Duration(500+s.rnd.IntN(2500)) * time.Millisecond)
	}
	wg.Wait()
}

// exceptLast returns the VMs of list that may be cut off while one VM is left that is not.
func (s *cutSoak) exceptLast(list []int) (kept []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := 0
	for _, n := range s.cuts {
		if n == 0 {
			free++
		}
	}
	for _, i := range list {
		if s.cuts[i] == 0 {
			if free == 1 {
				continue
			}
			free--
		}
		kept = append(kept, i)
	}
	return kept
}

// injectUpstreamFaults crashes upstreams and lets them stand still until the given time.
func (s *cutSoak) injectUpstreamFaults(rnd *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(2000+rnd.IntN(3000)) * time.Millisecond)
		u := s.upstreams[rnd.IntN(len(s.upstreams))]
		s.markFault()
		if rnd.IntN(2) == 0 {
			u.crash()
			time.Sleep(time.Duration(200+rnd.IntN(1000)) * time.Millisecond)
			u.start()
		} else {
			u.silent.Lock()
			time.Sleep(time.Duration(500+rnd.IntN(700)) * time.Millisecond)
			u.silent.Unlock()
		}
		s.markFault()
	}
}

// markFault records that an upstream is at fault now. A fault lasts 1.2 s at most.
func (s *cutSoak) markFault() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faulted = time.Now().Add(1200 * time.Millisecond)
}

// check checks what callers and upstreams have seen.
func (s *cutSoak) check(t *testing.T) {
	s.refused.Range(func(id, _ any) bool {
		require.NotContains(t, id, "wrong answer")
		_, ran := s.runs.Load(id)
		require.False(t, ran, "%s was answered as not run, but ran", id)
		return true
	})
	s.runs.Range(func(id, n any) bool {
		if strings.HasPrefix(id.(string), "unsafe") {
			require.LessOrEqual(t, n.(*atomic.Int32).Load(), int32(1), id)
		}
		return true
	})
	for print, r := range s.control.authority.State().Suspects() {
		for _, c := range r {
			_, crashed := s.crashed.Load(string(c.Upstream))
			require.True(t, crashed, "a crash of %s is recorded for %s, which did not crash", c.Upstream, print)
		}
	}
	served, sent := s.cut.served.Load(), s.cut.sent.Load()
	othersServed, othersSent := s.others.served.Load(), s.others.sent.Load()
	t.Logf("%d of %d requests served at VMs that were cut off, %d of %d at others", served, sent, othersServed, othersSent)
	if sent-served > maxCutFailures+sent/cutFailurePart {
		require.GreaterOrEqual(t, 3*served*othersSent, 2*othersServed*sent)
	}
}

// TestSoakWithCuts cuts VMs off from all upstreams, several at a time and in different ways, while upstreams crash and stand still. Callers of
// VMs that are cut off must not be served much worse than others, no upstream is taken for crashed that is not, and what holds for
// every request goes on to hold.
func TestSoakWithCuts(t *testing.T) {
	for seed := *cutSoakFirst; seed < *cutSoakFirst+*cutSoakRuns; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := &cutSoak{cutFleet: newCutFleet(t), rnd: rand.New(rand.NewPCG(seed, 1)), done: make(chan struct{})}
			var wg sync.WaitGroup
			for i := range cutEntryVMs {
				for _, kind := range cutKinds {
					wg.Add(1)
					go func() {
						defer wg.Done()
						s.runCaller(i, kind)
					}()
				}
			}
			until := time.Now().Add(*cutSoakTime)
			faults := make(chan struct{})
			go func() {
				defer close(faults)
				s.injectUpstreamFaults(rand.New(rand.NewPCG(seed, 2)), until)
			}()
			s.injectCuts(until)
			<-faults
			close(s.done)
			wg.Wait()
			s.check(t)
			for i, n := range s.sendAll(cutRequests) {
				require.GreaterOrEqual(t, n, len(cutKinds)*cutRequests*9/10, "VM %d after the cuts", i)
			}
			for i, v := range s.entries {
				require.False(t, v.dialer.CutOff() && s.opensDirectly(i), "VM %d", i)
			}
		})
	}
}

// opensDirectly reports whether entry VM i still counts as cut off after a new connection.
func (s *cutSoak) opensDirectly(i int) bool {
	conn, err := s.entries[i].dialer.Dial(s.t.Context(), strings.TrimPrefix(s.upstreams[0].srv.URL, "http://"), time.Second)
	if err != nil {
		return true
	}
	conn.Close()
	return s.entries[i].dialer.CutOff()
}
