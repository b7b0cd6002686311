package state

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/claim"
	"wagtaillift/internal/models/customer"
	"wagtaillift/internal/models/key"
	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/id"
)

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemoryPerObject measures the heap bytes per object of each kind.
func BenchmarkMemoryPerObject(b *testing.B) {
	const n = 20000
	_, hash, err := key.Generate("k")
	require.NoError(b, err)
	for name, make := range map[string]func(i int) Command{
		"customer": func(i int) Command {
			return Command{Change: &Change{AnyBase: true, Request: id.Request(fmt.Sprint(i)), Customer: &customer.Customer{ID: id.Customer(fmt.Sprint("c", i))}}}
		},
		"key": func(i int) Command {
			k := key.Key{ID: id.Key(fmt.Sprint("k", i)), Role: key.Admin, Hash: hash}
			return Command{Change: &Change{AnyBase: true, Request: id.Request(fmt.Sprint(i)), Key: &k}}
		},
		"claim": func(i int) Command {
			return Command{Claim: &Claim{Claim: claim.Claim{ID: claim.ID{Customer: "c", Service: "s", IdempotencyKey: fmt.Sprint("token-", i)}, Digest: hash, Owner: "vm"}}}
		},
		"counter": func(i int) Command {
			src := usage.Source{VM: id.VM(fmt.Sprint("vm", i)), Customer: "c", Service: "s"}
			return Command{Usage: &Usage{Readings: []usage.Reading{{Source: src, Count: usage.Count{Requests: 1}}}}}
		},
		"member": func(i int) Command {
			return Command{Join: &Member{VM: id.VM(fmt.Sprint("vm", i)), Zone: "a", Peer: "127.0.0.1:1"}}
		},
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				m := New()
				for i := range n {
					data, err := make(i).Encode()
					require.NoError(b, err)
					m.Apply(id.Index(i+1), data)
				}
				m.Publish()
				b.ReportMetric((heapBytes()-before)/n, "B/"+name)
				runtime.KeepAlive(m)
			}
		})
	}
}

// BenchmarkApplyConfigChange measures applying and publishing one configuration change with 200 customers and 1,000
// keys.
func BenchmarkApplyConfigChange(b *testing.B) {
	m := New()
	i := id.Index(0)
	apply := func(c Command) {
		data, err := c.Encode()
		require.NoError(b, err)
		i++
		m.Apply(i, data)
	}
	for k := range 1000 {
		_, hash, err := key.Generate("k")
		require.NoError(b, err)
		apply(Command{Change: &Change{AnyBase: true, Request: id.Request(fmt.Sprint("k", k)), Key: &key.Key{ID: id.Key(fmt.Sprint("k", k)), Role: key.Admin, Hash: hash}}})
	}
	for b.Loop() {
		apply(Command{Change: &Change{AnyBase: true, Request: id.Request(fmt.Sprint(i)), Customer: &customer.Customer{ID: id.Customer(fmt.Sprint("c", i%200))}}})
		m.Publish()
	}
}
