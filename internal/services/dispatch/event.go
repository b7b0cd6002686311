package dispatch

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/juju/errors"
	"github.com/valyala/fastjson"

	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/jsonfields"
)

// Reasons why an event of a stream is invalid.
const (
	errForeignLine   = errors.ConstError("a line that is no field of an event")
	errForeignBytes  = errors.ConstError("bytes that are no text")
	errRepeatedField = errors.ConstError("a field that comes twice in one event")
	errUnknownEvent  = errors.ConstError("an event of an unknown name")
	errMalformedID   = errors.ConstError("an event ID without a number of tokens")
	errMissingID     = errors.ConstError("an event without an ID")
	errMissingData   = errors.ConstError("an event without data")
	errTokenOrder    = errors.ConstError("a token is missing or out of order")
	errNoChunk       = errors.ConstError("data that is no chunk")
	errBadEnd        = errors.ConstError("an end event with missing or other fields")
)

const eventEnd = "end" // name of the last event

// event is the server-sent event that is being read (WHATWG HTML).
type event struct {
	prefix  []byte // of event IDs: the request and a slash
	buf     []byte // holds data
	atStart bool   // of the stream

	hasField bool
	hasName  bool
	isEnd    bool
	hasID    bool
	seq      id.Tokens // number of tokens up to this event
	data     []byte    // nil without a data field
}

// reset prepares ev for the next event.
func (ev *event) reset() { *ev = event{prefix: ev.prefix, buf: ev.buf} }

// empty reports whether ev holds nothing but comments.
func (ev *event) empty() bool { return !ev.hasField }

var byteOrderMark = []byte("\ufeff")

// addLine adds one line, with its end. It returns true after the blank line that ends the event.
func (ev *event) addLine(line []byte) (complete bool, err error) {
	line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
	if ev.atStart {
		line, ev.atStart = bytes.TrimPrefix(line, byteOrderMark), false
	}
	if len(line) == 0 {
		return true, nil
	}
	if !utf8.Valid(line) || bytes.IndexByte(line, '\r') >= 0 { // a carriage return would end the line
		return false, errForeignBytes
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	if len(name) == 0 {
		return false, nil // a comment
	}
	ev.hasField = true
	return false, ev.addField(name, bytes.TrimPrefix(value, []byte(" ")))
}

func (ev *event) addField(name, value []byte) error {
	switch string(name) {
	case "data":
		if ev.data != nil {
			return errRepeatedField
		}
		ev.data = append(ev.buf, value...)
	case "event":
		if ev.hasName {
			return errRepeatedField
		}
		ev.hasName, ev.isEnd = true, string(value) == eventEnd
		if !ev.isEnd {
			return errUnknownEvent
		}
	case "id":
		if ev.hasID {
			return errRepeatedField
		}
		ev.hasID = true
		n, ok := bytes.CutPrefix(value, ev.prefix)
		if !ok {
			return errWrongRequest
		}
		if ev.seq, ok = parseTokens(n); !ok {
			return errMalformedID
		}
	case "retry":
	default:
		return errForeignLine
	}
	return nil
}

const maxTokenDigits = 9 // of a number of tokens

// parseTokens parses a number of tokens, written without a sign or leading zeros.
func parseTokens(v []byte) (n id.Tokens, ok bool) {
	if len(v) == 0 || len(v) > maxTokenDigits || v[0] == '0' && len(v) > 1 {
		return 0, false
	}
	for _, c := range v {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = 10*n + id.Tokens(c-'0')
	}
	return n, true
}

// check returns an error if ev is not what may follow the given number of tokens. It leaves the data of an end event to parseEnd.
func (ev *event) check(tokens id.Tokens) error {
	next := tokens + 1
	if ev.isEnd {
		next = tokens
	}
	switch {
	case !ev.hasID:
		return errMissingID
	case ev.data == nil:
		return errMissingData
	case ev.seq != next:
		return errors.Annotatef(errTokenOrder, "event %d", ev.seq)
	case !ev.isEnd && !isChunk(ev.data):
		return errNoChunk
	}
	return nil
}

// isChunk reports whether data is an OpenAI-style chunk: a JSON object with a list of choices.
func isChunk(data []byte) bool {
	return bytes.HasPrefix(data, []byte("{")) && hasChoices(data) && fastjson.ValidateBytes(data) == nil
}

// hasChoices reports whether a field of that name holds a list. It does not decode data, which would cost more than passing it on.
func hasChoices(data []byte) bool {
	for {
		_, after, ok := bytes.Cut(data, []byte(`"choices"`))
		if !ok {
			return false
		}
		if v, ok := bytes.CutPrefix(bytes.TrimLeft(after, " "), []byte(":")); ok {
			return bytes.HasPrefix(bytes.TrimLeft(v, " "), []byte("["))
		}
		data = after // the name stood in a value
	}
}

// endFields is the number of fields of a StreamEnd.
const endFields = 3

// parseEnd returns the content of the event that ends a stream of the given number of tokens. Each field must be there once, and no other.
func parseEnd(data []byte, tokens id.Tokens) (end StreamEnd, err error) {
	list, err := jsonfields.Fields(data)
	if err != nil || len(list) != endFields {
		return end, errBadEnd
	}
	seen := map[string]bool{}
	for _, f := range list {
		if seen[f.Name] || !end.parseField(f.Name, f.Value) {
			return end, errBadEnd
		}
		seen[f.Name] = true
	}
	if end.OutputTokens != tokens {
		return end, errors.Annotatef(errTokenOrder, "end after %d tokens", end.OutputTokens)
	}
	return end, nil
}

func (f *StreamEnd) parseField(name string, value []byte) (ok bool) {
	switch name {
	case "prompt_tokens":
		f.PromptTokens, ok = parseTokens(value)
	case "completion_tokens":
		f.OutputTokens, ok = parseTokens(value)
	case "finish_reason":
		ok = value[0] == '"' && json.Unmarshal(value, &f.Reason) == nil && f.Reason != ""
	}
	return ok
}
