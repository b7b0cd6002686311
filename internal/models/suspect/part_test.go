package suspect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/id"
)

func partCrash(u string, request Fingerprint, began, at Millis) Crash {
	c := crash(u, began, at)
	c.Request = request
	return c
}

func TestGuiltyPart(t *testing.T) {
	for name, c := range map[string]struct {
		crashes []Crash
		want    bool
	}{
		"three requests, one after the other": {[]Crash{partCrash("a", 1, 0, 10), partCrash("b", 2, 20, 30), partCrash("c", 3, 40, 50)}, true},
		"one request, sent again":             {[]Crash{partCrash("a", 1, 0, 10), partCrash("b", 1, 20, 30), partCrash("c", 1, 40, 50)}, false},
		"two crashes":                         {[]Crash{partCrash("a", 1, 0, 10), partCrash("b", 2, 20, 30)}, false},
		"all upstreams end together":          {[]Crash{partCrash("a", 1, 0, 10), partCrash("b", 2, 0, 10), partCrash("c", 3, 0, 10), partCrash("d", 4, 0, 10)}, false},
		"together, and again a crash":         {[]Crash{partCrash("a", 1, 0, 10), partCrash("b", 2, 0, 10), partCrash("c", 3, 0, 10), partCrash("d", 4, 500, 510)}, false},
		"sent faster than upstreams end":      {[]Crash{partCrash("a", 1, 0, 210), partCrash("b", 2, 100, 410), partCrash("c", 3, 200, 610), partCrash("d", 4, 300, 810)}, true},
		"the records of a request":            {[]Crash{crash("a", 0, 10), crash("b", 20, 30), crash("c", 40, 50)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var r Record
			for _, x := range c.crashes {
				r = r.With(x)
			}
			require.Equal(t, c.want, r.guiltyPart())
			require.Equal(t, c.want, r.PartHold(time.Hour) > 0)
		})
	}
}

// Parts of the tests' prompts.
const (
	firstPart Fingerprint = iota + 1
	crashingPart
	neighbourPart
)

// report tells that upstream n crashed under requests of its own, one for each list of parts.
func crashReport(n int, prompts ...[]Fingerprint) Report {
	at := Millis(1000 * n)
	r := Report{Upstream: id.Upstream(fmt.Sprint("u", n)), Incarnation: 1, At: at}
	for i, parts := range prompts {
		r.Runs = append(r.Runs, Run{Request: Fingerprint(10000 + 10*n + i), Parts: parts, Began: at - 100})
	}
	return r
}

func TestCulprits(t *testing.T) {
	both := []Fingerprint{firstPart, crashingPart}
	for name, c := range map[string]struct {
		reports []Report
		want    []Fingerprint
	}{
		"of parts that are always together, the later one": {[]Report{crashReport(1, both), crashReport(2, both), crashReport(3, both)}, []Fingerprint{crashingPart}},
		"the part that is in more crashes": {
			[]Report{crashReport(1, both), crashReport(2, both), crashReport(3, both), crashReport(4, []Fingerprint{firstPart})}, []Fingerprint{firstPart},
		},
		"a neighbour in all crashes but the first": {
			[]Report{crashReport(1, both), crashReport(2, both, []Fingerprint{neighbourPart}), crashReport(3, both, []Fingerprint{neighbourPart}), crashReport(4, both, []Fingerprint{neighbourPart})},
			[]Fingerprint{crashingPart},
		},
		"two culprits": {
			[]Report{
				crashReport(1, []Fingerprint{crashingPart}), crashReport(2, []Fingerprint{neighbourPart}), crashReport(3, []Fingerprint{crashingPart}),
				crashReport(4, []Fingerprint{neighbourPart}), crashReport(5, []Fingerprint{crashingPart}), crashReport(6, []Fingerprint{neighbourPart}),
			},
			[]Fingerprint{crashingPart, neighbourPart},
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := Table{}
			for _, r := range c.reports {
				table.Apply(r)
			}
			found := table.Culprits()
			require.Equal(t, len(c.want), found.Len())
			for _, p := range c.want {
				require.NotEmpty(t, found.Part(p))
			}
		})
	}
}

