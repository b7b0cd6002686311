package route

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, 200) }

func newRoute() Route {
	return Route{Name: "r", Host: "h", Prefix: "/a/", Kind: Safe, Timeout: time.Second, WeightedServices: []WeightedService{{"s", 1}}}
}

func TestCheckRejectsInvalidRoutes(t *testing.T) {
	ok := newRoute()
	require.NoError(t, ok.Check())
	for name, change := range map[string]func(*Route){
		"no host":                     func(r *Route) { r.Host = "" },
		"no slash at end of prefix":   func(r *Route) { r.Prefix = "/a" },
		"no slash at start of prefix": func(r *Route) { r.Prefix = "a/" },
		"unknown kind":                func(r *Route) { r.Kind = "other" },
		"no timeout":                  func(r *Route) { r.Timeout = 0 },
		"no weight":                   func(r *Route) { r.WeightedServices = []WeightedService{{"s", 0}, {"t", 0}} },
		"negative weight":             func(r *Route) { r.WeightedServices = []WeightedService{{"s", 3}, {"t", -1}} },
		"no services":                 func(r *Route) { r.WeightedServices = nil },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRoute()
			change(&r)
			require.Error(t, r.Check())
		})
	}
}

// findLinear returns the route with the longest matching prefix by comparing all routes.
func findLinear(list []Route, host, path string) (string, bool) {
	best := -1
	for i, r := range list {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best < 0 || len(r.Prefix) > len(list[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return list[best].Name, true
}

func TestFindMatchesLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []Route
		taken := map[string]bool{}
		for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
			r := newRoute()
			r.Name = fmt.Sprint("r", i)
			r.Host = rapid.SampledFrom([]string{"h", "g"}).Draw(t, "host")
			r.Prefix = rapid.SampledFrom([]string{"/", "/a/", "/a/b/", "/ab/", "/a/b/c/"}).Draw(t, "prefix")
			if !taken[r.Host+r.Prefix] {
				taken[r.Host+r.Prefix] = true
				list = append(list, r)
			}
		}
		table := NewTable(list)
		host := rapid.SampledFrom([]string{"h", "g", "x"}).Draw(t, "asked host")
		path := rapid.SampledFrom([]string{"/", "/a", "/a/", "/a/b/x", "/ab/x", "/a/b/c/d", "/b/"}).Draw(t, "path")
		want, ok := findLinear(list, host, path)
		got, found := table.FindRoute(host, path)
		require.Equal(t, ok, found)
		if ok {
			require.Equal(t, want, got.Name)
		}
	})
}

func TestServiceFollowsWeights(t *testing.T) {
	r := newRoute()
	r.WeightedServices = []WeightedService{{"s", 90}, {"t", 10}, {"u", 0}}
	n := map[id.Service]int{}
	for i := range 10000 {
		req := id.Request(fmt.Sprint("q", i))
		s := r.Service(req)
		require.Equal(t, s, r.Service(req), "a request must always get the same service")
		n[s]++
	}
	require.Zero(t, n["u"])
	require.InDelta(t, 1000, n["t"], 150)
}

func TestRepeatable(t *testing.T) {
	for _, c := range []struct {
		kind      Kind
		resumable bool
		want      bool
	}{{Safe, false, true}, {Unsafe, false, false}, {Unsafe, true, false}, {Stream, false, false}, {Stream, true, true}} {
		r := Route{Kind: c.kind, Resumable: c.resumable}
		require.Equal(t, c.want, r.Repeatable(), "%s %v", c.kind, c.resumable)
	}
}
