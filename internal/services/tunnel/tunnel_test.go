package tunnel

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/cert"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/peer"
	"wagtaillift/internal/modules/upstream"
)

var errRefused = &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

// group is a number of VMs in one process and an upstream that sends back what it gets.
type group struct {
	services []*Service
	address  string
	stopping atomic.Bool // of all VMs but the first
	known    atomic.Bool
}

// newGroup returns VMs that dial with the given functions; nil dials the upstream.
func newGroup(t *testing.T, dials ...func(context.Context, string) (net.Conn, error)) *group {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go echo(l)
	g := &group{address: l.Addr().String()}
	g.known.Store(true)
	members := map[id.VM]state.Member{}
	for i, dial := range dials {
		vm := id.VM(fmt.Sprint("vm", i))
		store, err := cert.NewEphemeral(vm, "z", time.Now())
		require.NoError(t, err)
		transport, err := peer.New("127.0.0.1:0", store)
		require.NoError(t, err)
		members[vm] = state.Member{VM: vm, Zone: "z", Peer: transport.Address()}
		s := &Service{
			VM: vm, Zone: "z", Transport: transport, Dialer: &upstream.Dialer{Direct: dial}, Entry: isEntry,
			Members: func() map[id.VM]state.Member { return members }, Known: func(string) bool { return g.known.Load() }, Stopping: g.stopping.Load,
		}
		s.Register()
		ctx, cancel := context.WithCancel(context.Background())
		go transport.Serve(ctx)
		t.Cleanup(func() {
			cancel()
			transport.Close()
		})
		g.services = append(g.services, s)
	}
	return g
}

func echo(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			io.Copy(c, c)
			c.Close()
		}()
	}
}

// open opens a connection through another VM than the first, which is cut off.
func (g *group) open() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return g.services[0].Open(ctx, g.address)
}

func hang(ctx context.Context, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, os.ErrDeadlineExceeded
}

func refuse(context.Context, string) (net.Conn, error) { return nil, errRefused }

func TestOpenThroughAnotherVM(t *testing.T) {
	for name, dials := range map[string][]func(context.Context, string) (net.Conn, error){
		"the only other VM":           {hang, nil},
		"one of several is sound":     {hang, hang, refuse, nil, hang},
		"others are refused":          {refuse, refuse, refuse, nil},
		"every other VM is connected": {hang, nil, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t, dials...)
			c, err := g.open()
			require.NoError(t, err)
			c.SetDeadline(time.Now().Add(5 * time.Second))
			_, err = c.Write([]byte("hello"))
			require.NoError(t, err)
			got := make([]byte, 5)
			_, err = io.ReadFull(c, got)
			require.NoError(t, err)
			require.Equal(t, "hello", string(got))
			relaying := func() (n int64) {
				for _, s := range g.services {
					n += s.Relaying()
				}
				return n
			}
			require.Positive(t, relaying())
			c.Close()
			require.Eventually(t, func() bool { return relaying() == 0 }, 5*time.Second, time.Millisecond)
		})
	}
}

// An upstream counts as refusing connections only if no VM that was asked reaches it and several were refused.
func TestOpenFails(t *testing.T) {
	for name, c := range map[string]struct {
		dials   []func(context.Context, string) (net.Conn, error)
		prepare func(*group)
		refused bool
	}{
		"refused everywhere":         {dials: []func(context.Context, string) (net.Conn, error){hang, refuse, refuse, refuse}, refused: true},
		"refused at the only VM":     {dials: []func(context.Context, string) (net.Conn, error){hang, refuse}, refused: true},
		"refused once, not reached":  {dials: []func(context.Context, string) (net.Conn, error){hang, refuse, hang}},
		"reached by none":            {dials: []func(context.Context, string) (net.Conn, error){hang, hang, hang}},
		"no other VM":                {dials: []func(context.Context, string) (net.Conn, error){hang}},
		"the others are stopping":    {dials: []func(context.Context, string) (net.Conn, error){hang, nil, nil}, prepare: func(g *group) { g.stopping.Store(true) }},
		"no upstream at the address": {dials: []func(context.Context, string) (net.Conn, error){hang, nil, nil}, prepare: func(g *group) { g.known.Store(false) }},
		"refused at VMs that are cut off": {dials: []func(context.Context, string) (net.Conn, error){hang, refuse, refuse}, prepare: func(g *group) {
			for _, s := range g.services[1:] {
				s.Dialer.Relay = func(context.Context, string) (net.Conn, error) {
					near, _ := net.Pipe()
					return near, nil
				}
				s.Dialer.Dial(context.Background(), g.address, time.Second)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t, c.dials...)
			if c.prepare != nil {
				c.prepare(g)
			}
			_, err := g.open()
			require.Error(t, err)
			require.Equal(t, c.refused, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
		})
	}
}
