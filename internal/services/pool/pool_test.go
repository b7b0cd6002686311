package pool

import (
	"context"
	"fmt"
	"math"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/cert"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/peer"
	"wagtaillift/internal/services/limit"
)

const customer = id.Customer("c")

func isEntry(m state.Member) bool { return !m.Control }

// members returns 40 VMs in each of five data centres, one of them a control VM.
func members() map[id.VM]state.Member {
	list := map[id.VM]state.Member{}
	for i := range 200 {
		vm := id.VM(fmt.Sprint("vm", i))
		list[vm] = state.Member{VM: vm, Zone: id.Zone(fmt.Sprint("z", i%5)), Control: i < 5}
	}
	return list
}

// node is one VM that holds shares.
type node struct {
	t *testing.T
	Service
	holding atomic.Bool
}

// newNode starts a VM of z0 that holds a share of 100 tokens, and adds it to list.
func newNode(t *testing.T, vm id.VM, list map[id.VM]state.Member) *node {
	store, err := cert.NewEphemeral(vm, "z0", time.Now())
	require.NoError(t, err)
	transport, err := peer.New("127.0.0.1:0", store)
	require.NoError(t, err)
	list[vm] = state.Member{VM: vm, Zone: "z0", Peer: transport.Address()}
	n := &node{t: t, Service: Service{
		VM: vm, Zone: "z0", Transport: transport, Members: func() map[id.VM]state.Member { return list }, Entry: isEntry, Limiter: &limit.Limiter{},
	}}
	n.Holding = func(time.Duration, id.Customer) bool { return n.holding.Load() }
	n.holding.Store(true)
	n.Limiter.Pool = n
	n.Register()
	b := n.Limiter.Bucket(customer)
	b.SetShare(clock.SinceBoot(), limit.Quota{Burst: 100})
	b.Credit(clock.SinceBoot(), 100)
	ctx, cancel := context.WithCancel(context.Background())
	go transport.Serve(ctx)
	t.Cleanup(func() {
		cancel()
		transport.Close()
	})
	return n
}

// connect opens n's connections to the others: a handshake on a busy machine takes longer than a holder has for its answer.
func (n *node) connect(others ...*node) {
	for _, o := range others {
		require.Eventually(n.t, func() bool {
			_, err := peer.Call[limit.Answer](n.t.Context(), n.Transport, o.Transport.Address(), methodTake, limit.Query{})
			return err != nil && strings.Contains(err.Error(), "not valid") // a question without a customer changes nothing
		}, time.Minute, time.Millisecond)
	}
}

func TestTake(t *testing.T) {
	for name, c := range map[string]struct {
		prepare  func(first, second *node)
		answered bool
		left     [2]float64 // tokens of the preferred holder and of its successor
	}{
		"the holder answers":      {prepare: func(*node, *node) {}, answered: true, left: [2]float64{40, 100}},
		"the holder has no lease": {prepare: func(a, _ *node) { a.holding.Store(false) }, answered: true, left: [2]float64{100, 40}},
		"the holder is gone":      {prepare: func(a, _ *node) { a.Transport.Close() }, answered: true, left: [2]float64{100, 40}},
		"the holder and its successor": {prepare: func(a, b *node) {
			a.Transport.Close()
			b.holding.Store(false)
		}, left: [2]float64{100, 100}},
	} {
		t.Run(name, func(t *testing.T) {
			list := members()
			order := newHolders(0, list, "z0", isEntry).order(customer, func(id.VM) bool { return false })
			first, second := newNode(t, order[0], list), newNode(t, order[1], list)
			asking := newNode(t, "vm200", list)
			asking.connect(first, second)
			asking.AnswerTimeout = 400 * time.Millisecond
			c.prepare(first, second)
			for range 2 { // the second question must not wait for a holder that did not answer the first
				start := time.Now()
				a, answered := asking.Take(t.Context(), limit.Query{Customer: customer, Tokens: 30})
				require.Equal(t, c.answered, answered)
				require.Equal(t, c.answered, a.Granted)
				require.Less(t, time.Since(start), time.Second)
			}
			for i, n := range []*node{first, second} {
				require.Equal(t, c.left[i] >= 100, n.Limiter.Bucket(customer).Take(clock.SinceBoot(), 100))
				require.Equal(t, c.left[i] < 100, n.Limiter.Bucket(customer).Take(clock.SinceBoot(), 40))
			}
		})
	}
}

// A malformed question neither fills nor empties a bucket.
func TestMalformedQuery(t *testing.T) {
	n := newNode(t, "vm0", members())
	for name, q := range map[string]limit.Query{
		"no customer": {Tokens: 1}, "not a number": {Customer: customer, Returned: math.NaN()}, "negative": {Customer: customer, Tokens: -50},
		"infinite": {Customer: customer, Returned: math.Inf(1)}, "endless wait": {Customer: customer, Tokens: 500, Wait: math.MaxInt64},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := n.admit(t.Context(), q)
			require.ErrorIs(t, err, errors.NotValid)
			require.False(t, n.Limiter.Bucket(customer).Take(clock.SinceBoot(), 101))
		})
	}
	require.True(t, n.Limiter.Bucket(customer).Take(clock.SinceBoot(), 100))
}

func TestHolders(t *testing.T) {
	list := members()
	h := newHolders(0, list, "z0", isEntry)
	require.Equal(t, 195, h.entries)
	require.Equal(t, 5, h.zones)
	require.Len(t, h.list, 5)
	none := func(id.VM) bool { return false }
	t.Run("another VM leaves", func(t *testing.T) {
		before := h.order(customer, none)
		for vm, m := range list {
			if _, holds := h.addresses[vm]; !holds && m.Zone == "z0" {
				delete(list, vm)
				break
			}
		}
		require.Equal(t, before, newHolders(0, list, "z0", isEntry).order(customer, none))
	})
	t.Run("one that failed comes last", func(t *testing.T) {
		order := h.order(customer, none)
		require.Equal(t, []id.VM{order[1], order[0]}, h.order(customer, func(vm id.VM) bool { return vm == order[0] }))
	})
	t.Run("small fleets are not pooled", func(t *testing.T) {
		s := Service{Zone: "z0", Entry: isEntry, Members: func() map[id.VM]state.Member {
			return map[id.VM]state.Member{"a": {VM: "a", Zone: "z0"}}
		}}
		require.False(t, s.Pooled())
		require.Equal(t, maxAsked, s.Holders())
	})
}
