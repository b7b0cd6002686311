package forward

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/route"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/origin"
	"wagtaillift/internal/services/roster"
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

// resumingCall returns a call that resumes the stream of request "q0" after its second event.
func resumingCall(path string) *Call {
	c := newCall(path)
	c.LastEventID, c.Resumes = "2", "q0"
	return c
}

// A stream that its caller resumes goes on only at an engine of the software version that began it, which another VM may have chosen.
func TestResumedStreamKeepsItsVersion(t *testing.T) {
	rest := sendResult{status: 200, stream: true, body: sampleEvents(3, 4)}
	began := func(s *fixture, version string) {
		s.Origins.Table.Put(clock.SinceBoot(), origin.Key{Customer: "c", Request: "q0"}, origin.Origin{Service: model, Version: version})
	}
	for _, version := range []string{"v1", "v2", "v3"} {
		t.Run("begun at "+version, func(t *testing.T) {
			s := newFixture(t, rest)
			versions := s.announceVersions(t, "v1", "v2", "v3")
			began(s, version)
			out := &fakeSink{}
			require.NoError(t, s.Serve(context.Background(), resumingCall("/resumable/"), out))
			require.Equal(t, sampleEvents(3, 4), out.body.String())
			require.Equal(t, version, versions[s.up.targets[0].Upstream])
			require.Equal(t, "2", s.up.targets[0].LastEventID)
		})
	}
	t.Run("it keeps the version after another attempt", func(t *testing.T) {
		s := newFixture(t, sendResult{status: 200, stream: true, body: sampleEvents(3, 3), truncated: true}, sendResult{status: 200, stream: true, body: sampleEvents(4, 4)})
		versions := s.announceVersions(t, "v2", "v1", "v2", "v3", "v3", "v3")
		began(s, "v2")
		out := &fakeSink{}
		require.NoError(t, s.Serve(context.Background(), resumingCall("/resumable/"), out))
		require.Equal(t, "v2", versions[s.up.targets[0].Upstream])
		require.Equal(t, "v2", versions[s.up.targets[1].Upstream])
	})
	for name, prepare := range map[string]func(*fixture){
		"no engine of the version is left": func(s *fixture) { began(s, "v0") },
		"the origin is not known":          func(*fixture) {},
	} {
		t.Run("refused if "+name, func(t *testing.T) {
			s := newFixture(t)
			s.announceVersions(t, "v1", "v2", "v3")
			prepare(s)
			r := requireRefusal(t, s.Serve(context.Background(), resumingCall("/resumable/"), &fakeSink{}))
			require.Equal(t, 503, r.Status)
			require.Equal(t, call.RunNo, r.Run)
			require.Positive(t, r.RetryAfter)
		})
	}
	t.Run("its own first event is recorded", func(t *testing.T) {
		s := newFixture(t, sendResult{status: 200, stream: true, body: sampleEvents(1, 2), truncated: true})
		versions := s.announceVersions(t, "v1", "v2", "v3")
		require.ErrorIs(t, s.Serve(context.Background(), newCall("/resumable/"), &fakeSink{}), ErrTruncated)
		o, ok := s.Origins.Find(context.Background(), origin.Key{Customer: "c", Request: "q1"})
		require.True(t, ok)
		require.Equal(t, origin.Origin{Service: model, Version: versions[s.up.targets[0].Upstream]}, o)
	})
}

// A stream that its caller resumes stays at its service where the route is split between services, whose versions are unrelated.
func TestResumedStreamKeepsItsService(t *testing.T) {
	const other = "other"
	split := func(s *fixture, weights ...route.WeightedService) {
		d := sampleDocument(2)
		d.Services = append(d.Services, service.Service{ID: other, Kind: service.Model, Model: "m", Engine: d.Services[1].Engine})
		d.Routes[3].WeightedServices = weights
		s.replace(t, d)
		a := newAnnouncement("o1", other, engine.Decode)
		a.Version = "v1"
		require.NoError(t, s.Roster.Announce(clock.SinceBoot(), a))
		s.Origins.Table.Put(clock.SinceBoot(), origin.Key{Customer: "c", Request: "q0"}, origin.Origin{Service: model, Version: "v1"})
	}
	for i := range 20 {
		t.Run(fmt.Sprint("request ", i), func(t *testing.T) {
			s := newFixture(t, sendResult{status: 200, stream: true, body: sampleEvents(3, 4)})
			s.announceVersions(t, "v1", "v1")
			split(s, route.WeightedService{Service: model, Weight: 1}, route.WeightedService{Service: other, Weight: 9})
			c := resumingCall("/resumable/")
			c.ID = id.Request(fmt.Sprint("q", i))
			require.NoError(t, s.Serve(context.Background(), c, &fakeSink{}))
			require.NotEqual(t, id.Upstream("o1"), s.up.targets[0].Upstream)
		})
	}
	t.Run("refused if the route leads elsewhere now", func(t *testing.T) {
		s := newFixture(t)
		s.announceVersions(t, "v1", "v1")
		split(s, route.WeightedService{Service: model}, route.WeightedService{Service: other, Weight: 9})
		r := requireRefusal(t, s.Serve(context.Background(), resumingCall("/resumable/"), &fakeSink{}))
		require.Equal(t, 503, r.Status)
		require.Equal(t, call.RunNo, r.Run)
	})
}

