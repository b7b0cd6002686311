package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, 300) }

// centralBucket is the reference model: a single token bucket for the whole limit.
type centralBucket struct {
	tokens float64
	at     time.Duration
	limit  Quota
}

func (b *centralBucket) take(now time.Duration, n float64) bool {
	b.tokens = min(b.limit.Burst, b.tokens+b.limit.Rate*(now-b.at).Seconds())
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// node is a simulated VM with its bucket. While it is partitioned it neither reports nor receives shares.
type node struct {
	name             id.VM
	bucket           Bucket
	lease            time.Duration
	cutUntil         time.Duration
	answersLostUntil time.Duration // its reports arrive until then, but the answers are lost
	dead             bool
	shareExhausted   bool          // the share was too small for a request since the last report
	reportAt         time.Duration // next regular report
	earlyReportAt    time.Duration // earliest next report if the share is exhausted
}

// simulation drives VMs, a divider and a network that loses reports and answers.
type simulation struct {
	rnd        *rand.Rand
	now        time.Duration
	limit      Quota
	div        *Divider
	nodes      []*node
	lastReport map[id.VM]time.Duration
	unfreezeAt time.Duration // when all leases granted by the previous leader have expired
	admitted   []admission
}

type admission struct {
	at time.Duration
	n  float64
}

const (
	testLease               = 6 * time.Second
	testReportInterval      = 500 * time.Millisecond
	testEarlyReportInterval = 100 * time.Millisecond
	testStep                = 10 * time.Millisecond
)

func newSimulation(seed uint64, vms int, limit Quota) *simulation {
	s := &simulation{
		rnd: rand.New(rand.NewPCG(seed, 1)), limit: limit, div: &Divider{}, lastReport: map[id.VM]time.Duration{}, now: time.Second,
	}
	s.div.SetLimit(limit)
	s.div.Start(s.now)
	for i := range vms {
		s.nodes = append(s.nodes, &node{name: id.VM(fmt.Sprint("vm", i))})
	}
	return s
}

// leased reports whether n may admit requests. Its lease starts at its last answered report.
func (s *simulation) leased(n *node) bool { return !n.dead && s.now < n.lease }

// exchange simulates one report and its answer; lost is the message that the network drops.
func (s *simulation) exchange(n *node, lost string) {
	if n.dead || s.now < n.cutUntil {
		return
	}
	if !s.leased(n) {
		n.bucket.Reset(s.now)
	}
	if lost == "report" {
		return
	}
	s.div.Report(n.name, VMReport{WantedRate: n.bucket.Demand(s.now), Quota: n.bucket.Quota(), DroppedTokens: n.bucket.DroppedTokens()})
	s.lastReport[n.name] = s.now
	share, granted := s.div.Share(s.now, n.name)
	if lost == "answer" || s.now < n.answersLostUntil {
		return
	}
	n.lease = s.now + testLease
	n.bucket.SetShare(s.now, share)
	n.bucket.Credit(s.now, granted)
}

// expireShares revokes the shares of VMs whose lease has expired, with a margin of 1%.
func (s *simulation) expireShares() {
	for vm, at := range s.lastReport {
		if s.now > at+testLease+testLease/100 {
			s.div.Remove(vm)
			delete(s.lastReport, vm)
		}
	}
	s.div.Refill(s.now)
}

// newLeader replaces the divider with an empty one, which stays frozen until all leases from the previous leader have
// expired.
func (s *simulation) newLeader() {
	s.div = &Divider{Frozen: true}
	s.div.SetLimit(s.limit)
	s.div.Start(s.now)
	clear(s.lastReport)
	s.unfreezeAt = s.now + testLease + testLease/100
}

func (s *simulation) ask(n *node, tokens float64) bool {
	n.bucket.AddDemand(tokens)
	if !s.leased(n) {
		return false
	}
	ok := n.bucket.Take(s.now, tokens)
	n.shareExhausted = n.shareExhausted || !ok
	if !ok && s.now >= n.cutUntil {
		ok = s.div.Draw(s.now, tokens)
	}
	if ok {
		s.admitted = append(s.admitted, admission{s.now, tokens})
	}
	return ok
}

// askWithRetries retries for as long as a limiter waits before it refuses, and advances the simulation meanwhile.
func (s *simulation) askWithRetries(n *node, tokens float64) bool {
	for range 25 {
		if s.ask(n, tokens) {
			return true
		}
		n.bucket.AddDemand(-tokens) // count the request only once as demand
		s.step(false)
	}
	return false
}

// step advances time and exchanges all due reports, with random message loss if faults is set.
func (s *simulation) step(faults bool) {
	s.now += testStep
	for _, n := range s.nodes {
		if s.now < n.reportAt && (!n.shareExhausted || s.now < n.earlyReportAt) {
			continue
		}
		n.reportAt, n.earlyReportAt, n.shareExhausted = s.now+testReportInterval, s.now+testEarlyReportInterval, false
		lost := ""
		if faults {
			lost = []string{"", "", "", "", "report", "answer"}[s.rnd.IntN(6)]
		}
		s.exchange(n, lost)
	}
	s.expireShares()
}

func (s *simulation) injectFault() {
	n := s.nodes[s.rnd.IntN(len(s.nodes))]
	switch s.rnd.IntN(4) {
	case 0:
		n.cutUntil = s.now + time.Duration(s.rnd.IntN(8000))*time.Millisecond
	case 1:
		n.dead = true
	case 2:
		n.answersLostUntil = s.now + time.Duration(s.rnd.IntN(8000))*time.Millisecond
	case 3:
		if n.dead { // a restarted VM has no share
			*n = node{name: n.name + "x"}
		}
	}
}

// requireWithinLimit checks that no interval of length T admitted more than rate·T + burst.
func requireWithinLimit(t require.TestingT, limit Quota, list []admission) {
	tokens := limit.Burst
	var last time.Duration
	for i, a := range list { // a full central bucket admits the whole list if and only if no interval exceeds the limit
		if i > 0 {
			tokens = min(limit.Burst, tokens+limit.Rate*(a.at-last).Seconds())
		}
		last = a.at
		tokens -= a.n
		require.GreaterOrEqual(t, tokens, -1e-3, "admitted more than rate and burst allow up to %v", a.at)
	}
}

// TestAdmissionsNeverExceedRateAndBurst kills, restarts and partitions VMs, loses reports and answers, and replaces the
// leader, with demand that moves between VMs and far exceeds the rate.
func TestAdmissionsNeverExceedRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Quota{Rate: 1000, Burst: 500}
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), 4, limit)
		for k := range 3000 {
			s.step(true)
			if k%100 == 0 {
				s.injectFault()
			}
			if k%700 == 699 {
				s.newLeader()
			}
			if s.div.Frozen && s.now > s.unfreezeAt {
				s.div.Unfreeze(s.now)
			}
			if k == 1500 {
				limit = Quota{Rate: 1000, Burst: 400} // takes effect over time, and the old limit is never exceeded
				s.limit = limit
				s.div.SetLimit(limit)
			}
			hot := (k / 300) % len(s.nodes)
			for range 1 + s.rnd.IntN(3) {
				i := hot
				if s.rnd.IntN(4) == 0 {
					i = s.rnd.IntN(len(s.nodes))
				}
				s.ask(s.nodes[i], float64(1+s.rnd.IntN(60)))
			}
		}
		requireWithinLimit(t, Quota{Rate: 1000, Burst: 500}, s.admitted)
	})
}

