package authority

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/quorum"
	"wagtaillift/internal/modules/wal"
)

// fillingDisk is a disk that is full for a while. A write then stores a part of its data.
type fillingDisk struct {
	full   atomic.Bool
	denied atomic.Int64 // operations that the full disk refused
	mu     sync.Mutex
	rand   *rand.Rand
}

func (d *fillingDisk) check(op, path string) error {
	if !d.full.Load() {
		return nil
	}
	d.denied.Add(1)
	return &os.PathError{Op: op, Path: path, Err: syscall.ENOSPC}
}

// part returns the number of bytes that a write of n stores before it fails.
func (d *fillingDisk) part(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.IntN(n)
}

func (d *fillingDisk) OpenFile(path string, flag int, perm os.FileMode) (wal.File, error) {
	f, err := os.OpenFile(path, flag, perm)
	if err != nil {
		return nil, err
	}
	return &fillingFile{f, d}, nil
}

func (d *fillingDisk) Rename(from, to string) error {
	if err := d.check("rename", from); err != nil {
		return err
	}
	return os.Rename(from, to)
}

func (d *fillingDisk) Remove(path string) error { return os.Remove(path) }

func (d *fillingDisk) SyncFolder(path string) error { return d.check("sync", path) }

type fillingFile struct {
	*os.File
	disk *fillingDisk
}

func (f *fillingFile) Write(data []byte) (int, error) {
	if err := f.disk.check("write", f.Name()); err != nil {
		n, _ := f.File.Write(data[:f.disk.part(len(data))])
		return n, err
	}
	return f.File.Write(data)
}

func (f *fillingFile) Sync() error { return f.disk.check("sync", f.Name()) }

// diskFleet is a fleet whose control VMs start again on the same disk whenever it has filled and has room again, as the serve command does.
type diskFleet struct {
	*testFleet
	mu     sync.Mutex
	agents map[string]*Agent
	disks  map[string]*fillingDisk
	voters int
}

func newDiskFleet(t *testing.T, control, voters, followers int, seed uint64) *diskFleet {
	timing := Timing{Lease: time.Second, ElectionTimeout: 300 * time.Millisecond, ReplaceVoterAfter: 300 * time.Millisecond}
	g := &diskFleet{
		testFleet: &testFleet{t: t, folder: t.TempDir(), timing: timing}, voters: voters,
		agents: map[string]*Agent{}, disks: map[string]*fillingDisk{},
	}
	g.bootstrap()
	for i := range control + followers {
		n := &node{name: fmt.Sprint("vm", i), control: i < control, address: "127.0.0.1:0"}
		if n.control {
			g.disks[n.name] = &fillingDisk{rand: rand.New(rand.NewPCG(seed, uint64(i)))}
		}
		g.vms = append(g.vms, n)
		g.run(n)
	}
	t.Cleanup(func() {
		for _, n := range g.vms {
			g.kill(n)
		}
	})
	g.waitUntil("all voters", func() bool { return g.votersUp() == min(control, voters) })
	return g
}

// run runs n until it is killed.
func (g *diskFleet) run(n *node) {
	ctx, cancel := context.WithCancel(context.Background())
	started, ended := make(chan bool, 1), make(chan bool)
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			if err := g.runOnce(ctx, n, started); err != nil && ctx.Err() == nil && !errors.Is(err, syscall.ENOSPC) {
				g.t.Errorf("%s ended: %v", n.name, err)
				return
			}
		}
	}()
	<-started
	n.stop = func() { cancel(); <-ended }
}

