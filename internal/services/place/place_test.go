package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, 300) }

func newJob() *Job {
	return &Job{Tokens: 17000, RequestBytes: 17000, Objective: 600 * time.Millisecond, LatenessFactor: 2}
}

func newView(change func(*View)) View {
	v := View{Slots: 64, PrefillSpeed: 50, PrefillOnly: true}
	if change != nil {
		change(&v)
	}
	return v
}

func TestChoose(t *testing.T) {
	queued := func(n id.Tokens) func(*View) { return func(v *View) { v.QueuedTokens = n } }
	for name, c := range map[string]struct {
		views []View
		want  int
		rule  Rule
	}{
		"no engine":      {nil, -1, None},
		"shortest queue": {[]View{newView(queued(9000)), newView(nil)}, 1, Least},
		"engine with the cached prefix": {
			[]View{newView(nil), newView(func(v *View) { v.Cached, v.QueuedTokens = 13000, 5000 })}, 1, Cached,
		},
		"copy from a busy engine": {
			[]View{
				newView(func(v *View) { v.Cached, v.QueuedTokens = 13000, 30000 }),
				newView(func(v *View) { v.CopyableTokens, v.CopyTime = 13000, 10*time.Millisecond }),
			}, 1, Copied,
		},
		"no copy of a short prefix": {[]View{newView(func(v *View) { v.CopyableTokens, v.CopyTime = 100, 10*time.Millisecond })}, 0, Least},
		"local data centre":         {[]View{newView(func(v *View) { v.Remote = true }), newView(queued(1000))}, 1, Least},
		"remote data centre while the local engine is busy": {
			[]View{newView(func(v *View) { v.Remote = true }), newView(queued(20000))}, 0, Least,
		},
		"failing engine":       {[]View{newView(func(v *View) { v.FailureRate = 0.9 }), newView(queued(9000))}, 1, Least},
		"late on every engine": {[]View{newView(queued(90000)), newView(queued(80000))}, -1, Late},
		"prompt processing delays answers on a mixed engine": {
			[]View{newView(func(v *View) { v.PrefillOnly, v.PrefillSpeed = false, 25 }), newView(queued(15000))}, 1, Least,
		},
	} {
		t.Run(name, func(t *testing.T) {
			got := Choose(c.views, newJob())
			require.Equal(t, c.want, got.Index)
			require.Equal(t, c.rule, got.Rule)
		})
	}
}

// An idle engine accepts a prompt that takes longer to process than the objective.
func TestChooseAcceptsLargePrompts(t *testing.T) {
	j := newJob()
	j.Tokens = 53000
	require.Zero(t, Choose([]View{newView(nil)}, j).Index)
}

// Load pattern: a burst of prompts with shared prefixes on engines that process prompts one at a time. Choose must not
// process more tokens than a baseline that always picks the engine with the fewest outstanding tokens, whatever it has
// cached.
func TestChooseReadsNoMoreThanNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const engines = 4
		shared := rapid.IntRange(2, 12).Draw(t, "shared parts")
		var prefilled, naive id.Tokens
		caches, naiveCaches := make([]PromptCache, engines), make([]PromptCache, engines)
		queue, naiveQueue := make([]id.Tokens, engines), make([]id.Tokens, engines)
		for range 200 {
			p := []Part{{Chain: uint64(rapid.IntRange(1, shared).Draw(t, "part")), Tokens: 13000}, {Chain: 0, Tokens: 1000}}
			j := &Job{Tokens: 14000, Objective: time.Second, LatenessFactor: 1e6}
			views := make([]View, engines)
			for i := range views {
				views[i] = newView(func(v *View) { v.QueuedTokens, v.Cached = queue[i], caches[i].Cached(p[:1]) })
			}
			c := Choose(views, j)
			queue[c.Index] += c.TokensToPrefill
			prefilled += c.TokensToPrefill
			caches[c.Index].Add(p[:1], 400000)

			least := 0
			for i := range naiveQueue {
				if naiveQueue[i] < naiveQueue[least] {
					least = i
				}
			}
			n := 14000 - naiveCaches[least].Cached(p[:1])
			naiveQueue[least] += n
			naive += n
			naiveCaches[least].Add(p[:1], 400000)
			for i := range queue {
				queue[i], naiveQueue[i] = max(0, queue[i]-4000), max(0, naiveQueue[i]-4000)
			}
		}
		require.LessOrEqual(t, prefilled, naive)
	})
}

// naiveCache is a reference implementation that keeps the parts in a slice, most recently used first.
type naiveCache struct{ list []Part }

func (c *naiveCache) add(parts []Part, maxTokens id.Tokens) {
	for i := len(parts) - 1; i >= 0; i-- {
		list := []Part{parts[i]}
		for _, p := range c.list {
			if p.Chain != parts[i].Chain {
				list = append(list, p)
			} else {
				list[0] = p
			}
		}
		c.list = list
	}
	for sum := c.sum(); sum > maxTokens && len(c.list) > 0; sum = c.sum() {
		c.list = c.list[:len(c.list)-1]
	}
}

func (c *naiveCache) sum() (n id.Tokens) {
	for _, p := range c.list {
		n += p.Tokens
	}
	return n
}

func (c *naiveCache) cachedTokens(parts []Part) (n id.Tokens) {
	for _, p := range parts {
		found := false
		for _, q := range c.list {
			found = found || q.Chain == p.Chain
		}
		if !found {
			return n
		}
		n += p.Tokens
	}
	return n
}

func TestPromptCacheMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m PromptCache
		var n naiveCache
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			first := uint64(rapid.IntRange(1, 5).Draw(t, "first"))
			second := first*10 + uint64(rapid.IntRange(0, 5).Draw(t, "second"))
			parts := []Part{{first, id.Tokens(first * 100)}, {second, id.Tokens(second * 10)}}
			require.Equal(t, n.cachedTokens(parts), m.Cached(parts))
			m.Add(parts, 1500)
			n.add(parts, 1500)
			require.Equal(t, n.sum(), m.tokens)
		}
	})
}