// A part that was sent before it began to crash upstreams completes late; that does not clear it.
func TestLateCompletionDoesNotClearPart(t *testing.T) {
	table := Table{}
	for i := range 3 {
		table.Apply(crashReport(i+1, []Fingerprint{crashingPart}))
	}
	table.Apply(Report{Upstream: "u", At: 4000, Completed: true, Runs: []Run{{Request: 5, Parts: []Fingerprint{crashingPart}, Began: 900}}})
	require.Equal(t, 1, table.Culprits().Len())
	table.Apply(Report{Upstream: "u", At: 4000, Completed: true, Runs: []Run{{Request: 5, Parts: []Fingerprint{crashingPart}, Began: 3000}}})
	require.Empty(t, table[crashingPart])
}

// partLoad is a replay of traffic with shared parts over some engines: its pattern and what came of it.
type partLoad struct {
	rnd      *rand.Rand
	guilty   Fingerprint // zero for none
	interval int         // milliseconds between requests with it

	noticedAfter int // milliseconds from a crash to its report
	noticeSpread int // up to so many milliseconds more

	table    Table
	running  [9][]Run // by engine
	startsAt [9]int   // when the engine takes requests again
	lives    [9]uint64
	ended    map[int][]runEnd
	reports  map[int][]Report
	crashes  int // of engines that ran a request with the guilty part
	fifthAt  int
	sound    int
	refused  int // sound requests
	late     int // requests with the guilty part that reach an engine later than contactMillis after the fifth crash
}

type runEnd struct {
	engine int
	life   uint64
	run    Run
}

const (
	loadFirstParts  = 5
	loadSecondParts = 45
	loadMillis      = 40000
	restartMillis   = 3000
	contactMillis   = 3000
)

// play sends requests for loadMillis, one each 25 ms on average. Also without a guilty part engines crash: single ones, and all.
func (l *partLoad) play(t *testing.T) {
	l.table, l.ended, l.reports = Table{}, map[int][]runEnd{}, map[int][]Report{}
	for now := 1; now <= loadMillis; now++ {
		for _, e := range l.ended[now] {
			l.complete(now, e)
		}
		delete(l.ended, now)
		for _, r := range l.reports[now] {
			l.table.Apply(r)
		}
		delete(l.reports, now)
		if l.rnd.IntN(25) == 0 {
			l.send(now, l.prompt())
		}
		if l.guilty != 0 && now%l.interval == 0 {
			l.send(now, []Fingerprint{firstOf(l.guilty), l.guilty})
		}
		l.fail(now)
	}
}

// prompt draws the parts of a sound request; low numbers are frequent.
func (l *partLoad) prompt() []Fingerprint {
	n := l.rnd.IntN(loadSecondParts)
	second := Fingerprint(100 + min(n, l.rnd.IntN(loadSecondParts)))
	return []Fingerprint{firstOf(second), second}
}

func firstOf(second Fingerprint) Fingerprint { return 1 + second%loadFirstParts }

func (l *partLoad) guiltyIn(parts []Fingerprint) bool { return l.guilty != 0 && parts[1] == l.guilty }

func (l *partLoad) send(now int, parts []Fingerprint) {
	guilty := l.guiltyIn(parts)
	if !guilty {
		l.sound++
	}
	culprits := l.table.Culprits()
	for _, p := range parts {
		if len(culprits.Part(p)) > 0 {
			if !guilty {
				l.refused++
			}
			return
		}
	}
	e := l.rnd.IntN(len(l.running))
	if now < l.startsAt[e] {
		return
	}
	if guilty && l.crashes >= 5 && now > l.fifthAt+contactMillis {
		l.late++
	}
	run := Run{Request: Fingerprint(1000 + l.rnd.Uint64N(1<<40)), Parts: parts, Began: Millis(now)}
	l.running[e] = append(l.running[e], run)
	end := now + 200 + l.rnd.IntN(800)
	if guilty {
		end = now + 60 + l.rnd.IntN(200)
	}
	l.ended[end] = append(l.ended[end], runEnd{engine: e, life: l.lives[e], run: run})
}