func (g *diskFleet) runOnce(ctx context.Context, n *node, started chan<- bool) error {
	g.mu.Lock()
	opt := Options{VM: id.VM(n.name), Zone: g.zone(n), Voters: g.voters, Timing: g.timing}
	for _, other := range g.vms {
		if other != n && other.control {
			opt.Seeds = append(opt.Seeds, other.address)
		}
	}
	g.lastIncarnation++
	opt.Incarnation = g.lastIncarnation
	g.mu.Unlock()
	if n.control {
		opt.Folder, opt.Files = g.path(n.name), g.disks[n.name]
		if err := wal.AwaitRoomOn(ctx, opt.Files, opt.Folder); err != nil {
			return err
		}
	}
	opt.Transport = g.transport(n.name, n.address, opt.Zone)
	defer opt.Transport.Close()
	opt.Peer = opt.Transport.Address()
	g.mu.Lock()
	n.address = opt.Peer
	g.mu.Unlock()
	a, err := New(opt)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.agents[n.name] = a
	g.mu.Unlock()
	select {
	case started <- true:
	default:
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go opt.Transport.Serve(ctx)
	return a.Run(ctx)
}

func (g *diskFleet) agent(n *node) *Agent {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.agents[n.name]
}

// votersUp returns the number of disks of running VMs that vote according to the leader, or 0 without a leader.
func (g *diskFleet) votersUp() int {
	for _, n := range g.vms {
		s, ok := g.agent(n).Status()
		if !ok || !s.Leading || s.LeadingSince == 0 || s.LeaseEnd == 0 {
			continue
		}
		return len(slices.DeleteFunc(slices.Clone(s.Members.Voters), func(v quorum.Node) bool {
			return !slices.ContainsFunc(g.vms, func(x *node) bool { return g.agent(x).node == v })
		}))
	}
	return 0
}

// leading returns the control VM that leads.
func (g *diskFleet) leading() *node {
	var found *node
	g.waitUntil("a leader", func() bool {
		i := slices.IndexFunc(g.vms, func(n *node) bool { return n.control && g.agent(n).Leading(clock.SinceBoot()) })
		if i >= 0 {
			found = g.vms[i]
		}
		return found != nil
	})
	return found
}

// fill fills the disk of n for d.
func (g *diskFleet) fill(n *node, d time.Duration) {
	disk := g.disks[n.name]
	disk.full.Store(true)
	time.Sleep(d)
	disk.full.Store(false)
}

// operator makes changes in turn through all VMs until stop is closed, and repeats each, unchanged and through the next VM, until it is
// answered.
type operator struct {
	*diskFleet
	sent    atomic.Int64
	longest time.Duration // from a change's first copy to its answer
}

func (o *operator) run(stop <-chan bool) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		start := time.Now()
		c := customerChange(fmt.Sprint("r", i), fmt.Sprint("c", i))
		for k := i; ; k++ {
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			r, err := o.agent(o.vms[k%len(o.vms)]).Propose(ctx, c)
			cancel()
			if err == nil {
				if r.Code != state.OK {
					o.t.Errorf("change %d: %s", i, r.Message)
				}
				break
			}
			if time.Since(start) > waitTimeout {
				o.t.Errorf("change %d has no answer after %s: %v", i, waitTimeout, err)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		o.longest = max(o.longest, time.Since(start))
		o.sent.Add(1)
	}
}

// The disks of the control VMs fill up one after another, each for a moment, some again just after it. Every change is answered meanwhile and
// after the last, and all disks vote again.
func TestDisksFillInTurn(t *testing.T) {
	for i, fleet := range []struct{ control, voters, rounds int }{{3, 3, 2}, {4, 3, 2}, {5, 3, 2}, {5, 5, 1}} {
		t.Run(fmt.Sprint(fleet.control, " control VMs, ", fleet.voters, " voters"), func(t *testing.T) {
			t.Parallel()
			seed := uint64(i + 7)
			g := newDiskFleet(t, fleet.control, fleet.voters, 2, seed)
			order := rand.New(rand.NewPCG(seed, 1))
			o, stop, done := &operator{diskFleet: g}, make(chan bool), make(chan bool)
			go func() { defer close(done); o.run(stop) }()
			for round := range 2 * fleet.rounds {
				list := slices.Clone(g.vms[:fleet.control])
				order.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
				k := slices.Index(list, g.leading())
				last := (round % 2) * (len(list) - 1) // the leader comes first, or last
				list[last], list[k] = list[k], list[last]
				for _, n := range list {
					g.fill(n, time.Duration(100+order.IntN(2)*2200)*time.Millisecond)
					time.Sleep(time.Duration(order.IntN(300)) * time.Millisecond)
					if order.IntN(3) == 0 { // again while the VM starts
						g.fill(n, 300*time.Millisecond)
					}
				}
			}
			after := o.sent.Load()
			g.waitUntil("changes long after the last full disk", func() bool { return o.sent.Load() > after+40 })
			close(stop)
			<-done
			g.waitUntil("all disks vote", func() bool { return g.votersUp() == fleet.voters })
			for _, n := range g.vms {
				g.waitUntil("all changes on "+n.name, func() bool { return g.agent(n).Config().Revision == id.Revision(o.sent.Load()) })
				if n.control {
					require.Positive(t, g.disks[n.name].denied.Load(), "the disk of %s was never full at a write", n.name)
				}
			}
			status, err := g.agent(g.vms[fleet.control]).AwaitApplied(context.Background(), id.Revision(o.sent.Load()), 3*time.Second)
			require.NoError(t, err)
			require.Empty(t, status.Pending)
			t.Logf("%d changes, the longest took %s", o.sent.Load(), o.longest)
		})
	}
}
