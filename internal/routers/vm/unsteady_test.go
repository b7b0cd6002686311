package vm

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	unsteadyRequests = 60 // to each VM
	flapPeriod       = 700 * time.Millisecond
)

// sendSafe sends safe requests to every entry VM, one VM after the other, and returns how many were served and how many each plain upstream
// answered.
func (f *cutFleet) sendSafe() (served int, by map[string]int) {
	by = map[string]int{}
	client := &http.Client{Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	for n := range unsteadyRequests {
		for i := range f.entries {
			resp, err := client.Do(f.newRequest(i, "safe", "unsteady-"+time.Now().Format(time.RFC3339Nano)))
			if err != nil {
				continue
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				served++
				by[resp.Header.Get("X-Response-Signature")]++
			}
		}
		if n%4 == 0 {
			time.Sleep(cutRequestGap)
		}
	}
	return served, by
}

// A status check alone neither puts an upstream out nor takes it back: what it is worth is learnt from its answers.
func TestFalseHealth(t *testing.T) {
	f := newCutFleet(t)
	ill, failing := f.upstreams[0], f.upstreams[2]
	ill.unhealthy.Store(true)
	failing.fails.Store(true)
	all := unsteadyRequests * len(f.entries)
	served, by := f.sendSafe()
	require.GreaterOrEqual(t, served, all*95/100, "one upstream fails although its status check passes")
	require.Greater(t, by[ill.name], all*8/10, "a sound upstream whose status check fails")
	t.Run("the failing one is sound again", func(t *testing.T) {
		failing.fails.Store(false)
		f.waitUntil("it serves", func() bool {
			_, by := f.sendSafe()
			return by[failing.name] > all/10
		})
	})
}

// An upstream that goes down and up by turns costs few requests, is not taken for a crash of the requests on it, and serves again while it is up.
func TestFlappingUpstream(t *testing.T) {
	f := newCutFleet(t)
	u := f.upstreams[0]
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for down := true; ; down = !down {
			select {
			case <-stop:
				if !down {
					u.start()
				}
				return
			case <-time.After(flapPeriod):
			}
			if down {
				u.crash()
			} else {
				u.start()
			}
		}
	}()
	all, served := 0, 0
	for end := time.Now().Add(6 * flapPeriod); time.Now().Before(end); {
		n, _ := f.sendSafe()
		served += n
		all += unsteadyRequests * len(f.entries)
	}
	close(stop)
	<-stopped
	require.GreaterOrEqual(t, served, all*95/100)
	f.waitUntil("it serves again", func() bool {
		_, by := f.sendSafe()
		return by[u.name] > unsteadyRequests*len(f.entries)/10
	})
}
