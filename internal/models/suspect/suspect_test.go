package suspect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, 300) }

func crash(u string, began, at Millis) Crash {
	return Crash{Upstream: id.Upstream(u), Incarnation: 1, Began: began, At: at}
}

func TestRefusal(t *testing.T) {
	h := Hold{Short: time.Minute, Long: time.Hour}
	for name, c := range map[string]struct {
		crashes []Crash
		hold    time.Duration // after the last crash; 0 is not refused
	}{
		"none":                                {nil, 0},
		"one":                                 {[]Crash{crash("a", 0, 10)}, 0},
		"one, reported twice":                 {[]Crash{crash("a", 0, 10), crash("a", 5, 12)}, 0},
		"sent again, and again a crash":       {[]Crash{crash("a", 0, 10), crash("b", 500, 510)}, time.Minute},
		"two upstreams that end together":     {[]Crash{crash("a", 0, 10), crash("b", 2, 12)}, 0},
		"three upstreams that end together":   {[]Crash{crash("a", 0, 10), crash("b", 2, 12), crash("c", 2, 13)}, time.Minute},
		"three, one after the other":          {[]Crash{crash("a", 0, 10), crash("b", 20, 30), crash("c", 40, 50)}, time.Hour},
		"two copies at once, and one later":   {[]Crash{crash("a", 0, 10), crash("b", 0, 12), crash("c", 40, 50)}, time.Hour},
		"the same upstream after its restart": {[]Crash{crash("a", 0, 10), {Upstream: "a", Incarnation: 2, Began: 50, At: 60}}, time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			var r Record
			for _, x := range c.crashes {
				r = r.With(x)
			}
			until, ok := r.RefusedUntil(h)
			require.Equal(t, c.hold > 0, ok)
			if ok {
				require.Equal(t, c.hold, until.Sub(r[len(r)-1].At))
			}
		})
	}
}

// Reports may arrive in any order and more than once: tables that got the same reports are equal.
func TestTablesMergeReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var list []Report
		for i := range 1 + rnd.IntN(6) {
			list = append(list, Report{
				Upstream: id.Upstream(fmt.Sprint("u", i)), Incarnation: 1, At: Millis(1000 + rnd.IntN(1000)),
				Runs: []Run{{Request: Fingerprint(rnd.IntN(3)), Began: Millis(rnd.IntN(1000))}},
			})
		}
		again := list[0]
		again.At -= 5 // reported by another VM
		list = append(list, again)
		a, b := Table{}, Table{}
		for _, r := range list {
			a.Apply(r)
		}
		for range 2 {
			for _, i := range rnd.Perm(len(list)) {
				b.Apply(list[i])
			}
		}
		require.Equal(t, a, b)
	})
}

func TestTableIsBounded(t *testing.T) {
	table := Table{}
	for i := range 3 * maxRecords {
		table.Apply(Report{Upstream: "u", Incarnation: uint64(i), At: Millis(i), Runs: []Run{{Request: Fingerprint(i)}}})
	}
	require.LessOrEqual(t, len(table), maxRecords)
	require.NotEmpty(t, table[Fingerprint(3*maxRecords-1)], "the newest record")
	table.Apply(Report{Upstream: "v", At: Millis(3 * maxRecords).Add(singleRetention + time.Second), Runs: []Run{{Request: 1}}})
	require.Len(t, table, 1, "expired records")
}
