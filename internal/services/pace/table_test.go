package pace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/roster"
)

func newUpstream(name string, incarnation uint64) *roster.Upstream {
	return &roster.Upstream{Announcement: engine.Announcement{Name: id.Upstream(name), Incarnation: incarnation}}
}

func TestParseRate(t *testing.T) {
	for text, want := range map[string]Rate{
		"": 0, "1.4": 1.4, "20": 20, "1e2": 100, "0": minRate, "0.1": minRate,
		"-1": Unreadable, "NaN": Unreadable, "Inf": Unreadable, "many": Unreadable,
	} {
		require.Equal(t, want, ParseRate(text, "u"), text)
	}
}

func TestObserve(t *testing.T) {
	u, next := newUpstream("u", 1), newUpstream("u", 2)
	for name, c := range map[string]struct {
		observe func(n *Table)
		want    []Rate
	}{
		"none":           {func(n *Table) { n.Observe(5*time.Second, u, 0, 4*time.Second) }, nil},
		"named":          {func(n *Table) { n.Observe(5*time.Second, u, 2, 4*time.Second) }, []Rate{2}},
		"cannot be read": {func(n *Table) { n.Observe(5*time.Second, u, Unreadable, 4*time.Second) }, nil},
		"changed": {func(n *Table) {
			n.Observe(5*time.Second, u, 2, 4*time.Second)
			n.Observe(6*time.Second, u, 3, 4*time.Second)
		}, []Rate{3}},
		"taken back": {func(n *Table) {
			n.Observe(5*time.Second, u, 2, 4*time.Second)
			n.Observe(7*time.Second, u, 0, 6*time.Second)
		}, []Rate{0}},
		"an answer from before it was named": {func(n *Table) {
			n.Observe(5*time.Second, u, 2, 4*time.Second)
			n.Observe(7*time.Second, u, 0, 4*time.Second)
		}, []Rate{2}},
		"an answer that cannot be read, later": {func(n *Table) {
			n.Observe(5*time.Second, u, 2, 4*time.Second)
			n.Observe(7*time.Second, u, Unreadable, 6*time.Second)
		}, []Rate{2}},
		"an older message from another VM": {func(n *Table) {
			n.Observe(5*time.Second, u, 2, 4*time.Second)
			n.Merge([]Limit{{Upstream: "u", Incarnation: 1, Rate: 9, At: 4000}})
		}, []Rate{2}},
		"a newer message from another VM": {func(n *Table) {
			n.Observe(5*time.Second, u, 2, 4*time.Second)
			n.Merge([]Limit{{Upstream: "u", Incarnation: 1, At: 6000}})
		}, []Rate{0}},
		"a message about an earlier incarnation": {func(n *Table) {
			n.Observe(5*time.Second, next, 2, 4*time.Second)
			n.Merge([]Limit{{Upstream: "u", Incarnation: 1, At: 6000}})
		}, []Rate{2}},
	} {
		t.Run(name, func(t *testing.T) {
			var n Table
			c.observe(&n)
			var got []Rate
			for _, l := range n.Limits(7 * time.Second) {
				got = append(got, l.Rate)
			}
			require.Equal(t, c.want, got)
			n.Retain(map[id.Upstream]bool{"other": true})
			require.Empty(t, n.Limits(7*time.Second))
		})
	}
}

func TestEndedLimitIsSharedForAWhile(t *testing.T) {
	var n Table
	u := newUpstream("u", 1)
	n.Observe(5*time.Second, u, 2, 4*time.Second)
	n.Observe(7*time.Second, u, 0, 6*time.Second)
	require.Len(t, n.Limits(8*time.Second), 1)
	require.Empty(t, n.Limits(8*time.Second+shareTime))
}