// TestAdmitsNearlyAsMuchAsCentralBucket checks that under skewed demand of six times the rate the shares admit at least
// 95% of what a central bucket admits.
func TestAdmitsNearlyAsMuchAsCentralBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Quota{Rate: 1000, Burst: 2000}
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), 6, limit)
		central := &centralBucket{limit: limit, at: s.now}
		var got, want float64
		for k := range 12000 {
			s.step(false)
			hot := (k / 2000) % len(s.nodes)
			if s.rnd.Float64() > 0.6*2 && k%2 == 0 {
				continue
			}
			n := float64(20 + s.rnd.IntN(80)) // 60 tokens per 10 ms on average: six times the rate
			i := hot
			if s.rnd.IntN(10) < 3 {
				i = s.rnd.IntN(len(s.nodes))
			}
			if s.ask(s.nodes[i], n) {
				got += n
			}
			if central.take(s.now, n) {
				want += n
			}
		}
		require.GreaterOrEqual(t, got, 0.95*want)
	})
}

// TestFewRefusalsBelowRate checks that at most 1% of the requests of a customer at four fifths of its rate are refused
// while its demand moves between VMs.
func TestFewRefusalsBelowRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Quota{Rate: 1000, Burst: 2000}
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), 6, limit)
		asked, refused := 0, 0
		for k := range 6000 {
			s.step(false)
			if k < 300 || s.rnd.IntN(5) > 0 {
				continue // on average one request of 40 tokens per 50 ms
			}
			asked++
			if !s.askWithRetries(s.nodes[(k/1000+s.rnd.IntN(2))%len(s.nodes)], float64(20+s.rnd.IntN(40))) {
				refused++
			}
		}
		require.LessOrEqual(t, refused*100, asked, "%d of %d refused", refused, asked)
	})
}

func TestShareGrowthWaitsForAcknowledgedDecrease(t *testing.T) {
	d := &Divider{}
	d.SetLimit(Quota{Rate: 100, Burst: 100})
	d.Start(0)
	d.Report("a", VMReport{WantedRate: 100})
	first, _ := d.Share(time.Second, "a")
	d.Report("a", VMReport{WantedRate: 100, Quota: first})
	d.Report("b", VMReport{WantedRate: 100})
	second, _ := d.Share(2*time.Second, "b")
	require.LessOrEqual(t, first.Rate+second.Rate, 100.0)
	smaller, _ := d.Share(2*time.Second, "a")
	require.Less(t, smaller.Rate, first.Rate)
	again, _ := d.Share(2*time.Second, "b")
	require.LessOrEqual(t, first.Rate+again.Rate, 100.0, "growth before the decrease was acknowledged")
	d.Report("a", VMReport{WantedRate: 100, Quota: smaller})
	grown, _ := d.Share(2*time.Second, "b")
	require.Greater(t, grown.Rate, again.Rate)
}

func BenchmarkBucketTake(b *testing.B) {
	var k Bucket
	k.SetShare(0, Quota{Rate: 1e12, Burst: 1e12})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k.Take(time.Duration(i)*time.Microsecond, 1)
	}
}
