package forward

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
)

// announceVersions adds engines of the given versions and returns the version of every engine of the fixture.
func (s *fixture) announceVersions(t *testing.T, versions ...string) map[id.Upstream]string {
	byName := map[id.Upstream]string{}
	for i, version := range versions {
		a := newAnnouncement(fmt.Sprint("e", i+1), model, engine.Decode)
		a.Version, a.Incarnation = version, 2
		require.NoError(t, s.Roster.Announce(clock.SinceBoot(), a))
		byName[a.Name] = version
	}
	return byName
}

// A stream that breaks goes on only at an engine of the software version that began it.
func TestBrokenStreamKeepsItsVersion(t *testing.T) {
	broken := sendResult{status: 200, stream: true, body: sampleEvents(1, 2), truncated: true}
	rest := sendResult{status: 200, stream: true, body: sampleEvents(3, 4)}
	t.Run("another engine of the version goes on", func(t *testing.T) {
		for i := range 20 {
			s := newFixture(t, broken, rest)
			versions := s.announceVersions(t, "v1", "v2", "v1", "v2", "v3", "v3")
			c := newCall("/resumable/")
			c.ID = id.Request(fmt.Sprint("q", i))
			c.PromptParts[0].Chain = uint64(i)
			out := &fakeSink{}
			require.NoError(t, s.Serve(context.Background(), c, out))
			require.Equal(t, sampleEvents(1, 4), out.body.String())
			require.Equal(t, versions[s.up.targets[0].Upstream], versions[s.up.targets[1].Upstream])
		}
	})
	t.Run("without another engine of the version the answer is cut", func(t *testing.T) {
		s := newFixture(t, broken)
		s.announceVersions(t, "v1", "v2", "v3")
		out := &fakeSink{}
		require.ErrorIs(t, s.Serve(context.Background(), newCall("/resumable/"), out), ErrTruncated)
		require.Equal(t, sampleEvents(1, 2), out.body.String())
	})
	t.Run("a stream without an event may begin at any version", func(t *testing.T) {
		s := newFixture(t, sendResult{fail: true, sent: true}, sendResult{status: 200, stream: true, body: sampleEvents(1, 4)})
		s.announceVersions(t, "v1", "v2", "v3")
		out := &fakeSink{}
		require.NoError(t, s.Serve(context.Background(), newCall("/resumable/"), out))
		require.Equal(t, sampleEvents(1, 4), out.body.String())
	})
}
