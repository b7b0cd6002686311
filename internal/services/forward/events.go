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

// Reasons why a stream is too long.
const (
	errLongEvent = errors.ConstError("an event of more than 64 KB")
	errNoise     = errors.ConstError("more than 64 KB without an event")
)

// errNoEvent means that a stream ended without an event although it began a run.
const errNoEvent = errors.ConstError("the stream ended without an event")

// hasText reports whether blocks without a field hold more than blank lines.
func hasText(blocks []byte) bool { return len(bytes.TrimSpace(blocks)) > 0 }

// events splits a stream into blocks of server-sent events (WHATWG HTML), and returns them once they are checked.
type events struct {
	r       io.Reader
	check   eventCheck
	data    []byte
	start   int   // offset of the first byte not returned yet
	checked int   // offset behind the last block that was checked
	noise   int   // bytes of blocks without a field since the last event
	invalid error // why the block at checked is not returned
}

const minReadBytes = 4 << 10 // minimum free space of the buffer before a read

// batch is a number of complete blocks.
type batch struct {
	data   []byte
	events int    // with an ID
	lastID string // ID of the last of them
	fields bool   // at least one line is a field of an event
}

// next returns the sound blocks that have arrived, with at least one event or comment among them. At the end of the stream it returns io.EOF
// and the blocks without one that are left. The result is valid until the next call. A block that is invalid, and more than
// maxNoiseBytes without an event, are an error once the blocks before have been returned.
func (e *events) next() (batch, error) {
	for {
		if b := e.take(); len(b.data) > 0 {
			return b, nil
		}
		if e.invalid != nil {
			return batch{}, e.invalid
		}
		err := e.fill()
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && e.checked < len(e.data):
			return batch{}, errTruncatedEvent
		default:
			return batch{data: e.data[e.start:]}, err
		}
	}
}

// take checks the complete blocks that have arrived and returns those up to the last event or comment.
func (e *events) take() (b batch) {
	end := e.start
	for e.invalid == nil {
		n := blockLength(e.data[e.checked:])
		if n == 0 {
			break
		}
		block := e.data[e.checked : e.checked+n]
		f, err := e.check.check(block)
		if err == nil {
			err = e.checkSize(n, f)
		}
		if err != nil {
			e.invalid = err
			break
		}
		e.checked += n
		if f.count == 0 && f.comments == 0 {
			continue
		}
		end = e.checked
		b.add(f)
	}
	b.data, e.start = e.data[e.start:end], end
	return b
}

const maxLoggedBytes = 96 // of an invalid block

// excerpt returns the first bytes of the block that is not returned.
func (e *events) excerpt() []byte {
	block := e.data[e.checked:]
	return block[:min(len(block), maxLoggedBytes)]
}

func (b *batch) add(f fields) {
	b.fields = b.fields || f.count > 0
	if f.hasID() {
		b.events++
		b.lastID = string(f.id)
	}
}

// checkSize returns an error if a block of n bytes is too long, or too many came without an event.
func (e *events) checkSize(n int, f fields) error {
	if f.count > 0 && n > maxEventBytes {
		return errLongEvent
	}
	if f.count > 0 {
		e.noise = 0
		return nil
	}
	if e.noise += n; e.noise > maxNoiseBytes {
		return errNoise
	}
	return nil
}

func (e *events) fill() error {
	if e.start > 0 {
		e.data = append(e.data[:0], e.data[e.start:]...)
		e.checked -= e.start
		e.start = 0
	}
	if len(e.data) > maxEventBytes {
		e.invalid = errLongEvent
		return e.invalid
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

// blockLength returns the length of the block at the start of data, or zero if it is not complete.
func blockLength(data []byte) int {
	for n := 0; n < len(data); {
		i := bytes.IndexByte(data[n:], '\n')
		if i < 0 {
			return 0
		}
		line := data[n : n+i]
		n += i + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return n
		}
	}
	return 0
}