func (l *partLoad) complete(now int, e runEnd) {
	if l.lives[e.engine] != e.life {
		return
	}
	if l.guiltyIn(e.run.Parts) {
		l.crash(now, e.engine)
		return
	}
	var left []Run
	for _, r := range l.running[e.engine] {
		if r.Request != e.run.Request {
			left = append(left, r)
		}
	}
	l.running[e.engine] = left
	l.table.Apply(Report{Upstream: "u", At: Millis(now), Runs: []Run{e.run}, Completed: true})
}

// crash ends an engine; its runs are reported.
func (l *partLoad) crash(now, e int) {
	for _, r := range l.running[e] {
		if l.guiltyIn(r.Parts) {
			if l.crashes++; l.crashes == 5 {
				l.fifthAt = now
			}
			break
		}
	}
	at := now + l.noticedAfter
	if l.noticeSpread > 0 {
		at += l.rnd.IntN(l.noticeSpread)
	}
	l.reports[at] = append(l.reports[at], Report{Upstream: id.Upstream(fmt.Sprint("u", e)), Incarnation: l.lives[e], At: Millis(at), Runs: l.running[e]})
	l.running[e], l.startsAt[e] = nil, now+restartMillis
	l.lives[e]++
}

// fail crashes a random engine every 4 s on average, and all of them after 15 s and 30 s.
func (l *partLoad) fail(now int) {
	if l.rnd.IntN(4000) == 0 {
		l.crash(now, l.rnd.IntN(len(l.running)))
	}
	if now == 15000 || now == 30000 {
		for e := range l.running {
			l.crash(now, e)
		}
	}
}

// Requests with a crashing part come at different rates into traffic that shares the other parts, while engines crash for other reasons.
func TestPartLoad(t *testing.T) {
	const seeds = 40
	for name, c := range map[string]struct{ interval, noticedAfter, noticeSpread int }{
		"none": {0, 2, 0}, "10 a second": {100, 2, 0}, "1.4 a second": {700, 2, 0}, "one in 4 s": {4000, 2, 0},
		"none, silent": {0, 4000, 0}, "none, silent, noticed at different moments": {0, 3000, 1500},
	} {
		t.Run(name, func(t *testing.T) {
			sound, refused := 0, 0
			for seed := range uint64(seeds) {
				l := &partLoad{rnd: rand.New(rand.NewPCG(seed, 1)), interval: c.interval, noticedAfter: c.noticedAfter, noticeSpread: c.noticeSpread}
				if c.interval > 0 {
					l.guilty = 100 + Fingerprint(seed%loadSecondParts) + loadSecondParts*Fingerprint(seed%2)
				}
				l.play(t)
				sound, refused = sound+l.sound, refused+l.refused
				require.LessOrEqual(t, l.late, 3, "seed %d: %d crashes", seed, l.crashes)
			}
			t.Logf("%d of %d sound requests refused", refused, sound)
			require.Less(t, refused, sound/100)
		})
	}
}

// Crashes show only as silence and are noticed 4 s late, while requests with the crashing part go on to come.
func TestSilentPartLoad(t *testing.T) {
	for name, interval := range map[string]int{"1.4 a second": 700, "one in 2 s": 2000, "one in 4 s": 4000} {
		t.Run(name, func(t *testing.T) {
			l := &partLoad{rnd: rand.New(rand.NewPCG(0, 1)), interval: interval, noticedAfter: 4000, guilty: 100}
			l.play(t)
			require.LessOrEqual(t, l.late, 3, "seed 0: %d crashes", l.crashes)
		})
	}
}

// The same for more seeds.
func TestSilentPartLoadSeeds(t *testing.T) {
	const seeds = 40
	for _, interval := range []int{700, 2000, 4000} {
		for seed := range uint64(seeds) {
			l := &partLoad{rnd: rand.New(rand.NewPCG(seed, 1)), interval: interval, noticedAfter: 4000, guilty: 100}
			l.play(t)
			assert.LessOrEqual(t, l.late, 3, "seed %d, one each %d ms: %d crashes", seed, interval, l.crashes)
		}
	}
}
