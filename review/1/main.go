// Command 1 stops an entry VM as planned, and tells it during the stop that its settings have changed.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"wagtaillift/review/fleet"
)

const (
	requests  = 40
	runTime   = 3 * time.Second
	timeoutMS = 5000
	hupAfter  = time.Second // after the SIGTERM
	grace     = 8 * time.Second
)

// request is what the record keeps of one.
type request struct {
	id               string
	sent, ran, ended time.Duration
	end              string
}

func main() {
	f := fleet.New(fleet.Options{Zones: 3, FrontsEach: 1, MemoryMB: 284, QuotaSlack: 190000, BinaryPath: os.Args[1], RecordPath: os.Args[2]})
	f.Start()
	routes := []map[string]any{fleet.Route("booking", "unsafe", "app", timeoutMS, 600, 1), fleet.Route("status", "safe", "app", timeoutMS, 600, 2)}
	f.Configure(fleet.Config(1, routes, []string{"app"}, 0, 0), 20*time.Second)
	var mu sync.Mutex
	byID := map[string]*request{}
	for i := range 3 {
		f.StartUpstream(i, &fleet.Upstream{Service: "app", Zone: i, Slots: 64, Run: func(w http.ResponseWriter, r *http.Request, _ []byte) {
			mu.Lock()
			if q := byID[r.Header.Get("X-Request-Id")]; q != nil {
				q.ran = f.Since()
			}
			mu.Unlock()
			if strings.HasPrefix(r.URL.Path, "/booking/") {
				time.Sleep(runTime)
			}
			io.WriteString(w, "booked")
		}})
	}
	f.AwaitReady(20 * time.Second)
	time.Sleep(2 * time.Second)

	entry := f.Fronts[0]
	var wg sync.WaitGroup
	var list []*request
	for k := range requests {
		q := &request{id: fmt.Sprintf("r%02d", k)}
		mu.Lock()
		list, byID[q.id] = append(list, q), q
		mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			q.end = send(f, entry.CallerAddress(), q)
			q.ended = f.Since()
		}()
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	f.Log("SIGTERM to %s", entry.Name)
	stopped := f.Since()
	entry.Signal(syscall.SIGTERM)
	time.Sleep(hupAfter)
	if f.Trouble {
		f.Log("settings of %s change, SIGHUP", entry.Name)
		entry.Rewrite()
		entry.Signal(syscall.SIGHUP)
	}
	select {
	case <-entry.Ended():
		f.Log("%s ended %.3f s after its SIGTERM: %s", entry.Name, (f.Since() - stopped).Seconds(), entry.EndState())
	case <-time.After(grace - hupAfter):
		f.Log("%s is killed at the end of its grace", entry.Name)
		entry.Kill()
	}
	wg.Wait()
	cut := 0
	for _, q := range list {
		f.Log("%s sent %.3f, ran from %.3f on, ended %.3f: %s", q.id, q.sent.Seconds(), q.ran.Seconds(), q.ended.Seconds(), q.end)
		if q.ran > 0 && strings.HasPrefix(q.end, "closed") {
			cut++
		}
	}
	f.Finish(cut > 0, "%d of %d requests that engines ran lost their channel without a complete answer", cut, len(list))
}

// send opens a channel, has a small request answered on it, and sends the booking on the kept channel. It returns how that
// ended.
func send(f *fleet.Fleet, address string, q *request) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no channel: " + err.Error()
	}
	defer c.Close()
	r := bufio.NewReader(c)
	if end := exchange(c, r, "first-"+q.id, "/status/x"); !strings.HasPrefix(end, "200") {
		return "not sent, as the small request before it ended so: " + end
	}
	q.sent = f.Since()
	return exchange(c, r, q.id, "/booking/x")
}

func exchange(c net.Conn, r *bufio.Reader, id, path string) string {
	c.SetDeadline(time.Now().Add(timeoutMS*time.Millisecond + time.Second))
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token key1\r\nContent-Length: 4\r\n\r\nbody", path, id, timeoutMS)
	if err != nil {
		return "not sent whole: " + err.Error()
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return "closed without an answer: " + err.Error()
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "closed in the answer: " + err.Error()
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, text)
}
