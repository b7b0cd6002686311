package authority

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/id"
)

// BenchmarkRestart commits 100,000 changes on a single-VM fleet and measures how long the VM takes to restart.
func BenchmarkRestart(b *testing.B) {
	const changes, proposers = 100000, 256
	g := &testFleet{t: b, folder: b.TempDir()}
	g.bootstrap()
	n := &node{name: "vm0", control: true, address: "127.0.0.1:0"}
	g.vms = []*node{n}
	g.start(n)
	defer func() { g.kill(n) }()
	g.leader()
	var wg sync.WaitGroup
	for p := range proposers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := p; i < changes; i += proposers {
				_, err := n.authority.Propose(context.Background(), customerChange(fmt.Sprint("r", i), fmt.Sprint("c", i%200)))
				require.NoError(b, err)
			}
		}()
	}
	wg.Wait()
	for b.Loop() {
		g.kill(n)
		start := time.Now()
		g.start(n)
		opened := time.Since(start)
		g.waitUntil("all changes applied after the restart", func() bool { return n.authority.Config().Revision == id.Revision(changes) })
		b.ReportMetric(opened.Seconds(), "s-to-open")
		b.ReportMetric(time.Since(start).Seconds(), "s-to-serve")
	}
}
