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
	FirstID uint64   // of each run; the IDs of further events count up by one. Zero if a run may begin with any ID
	Fields  []string // names of fields beside those of the standard
}

// Reasons why a block of a stream is not sound.
const (
	errForeignLine   = errors.ConstError("a line that is no field of an event")
	errForeignBytes  = errors.ConstError("bytes that are no text")
	errMixedLineEnds = errors.ConstError("lines of one event end in two ways")
	errMissingID     = errors.ConstError("an event without an ID")
	errSecondID      = errors.ConstError("a second ID in one event")
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

// newEventCheck returns the check of a numbered stream that goes on after the event with ID last, which is empty for a new run.
func newEventCheck(f EventFormat, last string) eventCheck {
	c := eventCheck{format: f, numbered: true}
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
	if len(v) == 0 || len(v) > maxIDDigits || bytes.ContainsFunc(v, func(r rune) bool { return r < '0' || r > '9' }) {
		return 0, errMalformedID
	}
	return strconv.ParseUint(string(v), 10, 64)
}

var byteOrderMark = []byte("\ufeff")

// fields are the lines of a block.
type fields struct {
	count    int // lines that are fields of an event
	comments int
	data     int
	hasID    bool
	id       []byte
	lineEnds int // set of lineFeed and carriageReturn
}

const (
	lineFeed       = 1 // a line ends with a line feed alone
	carriageReturn = 2 // a line ends with a carriage return and a line feed
)

// check returns the fields of block, and an error if it is not sound. It must not be called again after an error.
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
	case !f.hasID:
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

// parse returns the fields of block, and an error if it has a line that does not belong there.
func (c *eventCheck) parse(block []byte) (f fields, err error) {
	for line := range bytes.Lines(block) {
		line = bytes.TrimSuffix(line, []byte("\n"))
		if s, ok := bytes.CutSuffix(line, []byte("\r")); ok {
			line = s
			f.lineEnds |= carriageReturn
		} else {
			f.lineEnds |= lineFeed
		}
		if len(line) == 0 {
			continue
		}
		name, v, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "":
			f.comments++
			continue
		case "id":
			if f.hasID {
				err = errSecondID
			}
			f.hasID, f.id = true, bytes.TrimPrefix(v, []byte(" "))
		case "data":
			f.data++
		case "event", "retry":
		default:
			if !slices.Contains(c.format.Fields, string(name)) {
				err = errForeignLine
				continue
			}
		}
		f.count++
	}
	return f, err
}
