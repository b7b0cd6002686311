// Package output writes log lines without ever making their writers wait.
package output

import (
	"fmt"
	"io"
	"sync/atomic"
)

// queued is how many lines wait for a reader that is slow; further ones are dropped and counted.
const queued = 4096

// Writer passes lines on in the background. It is safe for concurrent use.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// New returns a writer to to.
func New(to io.Writer) *Writer {
	w := &Writer{to: to, lines: make(chan []byte, queued)}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	told := int64(0)
	for line := range w.lines {
		w.to.Write(line) // there is nowhere else to report a failure
		if n := w.dropped.Load(); n != told {
			fmt.Fprintf(w.to, "%d log lines dropped so far\n", n)
			told = n
		}
	}
}
