package forward

import (
	"bytes"
	"slices"
	"strconv"
	"unicode/utf8"

	"github.com/juju/errors"
)

// EventFormat describes the events of a stream whose events are numbered. The zero value allows the fields of the standard only.
type EventFormat struct {
	FirstID uint64 // of each run; the IDs of further events count up by one. Zero if a run may begin with any ID
	// Fields are the names of fields beside those of the standard. They hold a number and stand on the first line of an event.
	Fields []string
}

// Reasons why a block of a stream is invalid.
const (
	errForeignLine   = errors.ConstError("a line that is no field of an event")
	errForeignBytes  = errors.ConstError("bytes that are no text")
	errMixedLineEnds = errors.ConstError("lines of one event end in two ways")
	errMissingID     = errors.ConstError("an event without an ID")
	errRepeatedField = errors.ConstError("a field comes twice in one event")
	errMalformedID   = errors.ConstError("an ID that is no number")
	errWrongID       = errors.ConstError("an ID that does not follow the one before")
	errMissingData   = errors.ConstError("an event without data")
)

// eventCheck checks the blocks of one stream in order. A block is what stands up to and including a blank line. The zero value takes any
// block.
type eventCheck struct {
	format   EventFormat
	numbered bool   // blocks must be comments or events with IDs that follow each other
	next     uint64 // ID of the next event; zero if any ID may follow
	begun    bool   // a block was checked
}

// newEventCheck returns the check of a numbered stream that goes on after the event with ID last, which is empty for a new run. Joined tells
// that a part of the answer was passed on before.
func newEventCheck(f EventFormat, last string, joined bool) eventCheck {
	c := eventCheck{format: f, numbered: true, begun: joined}
	if last == "" {
		c.next = f.FirstID
	} else if n, err := parseEventID([]byte(last)); err == nil { // a caller may name any ID
		c.next = n + 1
	}
	return c
}

// maxIDDigits keeps IDs below the largest unsigned integer.
const maxIDDigits = 19

func parseEventID(v []byte) (uint64, error) {
	if !isNumber(v) {
		return 0, errMalformedID
	}
	return strconv.ParseUint(string(v), 10, 64)
}

func isNumber(v []byte) bool {
	return len(v) > 0 && len(v) <= maxIDDigits && !bytes.ContainsFunc(v, func(r rune) bool { return r < '0' || r > '9' })
}

var byteOrderMark = []byte("\ufeff")

// fields are the lines of a block.
type fields struct {
	count    int // lines that are fields of an event
	comments int
	data     int
	seen     fieldSet // fields that may come once
	id       []byte
	lineEnds int // set of lineFeed and carriageReturn
}

// fieldSet is a set of fields of an event.
type fieldSet int

const (
	fieldID fieldSet = 1 << iota
	fieldEvent
	fieldRetry
	fieldOther // of EventFormat.Fields
)

const (
	lineFeed       = 1 // a line ends with a line feed alone
	carriageReturn = 2 // a line ends with a carriage return and a line feed
)

func (f *fields) hasID() bool { return f.seen&fieldID != 0 }

// check returns the fields of block, and an error if it is invalid. It must not be called again after an error.
func (c *eventCheck) check(block []byte) (fields, error) {
	if !c.begun {
		block, c.begun = bytes.TrimPrefix(block, byteOrderMark), true
	}
	f, err := c.parse(block)
	switch {
	case !c.numbered:
		return f, nil
	case err != nil:
		return f, err
	case !utf8.Valid(block):
		return f, errForeignBytes
	case f.count == 0:
		return f, nil
	case f.lineEnds == lineFeed|carriageReturn:
		return f, errMixedLineEnds
	case !f.hasID():
		return f, errMissingID
	case f.data == 0:
		return f, errMissingData
	}
	return f, c.checkID(f.id)
}

func (c *eventCheck) checkID(id []byte) error {
	n, err := parseEventID(id)
	if err != nil {
		return err
	}
	if c.next != 0 && n != c.next {
		return errWrongID
	}
	c.next = n + 1
	return nil
}

// parse returns the fields of block, and the last error of its lines.
func (c *eventCheck) parse(block []byte) (f fields, err error) {
	for line := range bytes.Lines(block) {
		line = bytes.TrimSuffix(line, []byte("\n"))
		if s, ok := bytes.CutSuffix(line, []byte("\r")); ok {
			line = s
			f.lineEnds |= carriageReturn
		} else {
			f.lineEnds |= lineFeed
		}
		if bytes.IndexByte(line, '\r') >= 0 {
			err = errForeignLine // alone it ends a line too, by the standard
		}
		if len(line) == 0 {
			continue
		}
		if e := c.parseLine(&f, line); e != nil {
			err = e
		}
	}
	return f, err
}

// parseLine adds a line to f.
func (c *eventCheck) parseLine(f *fields, line []byte) error {
	name, v, _ := bytes.Cut(line, []byte(":"))
	v = bytes.TrimPrefix(v, []byte(" "))
	field := fieldSet(0)
	switch string(name) {
	case "":
		f.comments++
		return nil
	case "data":
		f.data++
	case "id":
		field, f.id = fieldID, v
	case "event":
		field = fieldEvent
	case "retry":
		field = fieldRetry
	default:
		if f.count > 0 || !slices.Contains(c.format.Fields, string(name)) || !isNumber(v) {
			return errForeignLine
		}
		field = fieldOther
	}
	f.count++
	if f.seen&field != 0 {
		return errRepeatedField
	}
	f.seen |= field
	return nil
}
