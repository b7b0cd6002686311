// Command x is an experiment.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wagtaillift/review/fleet"
)

func main() {
	f := fleet.New(fleet.Options{Zones: 3, FrontsEach: 1, MemoryMB: 284, QuotaSlack: 190000, BinaryPath: os.Args[1], RecordPath: os.Args[2]})
	f.Start()
	f.Configure(fleet.Config(1, []map[string]any{fleet.Route("r", "unsafe", "app", 5000, 600, 1), fleet.Route("s", "safe", "app", 5000, 600, 2)}, []string{"app"}, 0, 0), 20*time.Second)
	var ran, done sync.Map
	for i := range 3 {
		f.StartUpstream(i, &fleet.Upstream{Service: "app", Zone: i % 3, Slots: 64, Run: func(w http.ResponseWriter, r *http.Request, _ []byte) {
			id := r.Header.Get("X-Request-Id")
			if _, twice := ran.LoadOrStore(id, f.Since()); twice && strings.HasPrefix(id, "r") {
				f.Log("TWICE %s", id)
			}
			d := 5
			if rand.IntN(4) == 0 {
				d = rand.IntN(4000)
			}
			time.Sleep(time.Duration(d) * time.Millisecond)
			io.WriteString(w, "ok")
			done.Store(id, f.Since())
		}})
	}
	f.AwaitReady(20 * time.Second)
	time.Sleep(time.Second)
	var out [3]atomic.Bool
	stop := make(chan struct{})
	for i, v := range f.Fronts {
		go func() {
			misses := 0
			for {
				if v.Ready() {
					misses = 0
					out[i].Store(false)
				} else if misses++; misses >= 2 {
					out[i].Store(true)
				}
				time.Sleep(time.Second)
			}
		}()
	}
	var ok, refused, lost, lostRun atomic.Int64
	var wg sync.WaitGroup
	for n := range 150 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				at := rand.IntN(3)
				if out[at].Load() {
					continue
				}
				c, err := net.DialTimeout("tcp", f.Fronts[at].CallerAddress(), time.Second)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				r := bufio.NewReader(c)
				for j := range 20 {
					kind := []string{"r", "s"}[rand.IntN(2)]
					id := fmt.Sprintf("%s-%d-%d-%d", kind, n, k, j)
					sent := f.Since()
					c.SetDeadline(time.Now().Add(6 * time.Second))
					fmt.Fprintf(c, "POST /%s/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\nAuthorization: Token key1\r\nContent-Length: 4\r\n\r\nbody", kind, id)
					resp, err := http.ReadResponse(r, nil)
					if err == nil {
						_, err = io.ReadAll(resp.Body)
					}
					if err != nil {
						if at, was := ran.Load(id); was {
							lostRun.Add(1)
							f.Log("LOST %s sent %.3f ran %v end %v", id, sent.Seconds(), at, err)
						} else {
							lost.Add(1)
							f.Log("closed unread %s sent %.3f end %v", id, sent.Seconds(), err)
						}
						break
					}
					if resp.StatusCode == 200 {
						ok.Add(1)
					} else {
						refused.Add(1)
						if _, was := ran.Load(id); was && kind == "r" && resp.StatusCode == 503 {
							f.Log("REFUSED %s", id)
						}
						f.Log("%d %s", resp.StatusCode, id)
					}
					if resp.Close {
						break
					}
					time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
				}
				c.Close()
			}
		}()
	}
	for round := range 6 {
		time.Sleep(4 * time.Second)
		v := f.Fronts[round%3]
		f.Log("SIGTERM %s", v.Name)
		v.Signal(syscall.SIGTERM)
		select {
		case <-v.Ended():
			f.Log("%s ended by itself", v.Name)
		case <-time.After(8 * time.Second):
			f.Log("%s killed after grace", v.Name)
			v.Kill()
		}
		time.Sleep(500 * time.Millisecond)
		v.Launch(false)
	}
	close(stop)
	wg.Wait()
	f.Finish(lostRun.Load() > 0, "ok %d refused %d lost-run %d closed-unread %d", ok.Load(), refused.Load(), lostRun.Load(), lost.Load())
}
