package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Bounds of the sheet of Kochi that these cases need.
const (
	catchUp  = 4 * time.Second  // catch_up_s
	recovery = 12 * time.Second // recovery_s
	graceful = 8 * time.Second  // grace_s
)

const (
	successorDelay = time.Second           // from a loss to the start of the successor
	margin         = 10 * time.Millisecond // beyond a bound
)

// plannedReplacement has a control machine replaced as planned, the new one first, and takes another one away once the old one has ended.
func plannedReplacement(f *fleet, trouble bool) (bool, error) {
	return replacement(f, trouble, func(replaced, successor *machine) error {
		if err := f.startMachine(successor, false); err != nil {
			return err
		}
		time.Sleep(catchUp + margin)
		f.signal(replaced, syscall.SIGTERM)
		select {
		case <-replaced.exited:
		case <-time.After(graceful):
			f.kill(replaced)
		}
		f.logf("%s has ended for good", replaced.name)
		time.Sleep(margin)
		return nil
	})
}

// unplannedReplacement takes the leading control machine away for good, and another one once the successor has had the time to catch up.
func unplannedReplacement(f *fleet, trouble bool) (bool, error) {
	return replacement(f, trouble, func(replaced, successor *machine) error {
		f.kill(replaced)
		f.logf("%s is gone for good", replaced.name)
		time.Sleep(successorDelay)
		if err := f.startMachine(successor, false); err != nil {
			return err
		}
		time.Sleep(catchUp + margin)
		return nil
	})
}

// replacement has the leading control machine replaced by replace, and then takes another one away for good.
func replacement(f *fleet, trouble bool, replace func(replaced, successor *machine) error) (bool, error) {
	first := f.controls()
	successor, successorOfLost := f.add("core", true), f.add("core", true)
	for _, m := range f.machines {
		if m == successor || m == successorOfLost {
			continue
		}
		if err := f.startMachine(m, true); err != nil {
			return false, err
		}
	}
	e, err := f.startEngine("i-5ta45", appService, zoneNames[0], func(w http.ResponseWriter, r *http.Request) {
		f.logf("i-5ta45 runs %s", r.Header.Get("X-Request-Id"))
		answer(w, r, "done")
	})
	if err != nil {
		return false, err
	}
	defer close(e.stop)
	if _, err := f.confirmConfig(first, 1, config(1), 10*time.Second); err != nil {
		return false, err
	}
	if err := f.ready(f.fronts(), 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactBound)
	version := 2
	if _, err := f.confirmConfig(first, version, config(version), 10*time.Second); err != nil {
		return false, err
	}
	replaced := f.leader(first)
	if replaced == nil {
		return false, errors.New("no control machine leads")
	}
	rest := slices.DeleteFunc(slices.Clone(first), func(m *machine) bool { return m == replaced })
	kept, lost := rest[0], rest[1]
	if err := replace(replaced, successor); err != nil {
		return false, err
	}

	// The only loss of a machine with a disk at this time: the replaced one has a successor that has caught up.
	controls := []*machine{kept, lost, successor}
	if trouble {
		f.kill(lost)
		f.logf("%s is gone for good", lost.name)
		time.Sleep(successorDelay)
		if err := f.startMachine(successorOfLost, false); err != nil {
			return false, err
		}
		controls = []*machine{kept, successor, successorOfLost}
	}
	time.Sleep(catchUp + recovery)

	served, asked := 0, 0
	for _, m := range f.fronts() {
		for range 20 {
			asked++
			id := fmt.Sprintf("9c41d07b%08x", asked)
			f.logf("%s sent to %s", id, m.name)
			status := f.request(m, http.MethodGet, "/safe/status", id, nil)
			f.logf("%s answered with %d", id, status)
			if status == http.StatusOK {
				served++
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	f.logf("%d of %d requests are served", served, asked)
	got := f.readConfig(controls, 2*contactBound)
	f.logf("the configuration that is read back is version %d; the newest confirmed one is %d", got, version)
	return got != version, nil
}

// readConfig reads the configuration back from the machines of list in turn, until one answers, and returns its version; 0 if none does within
// limit.
func (f *fleet) readConfig(list []*machine, limit time.Duration) int {
	var once sync.Once
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		m := list[i%len(list)]
		resp, err := operatorClient.Get("http://" + f.address(m, f.ports.control) + "/api/config/describe")
		if err == nil {
			body, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return versionOf(body)
			}
			once.Do(func() { f.logf("%s answers a read with %d: %s", m.name, resp.StatusCode, body) })
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0
}

// leader returns the machine of list that says in its metrics that it leads.
func (f *fleet) leader(list []*machine) *machine {
	for _, m := range list {
		resp, err := operatorClient.Get("http://" + f.address(m, f.ports.metrics) + "/metrics")
		if err != nil {
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if bytes.Contains(body, []byte("wagtaillift_leading 1")) {
			f.logf("%s leads", m.name)
			return m
		}
	}
	return nil
}
