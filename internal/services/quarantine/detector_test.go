package quarantine

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/suspect"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/roster"
)

func TestJudge(t *testing.T) {
	for name, c := range map[string]struct {
		v    view
		want string
	}{
		"listed":                            {view{listed: true, zoneHeard: true}, ""},
		"left":                              {view{leaving: true, zoneHeard: true}, checkLeft},
		"replaced":                          {view{replaced: true}, checkReplaced},
		"replaced, old heartbeats":          {view{replaced: true, listed: true}, checkReplaced},
		"silent":                            {view{zoneHeard: true}, checkSilent},
		"its whole data centre is silent":   {view{}, ""},
		"left, another one has its address": {view{leaving: true, replaced: true}, checkLeft},
		"a crash in the log":                {view{reported: true, listed: true, zoneHeard: true}, checkReported},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, judge(c.v)) })
	}
}

// detectorFixture is a detector that knows an upstream "u" and a neighbour of it.
type detectorFixture struct {
	*Detector
	u *roster.Upstream
}

const heartbeatTimeout = time.Second

func announcement(name, address string, number uint64) engine.Announcement {
	return engine.Announcement{Name: id.Upstream(name), Zone: "z", Address: address, Incarnation: number, State: engine.Ready, Service: "s"}
}

func newDetector(t *testing.T, address string) *detectorFixture {
	r := roster.NewMultiZone("vm1", 1, heartbeatTimeout, func() {})
	now := clock.SinceBoot()
	require.NoError(t, r.Announce(now, announcement("u", address, 1)))
	require.NoError(t, r.Announce(now+time.Minute, announcement("neighbour", "127.0.0.1:1", 1)))
	u, ok := r.Snapshot().Find("u")
	require.True(t, ok)
	return &detectorFixture{Detector: &Detector{Roster: r, List: &List{}}, u: u}
}

// end records that print ended at u because its caller left or its time was over.
func (d *detectorFixture) end() { d.Ended(clock.SinceBoot(), d.u, newRun()) }

// newRun returns a run of print that was sent now.
func newRun() Run { return Run{Request: Request{Print: print}, SentAt: clock.SinceBoot()} }

// requireSuspect waits until print is a suspect.
func (d *detectorFixture) requireSuspect(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return d.List.IsSuspect(print) }, 5*time.Second, time.Millisecond)
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

func closedAddress(t *testing.T) string {
	l := listen(t)
	l.Close()
	return l.Addr().String()
}

func TestProbeFindsGoneProcess(t *testing.T) {
	d := newDetector(t, closedAddress(t))
	d.end()
	<-d.Probe(d.u)
	require.True(t, d.List.IsSuspect(print))
}

func TestProbeOfRunningUpstream(t *testing.T) {
	d := newDetector(t, listen(t).Addr().String())
	d.end()
	<-d.Probe(d.u)
	d.Check(clock.SinceBoot())
	require.False(t, d.List.IsSuspect(print))
}

// The upstream was back before this VM looked, as after a pause of the VM.
func TestRestartedUpstreamHadCrashed(t *testing.T) {
	d := newDetector(t, listen(t).Addr().String())
	d.end()
	<-d.Probe(d.u)
	require.NoError(t, d.Roster.Announce(clock.SinceBoot(), announcement("u", d.u.Address, 2)))
	d.Check(clock.SinceBoot())
	d.requireSuspect(t)
}

// The address is used again under another name.
func TestReplacedUpstreamHadCrashed(t *testing.T) {
	d := newDetector(t, listen(t).Addr().String())
	d.end()
	require.NoError(t, d.Roster.Announce(clock.SinceBoot(), announcement("next", d.u.Address, 2)))
	d.Check(clock.SinceBoot())
	d.requireSuspect(t)
}

// Nobody asks the upstream again: the caller left, or the time was over, when it crashed.
func TestSilentUpstreamHasCrashed(t *testing.T) {
	d := newDetector(t, closedAddress(t))
	d.end()
	d.Check(clock.SinceBoot())
	require.False(t, d.List.IsSuspect(print), "its heartbeats may still arrive")
	d.Roster.Expire(clock.SinceBoot() + 2*heartbeatTimeout)
	d.Check(clock.SinceBoot())
	d.requireSuspect(t)
}

// Only the heartbeats are lost on their way.
func TestUnheardUpstreamThatAccepts(t *testing.T) {
	d := newDetector(t, listen(t).Addr().String())
	d.end()
	d.Roster.Expire(clock.SinceBoot() + 2*heartbeatTimeout)
	d.Check(clock.SinceBoot())
	require.Eventually(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.watched) == 0
	}, 5*time.Second, time.Millisecond)
	require.False(t, d.List.IsSuspect(print))
}

func TestLeavingUpstreamHasNotCrashed(t *testing.T) {
	d := newDetector(t, closedAddress(t))
	d.end()
	d.Roster.MarkLeaving(clock.SinceBoot(), "u", 1, 1)
	d.Check(clock.SinceBoot())
	require.False(t, d.List.IsSuspect(print))
	require.Empty(t, d.watched)
}

// Another VM noticed the crash; requests of this VM ran there too.
func TestReportedCrash(t *testing.T) {
	d := newDetector(t, listen(t).Addr().String())
	d.end()
	d.Confirm("u", 2)
	require.False(t, d.List.IsSuspect(print), "another incarnation")
	d.Confirm("u", 1)
	require.True(t, d.List.IsSuspect(print))
}

func TestWatchedRequestsExpire(t *testing.T) {
	d := newDetector(t, closedAddress(t))
	d.end()
	d.Check(clock.SinceBoot() + watchTime)
	require.Empty(t, d.watched)
}

// Of two requests that find the same crash at once, both must see it recorded: one that does not would be sent to a further upstream.
func TestCrashIsRecordedOnceConfirmed(t *testing.T) {
	u := &roster.Upstream{Announcement: engine.Announcement{Name: "u", Incarnation: 1}, Stats: &roster.Stats{}}
	const print = Fingerprint(7)
	var missed atomic.Int32
	for range 5000 {
		d := &Detector{List: &List{}}
		d.Ended(clock.SinceBoot(), u, Run{Request: Request{Print: print}})
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() {
				d.Confirm(u.Name, u.Incarnation)
				if !d.List.IsSuspect(print) {
					missed.Add(1)
				}
			})
		}
		wg.Wait()
	}
	require.Zero(t, missed.Load())
}

// In a large fleet no message tells of a crash that another VM noticed: the log does.
func TestCommittedCrashIsFound(t *testing.T) {
	d := newDetector(t, listen(t).Addr().String())
	d.end()
	committed := suspect.Table{}
	d.List.Committed = func() suspect.Table { return committed }
	d.Check(clock.SinceBoot())
	require.False(t, d.List.IsSuspect(print))
	committed.Apply(suspect.Report{Upstream: d.u.Name, Incarnation: d.u.Incarnation, Runs: []suspect.Run{{Request: print + 1}}})
	d.Check(clock.SinceBoot())
	require.True(t, d.List.IsSuspect(print))
}

// 29 crashes at one moment, with 16 requests each whose VMs report them and then their completion at another upstream.
func TestMessagesOfHerd(t *testing.T) {
	const reports = 29 * 16 * 2
	for _, vms := range []int{12, 95, 200, 380} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			sent := 0
			for range reports {
				if AheadOfLog(vms - 1) {
					sent += vms - 1
				}
			}
			require.LessOrEqual(t, sent, reports*maxMessagedVMs)
		})
	}
}
