package voter

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/modules/quorum"
)

const (
	modelStep   = 100 * time.Millisecond
	modelRound  = 2 * modelStep // between two decisions
	catchUpTime = 4 * time.Second
	leaveTime   = 4 * time.Second // for which a stopping VM waits for the hand-over
)

// vm is a control VM of the model.
type vm struct {
	running  bool
	silent   bool // frozen or cut off
	joinAt   time.Duration
	caughtUp time.Duration // when a learner has caught up
	leaveBy  time.Duration // stops by then at the latest; zero if it does not stop
	comeBack time.Duration // how long after its stop it starts again; zero if never
	lossEnd  *time.Duration
}

// fleet is a model of the control VMs of a fleet that decides with Rules. What is committed needs the answers of a majority.
type fleet struct {
	t         *rapid.T
	rnd       *rand.Rand
	now       time.Duration
	rules     Rules
	tolerance int
	pace      int // changes in one round
	vms       map[quorum.Node]*vm
	members   quorum.Members
	leader    quorum.Node
	term      quorum.Term
	electAt   time.Duration
	answered  time.Duration
	peers     map[quorum.Node]quorum.Progress
	watch     Watch
	losses    []*time.Duration // ends of the losses that count, forever if not known
	due       []action
	history   []string
}

type action struct {
	at time.Duration
	do func()
}

const forever = time.Hour

func newFleet(t *rapid.T, control, tolerance int) *fleet {
	f := &fleet{
		t: t, tolerance: tolerance, pace: rapid.SampledFrom([]int{1, 20}).Draw(t, "pace"), vms: map[quorum.Node]*vm{}, rules: Rules{Count: 2*tolerance + 1, Silence: time.Second},
		rnd: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "stream"))),
	}
	for range control {
		n := f.start()
		f.members = f.members.With(n, len(f.members.Voters) < f.rules.Count)
	}
	return f
}

// start adds a VM with an empty disk.
func (f *fleet) start() quorum.Node {
	n := quorum.Node(fmt.Sprint("n", len(f.vms)))
	f.vms[n] = &vm{running: true, joinAt: f.now + f.between(200*time.Millisecond, time.Second)}
	return n
}

func (f *fleet) between(from, to time.Duration) time.Duration {
	return from + time.Duration(f.rnd.Int64N(int64(to-from)))
}

func (f *fleet) after(d time.Duration, do func()) {
	f.due = append(f.due, action{f.now + d, do})
}

func (f *fleet) log(format string, args ...any) {
	f.history = append(f.history, fmt.Sprintf("%s "+format, append([]any{f.now}, args...)...))
}

func (f *fleet) answers(n quorum.Node) bool { return f.vms[n].running && !f.vms[n].silent }

func (f *fleet) hasMajority(voters []quorum.Node) bool {
	up := 0
	for _, n := range voters {
		if f.answers(n) {
			up++
		}
	}
	return up >= quorum.Majority(len(voters))
}

// lost returns how many VMs count as lost.
func (f *fleet) lost() (n int) {
	for _, end := range f.losses {
		if *end > f.now {
			n++
		}
	}
	return n
}

// lose counts a loss whose end is not known yet.
func (f *fleet) lose() *time.Duration {
	end := forever
	f.losses = append(f.losses, &end)
	return &end
}

// fault begins one random event with a VM that is well, if it is within the tolerance.
func (f *fleet) fault() {
	var well []quorum.Node
	for n, x := range f.vms {
		if x.running && !x.silent && x.leaveBy == 0 && f.members.Contains(n) {
			well = append(well, n)
		}
	}
	slices.Sort(well)
	n := well[f.rnd.IntN(len(well))]
	if f.rnd.IntN(3) == 0 && f.leader != "" && slices.Contains(well, f.leader) {
		n = f.leader
	}
	x := f.vms[n]
	kind := f.rnd.IntN(5)
	if kind == 0 { // planned replacement, the new one first
		f.log("%s gets a successor", n)
		f.start()
		f.after(catchUpTime, func() {
			if f.answers(n) && x.leaveBy == 0 {
				f.stop(n)
			}
		})
		return
	}
	if f.lost() >= f.tolerance {
		return
	}
	end := f.lose()
	switch kind {
	case 1: // planned restart
		x.comeBack, x.lossEnd = f.between(100*time.Millisecond, 3*time.Second), end
		f.stop(n)
	case 2: // lost for good
		f.log("%s is gone", n)
		x.running = false
		f.after(f.between(100*time.Millisecond, 2*time.Second), func() {
			f.log("the successor of %s starts", n)
			f.start()
			*end = f.now + catchUpTime
		})
	case 3: // killed, and back with its disk
		f.log("%s is killed", n)
		x.running = false
		f.after(f.between(100*time.Millisecond, 6*time.Second), func() { f.restart(n, end) })
	case 4: // frozen or cut off
		f.log("%s is silent", n)
		x.silent = true
		f.after(f.between(100*time.Millisecond, 8*time.Second), func() {
			f.log("%s answers again", n)
			x.silent, *end = false, f.now+catchUpTime
		})
	}
}

func (f *fleet) stop(n quorum.Node) {
	f.log("%s leaves", n)
	f.vms[n].leaveBy = f.now + leaveTime
}

// restart starts n again with its disk.
func (f *fleet) restart(n quorum.Node, end *time.Duration) {
	f.log("%s is back", n)
	x := f.vms[n]
	x.running, x.joinAt, x.leaveBy = true, f.now+f.between(200*time.Millisecond, time.Second), 0
	*end = f.now + catchUpTime
}

