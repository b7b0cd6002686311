package memory

import (
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, 200) }

// model is a Budget in plain numbers.
type model struct {
	limit    int64
	n, large map[*Hold]int64
	customer map[*Hold]id.Customer
}

func sum(m map[*Hold]int64, of func(*Hold) bool) (n int64) {
	for h, x := range m {
		if of(h) {
			n += x
		}
	}
	return n
}

func all(*Hold) bool { return true }

// take returns whether h has room for n more bytes.
func (m *model) take(h *Hold, n int64) bool {
	if sum(m.n, all)+n > m.limit {
		return false
	}
	if h.Use == Connection && sum(m.n, func(g *Hold) bool { return g.Use == Connection })+n > m.limit/2 {
		return false
	}
	if whole := m.n[h] + n; whole > SmallBytes {
		largeLimit := m.limit - m.limit/4
		large := sum(m.large, all) - m.large[h] + whole
		same := sum(m.large, func(g *Hold) bool { return m.customer[g] == m.customer[h] }) - m.large[h] + whole
		if large > largeLimit || same > 4*(largeLimit-large) {
			return false
		}
		m.large[h] = whole
	}
	m.n[h] += n
	return true
}

func (m *model) give(h *Hold, n int64) {
	m.n[h] -= n
	m.large[h] -= min(n, m.large[h])
}

func TestBudgetAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		b := &Budget{}
		m := &model{limit: 1 + r.Int64N(40*SmallBytes), n: map[*Hold]int64{}, large: map[*Hold]int64{}, customer: map[*Hold]id.Customer{}}
		b.SetLimit(m.limit)
		var holds []*Hold
		keepers := map[*Hold]int{}
		for range 300 {
			switch k := r.IntN(10); {
			case k < 3 || len(holds) == 0:
				h := &Hold{Budget: b, Use: Use(r.IntN(int(uses))), Customer: id.Customer(rune('a' + r.IntN(3)))}
				holds, m.customer[h] = append(holds, h), h.Customer
			case k < 7:
				h, n := holds[r.IntN(len(holds))], 1+r.Int64N(1<<(6+r.IntN(16)))
				require.Equal(t, m.take(h, n), h.Take(n))
			case k == 7:
				h := holds[r.IntN(len(holds))]
				n := r.Int64N(m.n[h] + 1)
				m.give(h, n)
				h.Give(n)
			case k == 8:
				h := holds[r.IntN(len(holds))]
				h.Keep()
				keepers[h]++
			default:
				i := r.IntN(len(holds))
				h := holds[i]
				h.Release()
				if keepers[h]--; keepers[h] < 0 {
					m.give(h, m.n[h])
					holds = append(holds[:i], holds[i+1:]...)
				}
			}
			for _, u := range Uses() {
				require.Equal(t, sum(m.n, func(h *Hold) bool { return h.Use == u }), b.Held(u), u)
			}
			require.Equal(t, sum(m.n, all), b.total.Load())
			require.Equal(t, sum(m.large, all), b.large.Load())
			require.LessOrEqual(t, b.total.Load(), m.limit)
		}
		for _, h := range holds {
			for range keepers[h] + 1 {
				h.Release()
			}
		}
		requireEmpty(t, b)
	})
}

func requireEmpty(t require.TestingT, b *Budget) {
	for _, u := range Uses() {
		require.Zero(t, b.Held(u), u)
	}
	require.Zero(t, b.total.Load())
	require.Zero(t, b.large.Load())
	b.customers.Each(func(c id.Customer, n *atomic.Int64) { require.Zero(t, n.Load(), c) })
}

func TestBudgetFromManyGoroutines(t *testing.T) {
	b := &Budget{}
	const limit = 20 * SmallBytes
	b.SetLimit(limit)
	var wg sync.WaitGroup
	var above atomic.Int64
	for seed := range uint64(8) {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, 2))
			for range 3000 {
				h := &Hold{Budget: b, Customer: id.Customer(rune('a' + r.IntN(3)))}
				for range 1 + r.IntN(3) {
					h.Take(1 + r.Int64N(4*SmallBytes))
				}
				if b.total.Load() > limit || b.large.Load() > limit-limit/smallDivisor {
					above.Add(1)
				}
				h.Keep()
				wg.Go(h.Release)
				h.Release()
			}
		})
	}
	wg.Wait()
	require.Zero(t, above.Load())
	require.Positive(t, b.Rejected(Body))
	requireEmpty(t, b)
}

