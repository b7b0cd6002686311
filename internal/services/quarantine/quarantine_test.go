package quarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/suspect"
	"wagtaillift/internal/modules/id"
)

const print = Fingerprint(7)

// hold of the tests.
var hold = suspect.Hold{Short: time.Minute, Long: time.Hour}

// crash records that print crashed incarnation 1 of u at now, a second after it was sent there.
func (l *List) crash(now time.Duration, u string) suspect.Report {
	return l.RecordCrash(now, id.Upstream(u), 1, []Run{{Request: Request{Print: print}, SentAt: now - time.Second}})
}

func (l *List) requireRefused(t *testing.T, now time.Duration, want bool) {
	t.Helper()
	_, refused := l.Refused(now, Request{Print: print}, hold)
	require.Equal(t, want, refused)
}

// Another VM gets the same reports, in another order, some twice and some only through the log.
func TestReportsMerge(t *testing.T) {
	var a, b List
	first, second := a.crash(2*time.Second, "u1"), a.crash(4*time.Second, "u2")
	a.requireRefused(t, 4*time.Second, true)
	b.Apply(second)
	b.Apply(second)
	b.requireRefused(t, 4*time.Second, false)
	committed := suspect.Table{}
	committed.Apply(first)
	committed.Apply(second)
	b.Committed = func() suspect.Table { return committed }
	b.requireRefused(t, 4*time.Second, true)
	require.Len(t, b.Crashes(print), 2)
	require.Equal(t, 1, b.Len())
}

// A VM that has just started knows only the log.
func TestEmptyListReadsLog(t *testing.T) {
	var a List
	committed := suspect.Table{}
	committed.Apply(a.crash(2*time.Second, "u1"))
	committed.Apply(a.crash(4*time.Second, "u2"))
	b := List{Committed: func() suspect.Table { return committed }}
	b.requireRefused(t, 5*time.Second, true)
}

func TestCompletionClears(t *testing.T) {
	var l List
	l.crash(2*time.Second, "u1")
	_, cleared := l.RecordCompletion(3*time.Second, "u2", 1, Run{Request: Request{Print: print}, SentAt: 3 * time.Second})
	require.True(t, cleared)
	_, cleared = l.RecordCompletion(3*time.Second, "u2", 1, Run{Request: Request{Print: print}, SentAt: 3 * time.Second})
	require.False(t, cleared, "cleared twice")
	l.crash(5*time.Second, "u2")
	l.requireRefused(t, 5*time.Second, false)
	require.Len(t, l.Crashes(print), 1)
}

// A caller that sends its request to many VMs at once must not crash an upstream through each of them when the hold ends.
func TestShortHoldsEndInTurn(t *testing.T) {
	const vms = 9
	ends := map[time.Duration]bool{}
	for i := range vms {
		l := List{VM: id.VM(fmt.Sprint("vm", i))}
		l.crash(2*time.Second, "u1")
		l.crash(4*time.Second, "u2")
		wait, refused := l.Refused(4*time.Second, Request{Print: print}, hold)
		require.True(t, refused)
		require.GreaterOrEqual(t, wait, hold.Short)
		require.Less(t, wait, 2*hold.Short)
		ends[wait.Truncate(time.Second)] = true
		l.crash(80*time.Second, "u3")
		wait, _ = l.Refused(80*time.Second, Request{Print: print}, hold)
		require.Equal(t, hold.Long, wait)
	}
	require.Greater(t, len(ends), vms/2, "different seconds")
}

// A report must reach the log although no leader answers for a while.
func TestReportIsProposedUntilCommitted(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tries, sent := 0, 0
	committed := make(chan suspect.Report, 2)
	s := NewSharer(func(suspect.Report) { sent++ }, func(_ context.Context, r suspect.Report) error {
		if tries++; tries <= 2 {
			return errors.New("no leader")
		}
		committed <- r
		return nil
	})
	s.Share(suspect.Report{Upstream: "u1"})
	s.Share(suspect.Report{Upstream: "u2"})
	require.Equal(t, 2, sent)
	go s.Run(ctx)
	require.Equal(t, id.Upstream("u1"), (<-committed).Upstream)
	require.Equal(t, id.Upstream("u2"), (<-committed).Upstream)
}