// elect finds a leader, 0.4 to 1.2 s after the last one was lost.
func (f *fleet) elect() {
	if f.leader != "" && f.answers(f.leader) && f.hasMajority(f.members.Voters) {
		return
	}
	if f.leader != "" {
		f.leader, f.electAt = "", f.now+f.between(400*time.Millisecond, 1200*time.Millisecond)
	}
	if f.now < f.electAt || !f.hasMajority(f.members.Voters) {
		return
	}
	f.lead(func(quorum.Node) bool { return true })
}

// lead makes a random voter that answers and is eligible the leader.
func (f *fleet) lead(eligible func(quorum.Node) bool) {
	var list []quorum.Node
	for _, n := range f.members.Voters {
		if f.answers(n) && n != f.leader && eligible(n) {
			list = append(list, n)
		}
	}
	if len(list) == 0 {
		return
	}
	f.leader = list[f.rnd.IntN(len(list))]
	f.term++
	f.peers = map[quorum.Node]quorum.Progress{}
	f.log("%s leads", f.leader)
}

// replicate gives the leader the answers of the others, and takes in VMs that are no members.
func (f *fleet) replicate() {
	for _, n := range slices.Sorted(maps.Keys(f.vms)) {
		x := f.vms[n]
		if f.answers(n) && !f.members.Contains(n) && x.leaveBy == 0 && f.now >= x.joinAt {
			f.members = f.members.With(n, false)
			x.caughtUp = f.now + f.between(0, 500*time.Millisecond)
		}
		if !f.members.Contains(n) || n == f.leader {
			delete(f.peers, n)
			continue
		}
		p := f.peers[n]
		if f.answers(n) {
			p.Acked = f.now
			if f.now >= x.caughtUp {
				p.Match = 100
			}
		}
		f.peers[n] = p
	}
	if f.hasMajority(f.members.Voters) {
		f.answered = f.now
	}
}

func (f *fleet) view() View {
	v := View{Self: f.leader, Members: f.members, Commit: 100, Peers: f.peers, Watch: &f.watch, Leaving: map[quorum.Node]bool{}}
	for n, x := range f.vms {
		v.Leaving[n] = x.running && x.leaveBy > 0 && n != f.leader
	}
	return v
}

// decide makes the changes that are due, and ends the VMs that have left.
func (f *fleet) decide() {
	f.watch.Observe(f.term, f.answered, f.peers)
	for range f.pace {
		c, ok := f.rules.Next(f.view())
		if !ok {
			return
		}
		f.log("%s promoted %t: %s after %s", c.Node, c.Promoted, c.Cause, c.Silence)
		f.require(f.hasMajority(c.Members.Voters), "a change cannot be committed")
		f.members = c.Members
	}
	f.require(f.pace == 1, "changes without end")
}

// endStops ends the VMs that have handed over, that nobody can replace, or whose time is over.
func (f *fleet) endStops() {
	for n, x := range f.vms {
		if !x.running || x.leaveBy == 0 {
			continue
		}
		if n == f.leader {
			f.lead(func(n quorum.Node) bool { return f.vms[n].leaveBy == 0 })
			continue
		}
		settled := false
		if _, due := f.rules.Next(f.view()); f.leader != "" && !due {
			settled = !f.members.Contains(n) || !f.rules.MayRelease(f.view())
		}
		if !settled && f.now < x.leaveBy {
			continue
		}
		f.log("%s has stopped", n)
		x.running = false
		if x.comeBack > 0 {
			f.after(x.comeBack, func() { f.restart(n, x.lossEnd) })
			x.comeBack = 0
		}
	}
}

func (f *fleet) step() {
	f.now += modelStep
	due := f.due
	f.due = nil
	for _, a := range due {
		if a.at <= f.now {
			a.do()
		} else {
			f.due = append(f.due, a)
		}
	}
	f.elect()
	if f.leader != "" {
		f.replicate()
		if f.now%modelRound == 0 {
			f.decide()
		}
	}
	f.endStops()
	f.check()
}

func (f *fleet) story() string {
	s := fmt.Sprintf("%d lost, voters %v, learners %v\n", f.lost(), f.members.Voters, f.members.Learners)
	for _, line := range f.history {
		s += line + "\n"
	}
	return s
}

// check expects that a majority of the voters is up whatever was lost within the tolerance, and that what is confirmed lies on more disks than
// may be lost.
func (f *fleet) check() {
	voters := f.members.Voters
	f.require(f.hasMajority(voters), "no majority of the voters is up")
	f.require(quorum.Majority(len(voters)) > f.tolerance, "what is confirmed lies on too few disks")
	f.require(len(voters) <= f.rules.Count+1, "too many voters")
}

// require fails the test with the history unless ok.
func (f *fleet) require(ok bool, message string) {
	if !ok {
		require.Fail(f.t, message, f.story())
	}
}

// Under random losses, returns, replacements and planned stops within the tolerance, a majority of the voters is always up.
func TestMajorityOutlivesLossesWithinTolerance(t *testing.T) {
	for _, c := range []struct{ control, tolerance int }{{3, 1}, {4, 1}, {5, 2}, {6, 2}} {
		t.Run(fmt.Sprint(c.control, " VMs, tolerance ", c.tolerance), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newFleet(t, c.control, c.tolerance)
				for range 50 {
					f.step()
				}
				for range 20 {
					f.fault()
					for range f.rnd.IntN(60) {
						f.step()
					}
				}
			})
		})
	}
}