// Large requests of one customer took all room, so that small ones and those of others had none.
func TestLargeRequestsLeaveRoom(t *testing.T) {
	b := &Budget{}
	b.SetLimit(100 << 20)
	fill := func(c id.Customer, n int64) (count int) {
		for (&Hold{Budget: b, Customer: c}).Take(n) {
			count++
		}
		return count
	}
	require.Equal(t, 15, fill("a", 4<<20), "four fifths of three quarters")
	require.Equal(t, 3, fill("b", 4<<20))
	require.Zero(t, fill("a", 4<<20))
	require.Greater(t, fill("a", SmallBytes), 16*25, "small requests of the same customer")
}

func TestReadAll(t *testing.T) {
	const limit = 300 << 10
	for name, c := range map[string]struct {
		size, told, copies, budget int64
		want                       error
	}{
		"told":                                {1000, 1000, 1, 2000, nil},
		"told, of several copies":             {1000, 1000, 2, 2000, nil},
		"told, without room for all copies":   {1000, 1000, 3, 2000, ErrNoRoom},
		"told, and ended early":               {999, 1000, 1, 2000, io.ErrUnexpectedEOF},
		"told as too large":                   {limit + 1, limit + 1, 1, 0, ErrTooLarge},
		"not told":                            {100 << 10, -1, 1, 1 << 20, nil},
		"not told, without room for a copy":   {100 << 10, -1, 1, 127 << 10, ErrNoRoom},
		"not told, as large as allowed":       {limit, -1, 1, 0, nil},
		"not told, larger than allowed":       {limit + 1, -1, 1, 0, ErrTooLarge},
		"not told, without room for any byte": {1, -1, 1, 10, ErrNoRoom},
		"without a bound":                     {limit, limit, 1, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			b := &Budget{}
			b.SetLimit(c.budget)
			h := &Hold{Budget: b}
			text := strings.Repeat("x", int(c.size))
			data, err := ReadAll(h, iotest.HalfReader(strings.NewReader(text)), c.told, limit, c.copies)
			require.ErrorIs(t, err, c.want)
			if c.want == nil {
				require.Equal(t, text, string(data))
				require.GreaterOrEqual(t, b.Held(Body), int64(cap(data))*c.copies)
			}
			h.Release()
			requireEmpty(t, b)
		})
	}
}

// An answer for which there is no room is passed on as it comes.
func TestReadSome(t *testing.T) {
	for name, c := range map[string]struct {
		size, want int
		whole      bool
	}{"short": {700, 700, true}, "as long as the limit": {4096, 4096, false}, "without room": {1500, 1024, false}} {
		t.Run(name, func(t *testing.T) {
			b := &Budget{}
			b.SetLimit(6144)
			h := &Hold{Budget: b, Use: Answer}
			if name == "without room" {
				require.True(t, h.Take(3200))
			}
			data, whole, err := ReadSome(h, strings.NewReader(strings.Repeat("x", c.size)), 4096)
			require.NoError(t, err)
			require.Equal(t, c.whole, whole)
			require.Len(t, data, c.want)
			h.Release()
			requireEmpty(t, b)
		})
	}
}

func BenchmarkSmallBody(b *testing.B) {
	budget := &Budget{}
	budget.SetLimit(1 << 30)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			h := Hold{Budget: budget}
			h.Take(900)
			h.Release()
		}
	})
}

// A crowd that held all room kept everybody else out, however long it had made no progress.
func TestRoomIsReclaimed(t *testing.T) {
	const limit = 4 * SmallBytes
	for name, c := range map[string]struct {
		reclaimed bool // others give their room back when they are asked
		answer    bool // of Reclaim
		taken     bool
	}{
		"given back":         {true, true, true},
		"nothing to reclaim": {false, false, false},
		"not given back":     {false, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := &Budget{}
			b.SetLimit(limit)
			var others []*Hold
			for range 4 {
				h := &Hold{Budget: b}
				require.True(t, h.Take(SmallBytes))
				others = append(others, h)
			}
			b.Reclaim = func(n int64) bool {
				require.EqualValues(t, SmallBytes, n)
				if c.reclaimed {
					time.AfterFunc(time.Millisecond, others[0].Release)
				}
				return c.answer
			}
			h := &Hold{Budget: b}
			data, err := ReadAll(h, strings.NewReader(strings.Repeat("x", SmallBytes)), SmallBytes, limit, 1)
			require.EqualValues(t, 1, b.Rejected(Body))
			if !c.taken {
				require.ErrorIs(t, err, ErrNoRoom)
				return
			}
			require.NoError(t, err)
			require.Len(t, data, SmallBytes)
		})
	}
}
