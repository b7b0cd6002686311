package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of the sheet of Kochi that this case needs.
const (
	drainBound   = 2 * time.Second // drain_ms
	contactBound = 3 * time.Second // contact_ms
	touchMargin  = 20 * time.Millisecond
)

const (
	workTime = 200 * time.Millisecond  // of a booking at an engine
	servesOn = 3700 * time.Millisecond // how long the engine serves after the confirmation: drain_ms and a little longer
	downFor  = 4100 * time.Millisecond // how long the killed machine stays down, the longest in the site file
	watchFor = 4 * time.Second         // requests are sent for so long after the confirmation
	sendGap  = 20 * time.Millisecond
)

// arrival is a request that an engine got.
type arrival struct {
	engine, id string
	at         time.Time
}

// outcome is what a client got for a request.
type outcome struct {
	sent   time.Time
	status int
}

// departure has an engine deregister, kills the control machine that has confirmed it, and adds a front machine.
func departure(f *fleet, trouble bool) (bool, error) {
	var mu sync.Mutex
	var arrivals []arrival
	serve := func(name string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			mu.Lock()
			arrivals = append(arrivals, arrival{name, id, time.Now()})
			mu.Unlock()
			f.logf("%s runs %s", name, id)
			time.Sleep(workTime)
			answer(w, r, "done by "+name)
		}
	}
	added := f.fronts()[2]
	for _, m := range f.machines {
		if m == added {
			continue
		}
		if err := f.startMachine(m, true); err != nil {
			return false, err
		}
	}
	controls := f.controls()
	if _, err := f.confirmConfig(controls, 1, config(1), 10*time.Second); err != nil {
		return false, err
	}
	stays, err := f.startEngine("i-5ta45", appService, zoneNames[0], serve("i-5ta45"))
	if err != nil {
		return false, err
	}
	defer close(stays.stop)
	leaves, err := f.startEngine("i-1eave5", appService, zoneNames[2], serve("i-1eave5"))
	if err != nil {
		return false, err
	}
	if err := f.ready(f.fronts()[:2], 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // all machines are in touch from here

	// The engine's last ping goes to one machine, its departure to another one.
	close(leaves.stop)
	time.Sleep(200 * time.Millisecond)
	confirms, pinged := controls[0], controls[1]
	if !leaves.say("heartbeat", "ready", []*machine{pinged}) {
		return false, fmt.Errorf("%s took no ping", pinged.name)
	}
	f.logf("%s pings %s", leaves.id, pinged.name)
	time.Sleep(50 * time.Millisecond)
	if !leaves.say("deregister", "ready", []*machine{confirms}) {
		return false, fmt.Errorf("%s did not confirm the departure", confirms.name)
	}
	confirmed := time.Now()
	f.logf("%s confirms that %s is gone", confirms.name, leaves.id)
	time.AfterFunc(servesOn, func() {
		f.logf("%s exits", leaves.id)
		leaves.server.Close()
	})
	killed := time.Now()
	if trouble {
		f.kill(confirms)
	}
	if err := f.startMachine(added, false); err != nil {
		return false, err
	}
	started := time.Now()
	inTouch := started.Add(contactBound + touchMargin) // later than contact_ms after the kill too

	outcomes := map[string]outcome{}
	var wg sync.WaitGroup
	for n := 0; time.Since(confirmed) < watchFor; n++ {
		id := fmt.Sprintf("9c41d07b%08x", n)
		wg.Add(1)
		go func() {
			defer wg.Done()
			o := outcome{sent: time.Now()}
			f.logf("%s sent to %s", id, added.name)
			o.status = f.request(added, http.MethodPost, "/once/booking", id, []byte("a booking"))
			f.logf("%s answered with %d", id, o.status)
			mu.Lock()
			defer mu.Unlock()
			outcomes[id] = o
		}()
		time.Sleep(sendGap)
	}
	if trouble {
		time.Sleep(time.Until(killed.Add(downFor)))
		if err := f.startMachine(confirms, false); err != nil {
			return false, err
		}
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, lost := 0, 0
	for _, a := range arrivals {
		o := outcomes[a.id]
		if a.engine != leaves.id || a.at.Sub(confirmed) <= drainBound || !o.sent.After(inTouch) {
			continue
		}
		late++
		if o.status/100 != 2 {
			lost++
		}
		f.logf("DRAIN: %s reached %s %.3f s after the confirmation, sent %.3f s after the start of %s; answered with %d",
			a.id, a.engine, a.at.Sub(confirmed).Seconds(), o.sent.Sub(started).Seconds(), added.name, o.status)
	}
	f.logf("%d bookings reached %s later than drain_ms through a machine in touch; %d of them were lost with it", late, leaves.id, lost)
	return late > 0, nil
}
