package forward

import (
	"bytes"
	"io"

	"github.com/juju/errors"
)

// maxEventBytes is the maximum size of one event.
const maxEventBytes = 1 << 20

// errTruncatedEvent means that a stream ended inside an event.
const errTruncatedEvent = errors.ConstError("the stream ended inside an event")

// events splits a stream into server-sent events (WHATWG HTML).
type events struct {
	r     io.Reader
	data  []byte
	start int // offset of the first byte not returned yet
}

const minReadBytes = 4 << 10 // minimum free space of the buffer before a read

var (
	eventEndLF   = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
)

// next returns the complete events that have arrived, at least one, or io.EOF at the end of the stream. The result is
// valid until the next call.
func (e *events) next() ([]byte, error) {
	for {
		if n := completeLength(e.data[e.start:]); n > 0 {
			whole := e.data[e.start : e.start+n]
			e.start += n
			return whole, nil
		}
		if err := e.fill(); err != nil {
			if errors.Is(err, io.EOF) && e.start < len(e.data) {
				return nil, errTruncatedEvent
			}
			return nil, err
		}
	}
}

func (e *events) fill() error {
	if e.start > 0 {
		e.data = append(e.data[:0], e.data[e.start:]...)
		e.start = 0
	}
	if len(e.data) > maxEventBytes {
		return errors.Errorf("an event of more than %d bytes", maxEventBytes)
	}
	have := len(e.data)
	if cap(e.data)-have < minReadBytes {
		e.data = append(make([]byte, 0, 2*cap(e.data)+minReadBytes), e.data...)
	}
	n, err := e.r.Read(e.data[have:cap(e.data)])
	e.data = e.data[:have+n]
	if n > 0 {
		return nil
	}
	return err
}

// completeLength returns the length of the complete events at the start of data.
func completeLength(data []byte) int {
	n := 0
	if i := bytes.LastIndex(data, eventEndLF); i >= 0 {
		n = i + len(eventEndLF)
	}
	if i := bytes.LastIndex(data, eventEndCRLF); i >= 0 {
		n = max(n, i+len(eventEndCRLF))
	}
	return n
}

// scanEventIDs returns the ID of the last event in whole, and the number of events with an ID.
func scanEventIDs(whole []byte) (last string, n int) {
	for line := range bytes.Lines(whole) {
		if v, ok := bytes.CutPrefix(line, idField); ok {
			last = string(bytes.TrimSpace(v))
			n++
		}
	}
	return last, n
}
