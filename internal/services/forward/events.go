package forward

import (
	"bytes"
	"io"

	"github.com/juju/errors"
)

// mostEvent bounds one event of a stream, in bytes.
const mostEvent = 1 << 20

// errEvent says that a stream ended inside an event.
const errEvent = errors.ConstError("the stream ended inside an event")

// events reads a stream event by event (WHATWG HTML, server-sent events).
type events struct {
	r    io.Reader
	data []byte
	from int // start of what is not handed out
}

const readBytes = 4 << 10

var (
	eventEnd  = []byte("\n\n")
	eventEnd2 = []byte("\r\n\r\n")
	idField   = []byte("id:")
)

// next returns the whole events that have arrived, at least one, or io.EOF at the end of the stream. The result is valid
// until the next call.
func (e *events) next() ([]byte, error) {
	for {
		if n := lastEnd(e.data[e.from:]); n > 0 {
			whole := e.data[e.from : e.from+n]
			e.from += n
			return whole, nil
		}
		if err := e.fill(); err != nil {
			if errors.Is(err, io.EOF) && e.from < len(e.data) {
				return nil, errEvent
			}
			return nil, err
		}
	}
}

func (e *events) fill() error {
	if e.from > 0 {
		e.data = append(e.data[:0], e.data[e.from:]...)
		e.from = 0
	}
	if len(e.data) > mostEvent {
		return errors.Errorf("an event of more than %d bytes", mostEvent)
	}
	have := len(e.data)
	if cap(e.data)-have < readBytes {
		e.data = append(make([]byte, 0, 2*cap(e.data)+readBytes), e.data...)
	}
	n, err := e.r.Read(e.data[have:cap(e.data)])
	e.data = e.data[:have+n]
	if n > 0 {
		return nil
	}
	return err
}

// lastEnd returns the length of the whole events at the start of data.
func lastEnd(data []byte) int {
	n := 0
	if i := bytes.LastIndex(data, eventEnd); i >= 0 {
		n = i + len(eventEnd)
	}
	if i := bytes.LastIndex(data, eventEnd2); i >= 0 {
		n = max(n, i+len(eventEnd2))
	}
	return n
}

// lastID returns the id of the last event in whole, and how many events there are.
func lastID(whole []byte) (last string, n int) {
	for line := range bytes.Lines(whole) {
		if v, ok := bytes.CutPrefix(line, idField); ok {
			last = string(bytes.TrimSpace(v))
			n++
		}
	}
	return last, n
}
