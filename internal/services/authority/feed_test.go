package authority

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/document"
	"wagtaillift/internal/models/route"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/quorum"
)

// A follower that fell behind gets the entries that it lacks in answers that its link carries in time, without gaps.
func TestFeedAnswersAreBounded(t *testing.T) {
	const entries, size = 10, 50_000
	f := newFeed()
	applyJoins(t, f, entries, size)
	for at, answers := id.Index(0), 0; at < entries; answers++ {
		require.Less(t, answers, entries)
		r, err := f.after(feedRequest{After: at})
		require.NoError(t, err)
		require.NotEmpty(t, r.Entries)
		require.Equal(t, at+1, r.Entries[0].Index)
		bytes := 0
		for _, e := range r.Entries {
			bytes += len(e.Data)
		}
		require.LessOrEqual(t, bytes, maxAnswerBytes)
		require.Equal(t, r.Entries[len(r.Entries)-1].Index, r.LastIndex)
		at = r.LastIndex
	}
}

// applyJoins applies entries of n members with names of some size.
func applyJoins(t *testing.T, f *feed, n, size int) {
	for range n {
		vm := fmt.Sprintf("%0*d", size, f.Index())
		data, err := state.Command{Join: &state.Member{VM: id.VM(vm), Zone: "a", Peer: "p:1"}}.Encode()
		require.NoError(t, err)
		f.Apply(quorum.Index(f.Index()+1), data)
	}
	f.Publish()
}

// applyDocuments applies n configurations with the given number of routes.
func applyDocuments(t *testing.T, f *feed, n, routes int) {
	for range n {
		v := document.Version(f.Index() + 1)
		d := &document.Document{Version: v, Services: []service.Service{{ID: "s", Kind: service.Plain}}}
		for i := range routes {
			name := fmt.Sprintf("r%d-%d", v, i)
			d.Routes = append(d.Routes, route.Route{
				Name: name, Host: name + ".example", Prefix: "/" + name + "/", Kind: route.Safe, Timeout: time.Second, MaxAttempts: 1,
				WeightedServices: []route.WeightedService{{Service: "s", Weight: 1}},
			})
			d.Source = append(d.Source, fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":"/%s/","type":"safe","timeout_ms":1000,"service":"s","max_attempts":1},`, name, name+".example", name)...)
		}
		data, err := state.Command{Change: &state.Change{AnyBase: true, Request: id.Request(fmt.Sprint(v)), Replace: d}}.Encode()
		require.NoError(t, err)
		require.Equal(t, state.OK, f.Apply(quorum.Index(v), data).Code)
	}
	f.Publish()
}

// messageBytes returns the size of r on the wire.
func messageBytes(t *testing.T, r feedAnswer) int {
	data, err := cbor.Marshal(r)
	require.NoError(t, err)
	return len(data)
}

// After a restart of everything the memory of the followers is empty. Each has the state from few answers that a link of 10 Mbit/s carries
// within the time of a call, however many configurations there were before, and a new configuration of 1,000 routes from one.
func TestFollowersCatchUpOverSmallLinks(t *testing.T) {
	const linkBytes = 10e6 / 8 / 4 // in Timing.feedGrace of a lease of 3 s
	require.Equal(t, time.Second/4, Timing{Lease: 3 * time.Second}.feedGrace())
	f := newFeed()
	applyDocuments(t, f, 30, 150)
	applyJoins(t, f, 1500, 50)
	a := &Agent{feed: newFeed(), reportNow: make(chan struct{}, 1)}
	follow := func(maxAnswers int) {
		for answers := 0; a.feed.Index() < f.Index(); answers++ {
			require.Less(t, answers, maxAnswers)
			r, err := f.after(feedRequest{After: a.feed.Index(), Packs: true})
			require.NoError(t, err)
			require.Less(t, messageBytes(t, r), int(linkBytes))
			require.NoError(t, a.applyFeed(r))
		}
		require.Equal(t, f.Config().Version, a.feed.Config().Version)
		require.Equal(t, f.Config().Source, a.feed.Config().Source)
		require.Equal(t, f.Members(), a.feed.Members())
	}
	follow(3)
	applyDocuments(t, f, 1, 1000)
	follow(1)
	t.Run("a follower of an earlier version gets plain data", func(t *testing.T) {
		for _, after := range []id.Index{0, f.Index() - 1} {
			r, err := f.after(feedRequest{After: after})
			require.NoError(t, err)
			require.Empty(t, r.PackedSnapshot)
			for _, e := range r.Entries {
				require.Empty(t, e.Packed)
				require.NotEmpty(t, e.Data)
			}
		}
	})
}

// All followers that start at the same time get one encoded snapshot.
func TestSnapshotForFollowersIsEncodedOnce(t *testing.T) {
	f := newFeed()
	applyDocuments(t, f, 30, 150)
	first, err := f.after(feedRequest{Packs: true})
	require.NoError(t, err)
	require.NotEmpty(t, first.PackedSnapshot)
	applyJoins(t, f, 195, 10) // of the others
	next, err := f.after(feedRequest{Packs: true})
	require.NoError(t, err)
	require.Same(t, &first.PackedSnapshot[0], &next.PackedSnapshot[0])
	applyDocuments(t, f, 2, 1000)
	last, err := f.after(feedRequest{Packs: true})
	require.NoError(t, err)
	require.NotEqual(t, first.PackedSnapshot, last.PackedSnapshot)
}
