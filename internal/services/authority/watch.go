package authority

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/modules/peer"
	"wagtaillift/internal/modules/quorum"
	"wagtaillift/internal/modules/replica"
)

// watchInterval is the time between two lines of a control VM that knows no leader.
const watchInterval = time.Second

// maxLag is the number of entries from which a member of the log is named as lagging.
const maxLag = 50

// leaderWatch explains why a control VM knows no leader: whether its timers run late, and which calls take its time.
type leaderWatch struct {
	a        *Agent
	lostAt   time.Duration // when the leader was lost; zero while there is one
	served   map[string]int64
	dialed   int64
	accepted int64
}

// run looks once per watchInterval until ctx ends.
func (w *leaderWatch) run(ctx context.Context) {
	w.lostAt = clock.SinceBoot()
	pause.Every(ctx, watchInterval, func() { w.check(clock.SinceBoot()) })
}

// check writes a line at now if there is no leader, or if there is one again.
func (w *leaderWatch) check(now time.Duration) {
	s := w.a.replica.Status()
	delay := w.a.replica.TakeMaxDelay()
	served, dialed, accepted := w.takeCalls()
	switch {
	case s.Leader == "" && w.lostAt == 0:
		w.lostAt = now
		fallthrough
	case s.Leader == "":
		klog.InfoS("No leader", "for", (now - w.lostAt).Round(time.Millisecond), "term", s.Term, "delay", delay.Round(time.Millisecond),
			"dialed", dialed, "accepted", accepted, "served", served)
	case w.lostAt > 0:
		klog.InfoS("Leader known", "leader", s.Leader, "after", (now - w.lostAt).Round(time.Millisecond), "term", s.Term)
		w.lostAt = 0
	}
	if s.Leading {
		w.checkLag(s, delay, served)
	}
}

// checkLag writes a line for each member of the log that lags behind this leader.
func (w *leaderWatch) checkLag(s replica.Status, delay time.Duration, served string) {
	for n, p := range s.Peers {
		if p.Match+maxLag >= s.Commit {
			continue
		}
		queued := 0
		if addr, ok := w.a.nodeAddress(n); ok {
			if ch, ok := w.a.outboxes.Load(addr); ok {
				queued = len(ch.(chan quorum.Message))
			}
		}
		klog.InfoS("Member of the log lags", "node", n, "match", p.Match, "commit", s.Commit, "queued", queued, "delay", delay.Round(time.Millisecond), "served", served)
	}
}

// takeCalls returns the calls that this VM served since the last call, by method, and the connections opened.
func (w *leaderWatch) takeCalls() (served string, dialed, accepted int64) {
	if w.a.opt.Transport == nil {
		return "", 0, 0
	}
	stats := &w.a.opt.Transport.Stats
	total := map[string]int64{}
	var list []string
	stats.EachMethod(func(method string, m *peer.MethodStats) {
		total[method] = m.Served.Load()
		if n := total[method] - w.served[method]; n > 0 {
			list = append(list, fmt.Sprintf("%s:%d", method, n))
		}
	})
	slices.Sort(list)
	dialed, accepted = stats.Dialed.Load()-w.dialed, stats.Accepted.Load()-w.accepted
	w.served, w.dialed, w.accepted = total, w.dialed+dialed, w.accepted+accepted
	return strings.Join(list, " "), dialed, accepted
}
