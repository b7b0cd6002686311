package vm

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"wagtaillift/internal/services/shutdown"
)

const (
	drainPollInterval = 20 * time.Millisecond
	closeTimeout      = 2 * time.Second
)

// drain fails the health check, hands the exclusive leases over, refuses new requests after a while, and waits for the running ones as long as
// p allows. It leaves the fleet once they have ended, or beside the last of them, whose callers then get an answer that says so.
func (v *VM) drain(ctx context.Context, p *shutdown.Plan) {
	v.gate.Begin(p)
	v.unhealthy.Store(true)
	klog.InfoS("VM stopping", "vm", v.cfg.VM, "running", v.runningRequests())
	stopped, cancelHandOver := context.WithCancel(context.Background())
	defer cancelHandOver()
	go v.orders.HandOver(stopped)
	time.Sleep(time.Until(p.Refuse))
	v.stopping.Store(true)
	v.servers[endpointCaller].SetKeepAlivesEnabled(false) // closes the connections that were idle all the while
	v.awaitRequests(p.Leave)
	klog.InfoS("VM drained", "vm", v.cfg.VM, "running", v.runningRequests())
	late := v.runningRequests() > 0
	left := make(chan bool, 1)
	go func() { left <- v.leave(ctx, p.Exit) }()
	if late {
		v.awaitRequests(p.End)
		klog.InfoS("VM ends the requests that still run", "vm", v.cfg.VM, "running", v.runningRequests())
		v.endRequests(shutdown.ErrEnded)
		v.awaitRequests(p.Exit)
	}
	if inTime := <-left; inTime && late {
		v.authority.FlushUsage(ctx) // of the last requests
	}
}

// leave commits the remaining usage and leaves the fleet, and the log by exit if the grace is known. It reports whether there was time to commit
// everything.
func (v *VM) leave(ctx context.Context, exit time.Time) bool {
	start := time.Now()
	if v.cfg.Shutdown.Grace <= 0 {
		exit = start.Add(v.cfg.Shutdown.Leave)
	}
	ctx, cancel := context.WithDeadline(ctx, exit)
	defer cancel()
	call, cancelCall := context.WithTimeout(ctx, v.cfg.Shutdown.Leave)
	defer cancelCall()
	v.authority.FlushUsage(call)
	return v.authority.Leave(ctx, v.cfg.Shutdown.Leave-time.Since(start))
}

// awaitRequests waits until no request runs, or until end.
func (v *VM) awaitRequests(end time.Time) {
	for v.runningRequests() > 0 && time.Now().Before(end) {
		time.Sleep(drainPollInterval)
	}
}

// close closes the listeners and the transport. Until ctx ends, answers that are being written get closeTimeout for that.
func (v *VM) close(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	for _, s := range v.servers {
		s.Shutdown(ctx)
		s.Close()
	}
	v.transport.Close()
}
