// Package asynclog provides an asynchronous log writer that never blocks its callers.
package asynclog

import (
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines is the number of lines that are queued while the destination is slow; further lines are dropped and
// counted.
const maxQueuedLines = 4096

// Writer writes lines to its destination in the background. It is safe for concurrent use.
type Writer struct {
	dst     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// New returns a Writer whose destination is dst.
func New(dst io.Writer) *Writer {
	w := &Writer{dst: dst, lines: make(chan []byte, maxQueuedLines)}
	go w.run()
	return w
}

// Write queues p as one line. It never blocks and never returns an error.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	reported := int64(0)
	for line := range w.lines {
		w.dst.Write(line) // errors are ignored: there is nowhere else to report them
		if n := w.dropped.Load(); n != reported {
			fmt.Fprintf(w.dst, "%d log lines dropped so far\n", n)
			reported = n
		}
	}
}
