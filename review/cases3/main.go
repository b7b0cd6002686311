package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases3 CASE RECORD")
		os.Exit(failed)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	code := failed
	switch os.Args[1] {
	case "departure":
		code = playDeparture(rec, trouble)
	case "chunks":
		code = playChunks(rec, trouble)
	}
	rec.add("exit code %d", code)
	os.Exit(code)
}

// setUp starts the fleet with its engines and waits until every front machine has been in touch for contactTime.
func setUp(rec *record, fronts, engines int) (*fleet, []*engine, *clients, bool) {
	f, err := newFleet(rec, fronts)
	if err != nil {
		rec.add("the fleet does not start: %v", err)
		return f, nil, nil, false
	}
	var list []*engine
	for n := range engines {
		e, err := newEngine(f, n)
		if err != nil {
			rec.add("engine %d does not start: %v", n, err)
			return f, list, nil, false
		}
		list = append(list, e)
	}
	if !f.sendConfig(7, 20*time.Second) {
		rec.add("the configuration is not acknowledged")
		return f, list, nil, false
	}
	c := startClients(f, 60*time.Millisecond)
	if !f.awaitServing(c, 20*time.Second) {
		rec.add("the fleet does not serve")
		return f, list, c, false
	}
	time.Sleep(contactTime + time.Second)
	return f, list, c, true
}

// playDeparture: an engine deregisters and goes on serving for some seconds. Right after the confirmation all processes of the system are killed,
// and are back within a second. A ping that the engine sent before it left arrives some seconds late.
func playDeparture(rec *record, trouble bool) int {
	f, engines, c, ok := setUp(rec, 3, 3)
	if f != nil {
		defer f.stop()
	}
	if c != nil {
		defer c.stop()
	}
	if !ok {
		return failed
	}
	x := engines[0]
	late := x.ping("ready")
	rec.add("engine %s sends a ping that is held up on its way: %s", x.id, late)
	time.Sleep(100 * time.Millisecond)
	ackedAt, ok := x.leave()
	if !ok {
		rec.add("nobody acknowledges that the engine leaves")
		return failed
	}
	if trouble && !f.killAll(400*time.Millisecond) {
		return failed
	}
	inTouch := time.Now().Add(2 * contactTime) // a fault that took most of the core
	time.Sleep(time.Until(inTouch.Add(200 * time.Millisecond)))
	to := f.cores()[1]
	rec.add("the ping of %s that was held up arrives at %s and gets %d", x.id, to.name, x.post(to, "heartbeat", late))
	answered := c.answered.Load()
	time.Sleep(3 * time.Second)
	x.server.Close()
	rec.add("engine %s exits", x.id)
	time.Sleep(1200 * time.Millisecond) // until the requests that it had are answered
	if c.answered.Load() == answered {
		rec.add("nothing is served after the fault")
		return failed
	}
	if t := ackedAt.Add(drainTime); t.After(inTouch) {
		inTouch = t
	}
	if list := x.runsAfter(inTouch); len(list) > 0 {
		rec.add("DRAIN is broken: %d requests reached %s and ran, the first %.3f s after its departure was acknowledged; %d of them got no success",
			len(list), x.id, list[0].at.Sub(ackedAt).Seconds(), c.unanswered(list))
		return broken
	}
	return held
}

// killAll kills all processes at one moment and starts them again after pause.
func (f *fleet) killAll(pause time.Duration) bool {
	for _, m := range f.machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range f.machines {
		m.kill()
		f.rec.add("machine %s was killed", m.name)
	}
	time.Sleep(pause)
	for _, m := range f.machines {
		if err := f.startMachine(m, false); err != nil {
			f.rec.add("%v", err)
			return false
		}
	}
	return true
}

const (
	spoilTime = 5500 * time.Millisecond
	spoilEach = 50 // a share of 0.02
)

// playChunks: for some seconds one engine of three spoils a share of 0.02 of its answers.
func playChunks(rec *record, trouble bool) int {
	f, engines, c, ok := setUp(rec, 3, 3)
	if f != nil {
		defer f.stop()
	}
	if c != nil {
		defer c.stop()
	}
	if !ok {
		return failed
	}
	x := engines[0]
	if trouble {
		x.spoilEach.Store(spoilEach)
	}
	time.Sleep(spoilTime)
	x.spoilEach.Store(0)
	time.Sleep(time.Second)
	rec.add("%d answers were spoiled; %d requests were answered with the engine's body, %d with another", x.spoiled.Load(), c.answered.Load(), c.wrong.Load())
	if trouble && x.spoiled.Load() == 0 {
		rec.add("no answer was spoiled")
		return failed
	}
	if c.wrong.Load() > 0 {
		return broken
	}
	return held
}
