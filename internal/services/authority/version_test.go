package authority

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/document"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/quorum"
)

// withUnknown returns data, an encoded map, with a field that a later version has added.
func withUnknown(t *testing.T, data []byte, key any) []byte {
	m := map[any]any{}
	require.NoError(t, cbor.Unmarshal(data, &m))
	m[key] = map[string]any{"later": []int{1}}
	out, err := cbor.Marshal(m)
	require.NoError(t, err)
	return out
}

// While VMs are replaced one after the other, builds of two versions share the log, its snapshots and the feed: a field that one of them does
// not know is no error.
func TestFieldsOfALaterVersion(t *testing.T) {
	command, err := state.Command{Join: &state.Member{VM: "e", Zone: "a", Peer: "p:1"}}.Encode()
	require.NoError(t, err)
	t.Run("entries", func(t *testing.T) {
		f := newFeed()
		require.Equal(t, state.OK, f.Apply(1, withUnknown(t, command, "later")).Code)
		f.Publish()
		require.Contains(t, f.Members(), id.VM("e"))
	})
	t.Run("commands that only a later version has", func(t *testing.T) {
		data, err := cbor.Marshal(map[string]any{"later": 1})
		require.NoError(t, err)
		a, b := newFeed(), newFeed()
		require.Equal(t, a.Apply(1, data), b.Apply(1, data))
		require.EqualValues(t, 1, a.Index())
	})
	t.Run("snapshots", func(t *testing.T) {
		f, n := newFeed(), newFeed()
		f.Apply(1, command)
		_, data, err := f.Snapshot()
		require.NoError(t, err)
		require.NoError(t, n.Restore(withUnknown(t, data, "later")))
		n.Publish()
		require.Equal(t, id.Index(1), n.Index())
	})
	for name, m := range map[string]struct{ from, to any }{
		"feed requests":       {feedRequest{After: 7}, &feedRequest{}},
		"feed answers":        {feedAnswer{LastIndex: 7, Entries: []feedEntry{{Index: 7, Data: command}}}, &feedAnswer{}},
		"messages of the log": {logMessages{Address: "a:1", List: []quorum.Message{{Kind: quorum.Vote, Term: 7}}}, &logMessages{}},
		"reports":             {reportBatch{List: []Report{{VM: "e", Revision: 7}}}, &reportBatch{}},
		"grants":              {grantBatch{List: []Grant{{VM: "e", Duration: 7}}}, &grantBatch{}},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := cbor.Marshal(m.from)
			require.NoError(t, err)
			require.NoError(t, cbor.Unmarshal(withUnknown(t, data, 99), m.to))
			again, err := cbor.Marshal(m.to)
			require.NoError(t, err)
			require.Equal(t, data, again)
		})
	}
	t.Run("a follower of this version at a relay of an earlier one", func(t *testing.T) {
		// An earlier relay does not know that the follower reads compressed data.
		relay := newFeed()
		relay.Apply(1, command)
		d := &document.Document{Version: 1, Services: []service.Service{{ID: "s", Kind: service.Plain}}, Source: make([]byte, 2*minPackedBytes)}
		change, err := state.Command{Change: &state.Change{AnyBase: true, Request: "q", Replace: d}}.Encode()
		require.NoError(t, err)
		require.Equal(t, state.OK, relay.Apply(2, change).Code)
		relay.Publish()
		r, err := relay.after(feedRequest{})
		require.NoError(t, err)
		a := &Agent{feed: newFeed(), reportNow: make(chan struct{}, 1)}
		require.NoError(t, a.applyFeed(r))
		require.EqualValues(t, 1, a.feed.Config().Version)
	})
}
