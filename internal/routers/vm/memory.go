package vm

import (
	"fmt"
	"io"
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"wagtaillift/internal/modules/inbound"
	"wagtaillift/internal/modules/memory"
)

const (
	megabyte            = 1 << 20
	memoryLimitFraction = 0.7           // fraction of the configured memory set as Go's soft memory limit; the rest is for the kernel's buffers and what Go does not count
	vmMemory            = 48 * megabyte // what a VM needs itself
	minHeapDivisor      = 4             // of a small soft limit, limit/minHeapDivisor is for requests and garbage
	requestFraction     = 2.0 / 3       // of what the VM does not need; the rest is for garbage
	peerDivisor         = 3             // memory/peerDivisor is for large calls of other VMs
	maxDescriptors      = 1 << 20       // if the process has no lower limit
)

// limitMemory sets Go's soft memory limit and the budget of requests, if the settings name the memory of the VM.
func (v *VM) limitMemory() {
	if v.cfg.MemoryMB <= 0 {
		return
	}
	soft, requests := memoryLimits(int64(v.cfg.MemoryMB) * megabyte)
	debug.SetMemoryLimit(soft)
	v.memory.SetLimit(requests)
	v.transport.Memory.SetLimit(int64(v.cfg.MemoryMB) * megabyte / peerDivisor)
	klog.InfoS("Memory limited", "memory", v.cfg.MemoryMB, "soft", soft, "requests", requests)
}

// limitConnections prepares the table of clients' connections and returns the descriptors that the process may open.
func (v *VM) limitConnections() int {
	limits := v.cfg.Caller
	v.inbound.Memory, v.inbound.Patience = &v.memory, inbound.Patience{Unread: limits.QuietTimeout, Request: limits.StallTimeout}
	v.inbound.BodyTimeout, v.inbound.WriteTimeout = limits.ReadTimeout, limits.WriteTimeout
	v.memory.Reclaim = v.inbound.Reclaim
	n := v.cfg.Descriptors
	if n == 0 {
		var r unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil {
			klog.ErrorS(err, "The descriptors of the process are not known; connections have no bound")
			return 0
		}
		n = int(min(r.Cur, maxDescriptors))
	}
	klog.InfoS("Connections limited", "descriptors", n)
	return n
}

// callerIdleTimeout returns how long a caller's connection may be kept without a request: the time of the configuration if it names one.
func (v *VM) callerIdleTimeout() time.Duration {
	if n := v.authority.Config().RequestLimits.IdleTimeout; n > 0 {
		return n
	}
	return v.cfg.Caller.IdleTimeout
}

// memoryLimits returns Go's soft memory limit, and the bytes that requests may hold, of a VM with so much memory.
func memoryLimits(total int64) (soft, requests int64) {
	soft = int64(memoryLimitFraction * float64(total))
	return soft, int64(requestFraction * float64(max(soft-vmMemory, soft/minHeapDivisor)))
}

// writeMemoryMetrics writes the bytes that requests hold, their bound, and how often there was no room.
func (v *VM) writeMemoryMetrics(w io.Writer) {
	for _, u := range memory.Uses() {
		fmt.Fprintf(w, "wagtaillift_request_bytes{use=%q} %d\n", u, v.memory.Held(u))
		fmt.Fprintf(w, "wagtaillift_request_bytes_rejected_total{use=%q} %d\n", u, v.memory.Rejected(u))
	}
	fmt.Fprintf(w, "wagtaillift_request_bytes_limit %d\n", v.memory.Limit())
	if v.transport != nil {
		peers := &v.transport.Memory
		fmt.Fprintf(w, "wagtaillift_peer_call_bytes %d\n", peers.Held(memory.Document))
		fmt.Fprintf(w, "wagtaillift_peer_call_bytes_rejected_total %d\n", peers.Rejected(memory.Document))
		fmt.Fprintf(w, "wagtaillift_peer_call_bytes_limit %d\n", peers.Limit())
	}
}