// An engine that has started again under its name, with a version that is not announced yet, does not continue streams.
func TestRestartedEngineDoesNotContinueStreams(t *testing.T) {
	broken := sendResult{status: 200, stream: true, body: sampleEvents(1, 2), truncated: true}
	rest := sendResult{status: 200, stream: true, body: sampleEvents(3, 4)}
	t.Run("within an answer", func(t *testing.T) {
		s := newFixture(t, broken, rest)
		s.announceVersions(t, "v1", "v1", "v1", "v1")
		s.up.incarnations = map[id.Upstream]uint64{"e1": 2, "e2": 3, "e3": 3, "e4": 3}
		out := &fakeSink{}
		err := s.Serve(context.Background(), newCall("/resumable/"), out)
		if last := s.up.targets[len(s.up.targets)-1].Upstream; len(s.up.targets) == 2 {
			require.NoError(t, err)
			require.Equal(t, id.Upstream("e1"), last)
		} else {
			require.ErrorIs(t, err, ErrTruncated)
			require.Equal(t, id.Upstream("e1"), last, "the stream had begun at the only engine that could continue it")
		}
	})
	t.Run("over a caller's tries", func(t *testing.T) {
		s := newFixture(t)
		s.announceVersions(t, "v1", "v1")
		s.up.incarnations = map[id.Upstream]uint64{"e1": 3, "e2": 3}
		s.Origins.Table.Put(clock.SinceBoot(), origin.Key{Customer: "c", Request: "q0"}, origin.Origin{Service: model, Version: "v1"})
		r := requireRefusal(t, s.Serve(context.Background(), resumingCall("/resumable/"), &fakeSink{}))
		require.Equal(t, call.RunNo, r.Run)
		require.Empty(t, s.up.targets)
	})
	t.Run("one that names no incarnation does not either", func(t *testing.T) {
		s := newFixture(t)
		s.announceVersions(t, "v1", "v1")
		s.up.incarnations = map[id.Upstream]uint64{"e1": 0, "e2": 0}
		s.Origins.Table.Put(clock.SinceBoot(), origin.Key{Customer: "c", Request: "q0"}, origin.Origin{Service: model, Version: "v1"})
		r := requireRefusal(t, s.Serve(context.Background(), resumingCall("/resumable/"), &fakeSink{}))
		require.Equal(t, call.RunNo, r.Run)
		require.Empty(t, s.up.targets)
	})
}

// After all entry VMs lost power no origin is known. A stream of before is refused as not run, also where its route may not be resumed any
// more: an engine that is given the last event would go on after it, at any version.
func TestStreamsAfterLossOfAllOrigins(t *testing.T) {
	for _, path := range []string{"/resumable/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			s := newFixture(t)
			s.announceVersions(t, "v1", "v2")
			r := requireRefusal(t, s.Serve(context.Background(), resumingCall(path), &fakeSink{}))
			require.Equal(t, 503, r.Status)
			require.Equal(t, call.RunNo, r.Run)
			require.Empty(t, s.up.targets)
		})
	}
}

// During a release an engine had started again under its name with another version, unheard by a VM that was out of step. A stream that
// began there was recorded with the version before, and went on at an engine of that one.
func TestStreamDoesNotBeginAtAnUnheardVersion(t *testing.T) {
	whole := sendResult{status: 200, stream: true, body: sampleEvents(1, 4)}
	restarted := map[id.Upstream]uint64{"e1": 3}
	serve := func(t *testing.T, s *fixture, path string) Target {
		s.up.incarnations = restarted
		for i := range 20 {
			s.up.steps = []sendResult{whole}
			c := newCall(path)
			c.ID = id.Request(fmt.Sprint("q", i))
			c.PromptParts[0].Chain = uint64(i)
			require.NoError(t, s.Serve(context.Background(), c, &fakeSink{}))
			if path == "/resumable/" {
				require.NotEqual(t, id.Upstream("e1"), s.up.targets[len(s.up.targets)-1].Upstream)
			}
		}
		return s.up.targets[0]
	}
	t.Run("several versions are known", func(t *testing.T) {
		s := newFixture(t)
		s.announceVersions(t, "v1", "v1", "v2", "v2")
		require.NotZero(t, serve(t, s, "/resumable/").Incarnation)
	})
	t.Run("the lists of other VMs are old", func(t *testing.T) {
		s := newFixture(t)
		s.announceVersions(t, "v1", "v1", "v1")
		s.Roster.Apply(clock.SinceBoot()-2*time.Second, roster.ListUpdate{VM: "vm2", Epoch: 1, Version: 1, Full: true})
		require.NotZero(t, serve(t, s, "/resumable/").Incarnation)
	})
	t.Run("streams that cannot go on elsewhere ask nothing", func(t *testing.T) {
		s := newFixture(t)
		s.announceVersions(t, "v1", "v2")
		require.Zero(t, serve(t, s, "/stream/").Incarnation)
	})
	t.Run("nor does a VM in step while there is one version", func(t *testing.T) {
		s := newFixture(t, whole)
		s.announceVersions(t, "v1", "v1")
		s.Roster.Apply(clock.SinceBoot(), roster.ListUpdate{VM: "vm2", Epoch: 1, Version: 1, Full: true})
		require.NoError(t, s.Serve(context.Background(), newCall("/resumable/"), &fakeSink{}))
		require.Zero(t, s.up.targets[0].Incarnation)
	})
}

// A VM out of step does not know the engines of a version that has joined. A stream that began there is refused as not run, whether or
// not the VM learns of its version.
func TestResumedStreamAtAVMOutOfStep(t *testing.T) {
	for name, known := range map[string]bool{"another VM tells the version": true, "cut off from the others": false} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			s.announceVersions(t, "v1", "v1", "v1")
			if known {
				s.Origins.Table.Put(clock.SinceBoot(), origin.Key{Customer: "c", Request: "q0"}, origin.Origin{Service: model, Version: "v2"})
			}
			r := requireRefusal(t, s.Serve(context.Background(), resumingCall("/resumable/"), &fakeSink{}))
			require.Equal(t, 503, r.Status)
			require.Equal(t, call.RunNo, r.Run)
			require.Empty(t, s.up.targets)
		})
	}
}
