package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/suspect"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
)

// Parts of the tests' prompts.
const (
	first Fingerprint = iota + 100
	crashing
	sound
)

// crashUnder records that upstream n crashed at now under a request of its own with these parts.
func (l *List) crashUnder(now time.Duration, n int, parts ...Fingerprint) suspect.Report {
	run := Run{Request: Request{Print: Fingerprint(1000 + n), Parts: parts}, SentAt: now - 100*time.Millisecond}
	return l.RecordCrash(now, id.Upstream(fmt.Sprint("u", n)), 1, []Run{run})
}

func (l *List) requirePart(t *testing.T, now time.Duration, want bool, parts ...Fingerprint) {
	t.Helper()
	_, refused := l.Refused(now, Request{Print: 1, Parts: parts}, hold)
	require.Equal(t, want, refused)
}

// Requests that differ in everything but one part are refused on a VM that got the reports, and on one that reads the log.
func TestPartIsRefused(t *testing.T) {
	var a List
	committed := suspect.Table{}
	for i := range 3 {
		committed.Apply(a.crashUnder(time.Duration(i+1)*time.Second, i, first, crashing))
		r, _ := a.RecordCompletion(time.Duration(i+1)*time.Second, "u9", 1, Run{Request: Request{Print: 50, Parts: []Fingerprint{first, sound}}, SentAt: time.Duration(i+1) * time.Second})
		committed.Apply(r)
	}
	restarted := List{Committed: func() suspect.Table { return committed }, CommittedCulprits: func() suspect.Culprits { return committed.Culprits() }}
	for _, l := range []*List{&a, &restarted} {
		l.requirePart(t, 4*time.Second, true, first, crashing)
		l.requirePart(t, 4*time.Second, true, crashing)
		l.requirePart(t, 4*time.Second, false, first, sound)
	}
	part, crashes := a.RefusedPart(4*time.Second, Request{Parts: []Fingerprint{first, crashing}}, hold)
	require.Equal(t, crashing, part)
	require.Equal(t, 3, crashes)
}

// A request that ran beside the culprits is not refused for it, however often.
func TestNeighbourOfCulpritIsServed(t *testing.T) {
	var l List
	for i := range 4 {
		now := time.Duration(i+1) * time.Second
		guilty := Run{Request: Request{Print: Fingerprint(1000 + i), Parts: []Fingerprint{first, crashing}}, SentAt: now - 100*time.Millisecond}
		beside := Run{Request: Request{Print: 7, Parts: []Fingerprint{first, sound}}, SentAt: now - 50*time.Millisecond}
		l.RecordCrash(now, id.Upstream(fmt.Sprint("u", i)), 1, []Run{guilty, beside})
	}
	l.requirePart(t, 5*time.Second, true, crashing)
	_, refused := l.Refused(5*time.Second, Request{Print: 7, Parts: []Fingerprint{sound}}, hold)
	require.False(t, refused)
}

// A frequent request ran beside a part in both of its first crashes, which were of one request or of two. Which of them is the cause is not
// known yet; the request is refused if it goes on to crash upstreams without the part.
func TestRequestBesideDoubtfulPartIsServed(t *testing.T) {
	for _, requests := range []int{1, 2} {
		t.Run(fmt.Sprint(requests), func(t *testing.T) {
			var l List
			beside := func(now time.Duration) Run {
				return Run{Request: Request{Print: 7, Parts: []Fingerprint{first}}, SentAt: now - 50*time.Millisecond}
			}
			for i := range 2 {
				now := time.Duration(i+1) * time.Second
				doubtful := Run{Request: Request{Print: Fingerprint(1000 + i%requests), Parts: []Fingerprint{first, crashing}}, SentAt: now - 100*time.Millisecond}
				l.RecordCrash(now, id.Upstream(fmt.Sprint("u", i)), 1, []Run{doubtful, beside(now)})
			}
			requireBeside := func(now time.Duration, want bool) {
				t.Helper()
				_, refused := l.Refused(now, beside(now).Request, hold)
				require.Equal(t, want, refused)
			}
			requireBeside(2*time.Second, false)
			l.RecordCrash(3*time.Second, "u3", 1, []Run{beside(3 * time.Second)})
			requireBeside(3*time.Second, true)
		})
	}
}

// Upstreams end for another reason. A part that completes on others is not refused, also not where only the log says that it is.
func TestCompletedPartIsServed(t *testing.T) {
	var l List
	committed := suspect.Table{}
	for i := range 3 {
		committed.Apply(l.crashUnder(time.Duration(i+1)*time.Second, i, first))
	}
	l.Committed = func() suspect.Table { return committed }
	l.CommittedCulprits = func() suspect.Culprits { return committed.Culprits() }
	l.requirePart(t, 4*time.Second, true, first)
	run := Run{Request: Request{Print: 50, Parts: []Fingerprint{first}}, SentAt: 2500 * time.Millisecond}
	_, cleared := l.RecordCompletion(4*time.Second, "u9", 1, run)
	require.True(t, cleared)
	l.requirePart(t, 4*time.Second, false, first)
	require.Len(t, l.Crashes(first), 1, "the crash after the run was sent")
}

// The time for which a part is refused grows with each further crash, and ends at different moments on the VMs.
func TestPartIsTriedAgain(t *testing.T) {
	ends := map[time.Duration]bool{}
	for i := range 9 {
		l := List{VM: id.VM(fmt.Sprint("vm", i))}
		for k := range 3 {
			l.crashUnder(time.Duration(k+1)*time.Second, k, crashing)
		}
		short, _ := l.Refused(3*time.Second, Request{Parts: []Fingerprint{crashing}}, hold)
		require.GreaterOrEqual(t, short, time.Minute)
		require.Less(t, short, 2*time.Minute)
		ends[short.Truncate(time.Second)] = true
		l.crashUnder(200*time.Second, 3, crashing)
		long, _ := l.Refused(200*time.Second, Request{Parts: []Fingerprint{crashing}}, hold)
		require.GreaterOrEqual(t, long, 4*time.Minute)
	}
	require.Greater(t, len(ends), 4, "different seconds")
}

// An answer that ends with its connection may be a crash; if the upstream lives on, the run has completed.
func TestAnswerWithoutFrame(t *testing.T) {
	t.Run("the upstream has crashed", func(t *testing.T) {
		d := newDetector(t, closedAddress(t))
		d.Answered(clock.SinceBoot(), d.u, newRun())
		d.Confirm("u", 1)
		require.True(t, d.List.IsSuspect(print))
	})
	t.Run("the upstream lives on", func(t *testing.T) {
		d := newDetector(t, listen(t).Addr().String())
		d.List.crash(clock.SinceBoot(), "other")
		d.Answered(clock.SinceBoot(), d.u, newRun())
		require.True(t, d.List.IsSuspect(print))
		d.Check(clock.SinceBoot() + watchTime)
		require.False(t, d.List.IsSuspect(print))
	})
	t.Run("another attempt of it failed there", func(t *testing.T) {
		d := newDetector(t, listen(t).Addr().String())
		d.List.crash(clock.SinceBoot(), "other")
		d.end()
		d.Answered(clock.SinceBoot(), d.u, newRun())
		d.Check(clock.SinceBoot() + watchTime)
		require.True(t, d.List.IsSuspect(print))
	})
}
