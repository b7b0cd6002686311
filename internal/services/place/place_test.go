package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/modules/fixed"
	"wagtaillift/internal/modules/id"
)

func TestMain(m *testing.M) { fixed.Main(m, 300) }

func job() *Job {
	return &Job{Tokens: 17000, Bytes: 17000, Objective: 600 * time.Millisecond, Lenient: 2}
}

func view(change func(*View)) View {
	v := View{Slots: 64, Speed: 50, Apart: true}
	if change != nil {
		change(&v)
	}
	return v
}

func TestChoose(t *testing.T) {
	busy := func(n id.Tokens) func(*View) { return func(v *View) { v.Reading = n } }
	for name, c := range map[string]struct {
		views []View
		want  int
		rule  Rule
	}{
		"none":  {nil, -1, None},
		"least": {[]View{view(busy(9000)), view(nil)}, 1, Least},
		"the engine that keeps the part": {
			[]View{view(nil), view(func(v *View) { v.Cached, v.Reading = 13000, 5000 })}, 1, Cached,
		},
		"a copy, where that engine is busy": {
			[]View{
				view(func(v *View) { v.Cached, v.Reading = 13000, 30000 }),
				view(func(v *View) { v.Fetch, v.Copy = 13000, 10*time.Millisecond }),
			}, 1, Copied,
		},
		"no copy of little": {[]View{view(func(v *View) { v.Fetch, v.Copy = 100, 10*time.Millisecond })}, 0, Least},
		"own data centre":   {[]View{view(func(v *View) { v.Remote = true }), view(busy(1000))}, 1, Least},
		"another one, when the own is busy": {
			[]View{view(func(v *View) { v.Remote = true }), view(busy(20000))}, 0, Least,
		},
		"an engine that fails": {[]View{view(func(v *View) { v.Faults = 0.9 }), view(busy(9000))}, 1, Least},
		"late everywhere":      {[]View{view(busy(90000)), view(busy(80000))}, -1, Late},
		"reading in place holds answers up": {
			[]View{view(func(v *View) { v.Apart, v.Speed = false, 25 }), view(busy(15000))}, 1, Least,
		},
	} {
		t.Run(name, func(t *testing.T) {
			got := Choose(c.views, job())
			require.Equal(t, c.want, got.Index)
			require.Equal(t, c.rule, got.Rule)
		})
	}
}

// A prompt that takes longer to read than the objective is not turned away for its size by idle engines.
func TestLargePromptsAreTaken(t *testing.T) {
	j := job()
	j.Tokens = 53000
	require.Zero(t, Choose([]View{view(nil)}, j).Index)
}

// Load pattern: a burst of prompts that share a leading part, over engines that read one after the other. The choice is
// replayed against the naive one, the fewest tokens outstanding without a look at what engines keep.
func TestSharedPartsAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const engines = 4
		shared := rapid.IntRange(2, 12).Draw(t, "shared parts")
		var read, naive id.Tokens
		memories, naives := make([]Memory, engines), make([]Memory, engines)
		queue, naiveQueue := make([]id.Tokens, engines), make([]id.Tokens, engines)
		for range 200 {
			p := []Part{{Chain: uint64(rapid.IntRange(1, shared).Draw(t, "part")), Tokens: 13000}, {Chain: 0, Tokens: 1000}}
			j := &Job{Tokens: 14000, Objective: time.Second, Lenient: 1e6}
			views := make([]View, engines)
			for i := range views {
				views[i] = view(func(v *View) { v.Reading, v.Cached = queue[i], memories[i].Cached(p[:1]) })
			}
			c := Choose(views, j)
			queue[c.Index] += c.Unread
			read += c.Unread
			memories[c.Index].Keep(p[:1], 400000)

			least := 0
			for i := range naiveQueue {
				if naiveQueue[i] < naiveQueue[least] {
					least = i
				}
			}
			n := 14000 - naives[least].Cached(p[:1])
			naiveQueue[least] += n
			naive += n
			naives[least].Keep(p[:1], 400000)
			for i := range queue {
				queue[i], naiveQueue[i] = max(0, queue[i]-4000), max(0, naiveQueue[i]-4000)
			}
		}
		require.LessOrEqual(t, read, naive)
	})
}

// naiveMemory keeps parts in a slice, the latest used first.
type naiveMemory struct{ list []Part }

func (m *naiveMemory) keep(parts []Part, most id.Tokens) {
	for i := len(parts) - 1; i >= 0; i-- {
		list := []Part{parts[i]}
		for _, p := range m.list {
			if p.Chain != parts[i].Chain {
				list = append(list, p)
			} else {
				list[0] = p
			}
		}
		m.list = list
	}
	for sum := m.sum(); sum > most && len(m.list) > 0; sum = m.sum() {
		m.list = m.list[:len(m.list)-1]
	}
}

func (m *naiveMemory) sum() (n id.Tokens) {
	for _, p := range m.list {
		n += p.Tokens
	}
	return n
}

func (m *naiveMemory) cached(parts []Part) (n id.Tokens) {
	for _, p := range parts {
		found := false
		for _, q := range m.list {
			found = found || q.Chain == p.Chain
		}
		if !found {
			return n
		}
		n += p.Tokens
	}
	return n
}

func TestMemoryAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Memory
		var n naiveMemory
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			first := uint64(rapid.IntRange(1, 5).Draw(t, "first"))
			second := first*10 + uint64(rapid.IntRange(0, 5).Draw(t, "second"))
			parts := []Part{{first, id.Tokens(first * 100)}, {second, id.Tokens(second * 10)}}
			require.Equal(t, n.cached(parts), m.Cached(parts))
			m.Keep(parts, 1500)
			n.keep(parts, 1500)
			require.Equal(t, n.sum(), m.held)
		}
	})
}
