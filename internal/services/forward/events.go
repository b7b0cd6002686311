package forward

import (
	"bytes"
	"io"

	"github.com/juju/errors"
)

const (
	maxEventBytes = 64 << 10 // of one event
	maxNoiseBytes = 64 << 10 // of blocks without a field between two events
)

// errTruncatedEvent means that a stream ended inside an event.
const errTruncatedEvent = errors.ConstError("the stream ended inside an event")

// errTextAtEnd means that a stream ended with text that is no event.
const errTextAtEnd = errors.ConstError("the stream ended with text that is no event")

// hasText reports whether blocks without a field hold more than blank lines.
func hasText(blocks []byte) bool { return len(bytes.TrimSpace(blocks)) > 0 }

// events splits a stream into server-sent events (WHATWG HTML).
type events struct {
	r     io.Reader
	data  []byte
	start int // offset of the first byte not returned yet
	noise int // bytes of blocks without a field since the last event
}

const minReadBytes = 4 << 10 // minimum free space of the buffer before a read

var (
	eventEndLF   = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
)

// next returns the complete events that have arrived, at least one, or io.EOF at the end of the stream. The result is
// valid until the next call. More than maxNoiseBytes without an event are an error.
func (e *events) next() ([]byte, block, error) {
	for {
		if n := completeLength(e.data[e.start:]); n > 0 {
			whole := e.data[e.start : e.start+n]
			e.start += n
			b := scanBlock(whole)
			return whole, b, e.countNoise(whole, b)
		}
		if err := e.fill(); err != nil {
			if errors.Is(err, io.EOF) && e.start < len(e.data) {
				return nil, block{}, errTruncatedEvent
			}
			return nil, block{}, err
		}
	}
}

func (e *events) countNoise(whole []byte, b block) error {
	if b.fields {
		e.noise = 0
		return nil
	}
	if e.noise += len(whole); e.noise > maxNoiseBytes {
		return errors.Errorf("more than %d bytes that are no event", maxNoiseBytes)
	}
	return nil
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

// block describes some complete events.
type block struct {
	fields   bool   // at least one line is a field of an event
	comments bool   // at least one line is a comment
	lastID   string // ID of the last event
	ids      int    // number of events with an ID
	end      int    // offset behind the last event or comment; what follows it is neither
}

// scanBlock returns the properties of the events in whole.
func scanBlock(whole []byte) (b block) {
	offset, event := 0, false
	for line := range bytes.Lines(whole) {
		offset += len(line)
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			if event {
				b.end = offset
			}
			event = false
			continue
		}
		name, v, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "id":
			b.lastID = string(bytes.TrimSpace(v))
			b.ids++
			b.fields, event = true, true
		case "data", "event", "retry":
			b.fields, event = true, true
		case "":
			b.comments, event = true, true
		}
	}
	return b
}

// withoutText returns the events and comments in whole, without the text between them that is neither.
func withoutText(whole []byte) []byte {
	var out []byte
	for len(whole) > 0 {
		n := firstLength(whole)
		if scanBlock(whole[:n]).end > 0 {
			out = append(out, whole[:n]...)
		}
		whole = whole[n:]
	}
	return out
}

// firstLength returns the length of the first event of data, which holds complete events.
func firstLength(data []byte) int {
	n := len(data)
	for _, end := range [][]byte{eventEndLF, eventEndCRLF} {
		if i := bytes.Index(data, end); i >= 0 {
			n = min(n, i+len(end))
		}
	}
	return n
}
