package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// memoryInterval is the time between two looks at the memory of a process.
const memoryInterval = 10 * time.Millisecond

// restartDelay is the time after which the platform starts a process again that it killed.
const restartDelay = 500 * time.Millisecond

// Memory watches the memory of a VM as the platform does: a process that uses more than its limit is killed and started
// again.
type Memory struct {
	Peak  atomic.Int64 // MB, of the highest look
	Kills atomic.Int64
}

// WatchMemory watches v until the case ends.
func (f *Fleet) WatchMemory(v *VM) *Memory {
	m := &Memory{}
	go func() {
		for ; ; time.Sleep(memoryInterval) {
			used := residentMB(v.PID())
			m.Peak.Store(max(m.Peak.Load(), used))
			if used <= int64(f.MemoryMB) {
				continue
			}
			f.Log("%s uses %d MB, more than its %d MB: the platform kills it", v.Name, used, f.MemoryMB)
			v.Kill()
			m.Kills.Add(1)
			time.Sleep(restartDelay)
			v.Launch(false)
		}
	}()
	return m
}

// residentMB returns the resident memory of a process, and 0 if it has ended.
func residentMB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				return 0
			}
			return kb >> 10
		}
	}
	return 0
}
