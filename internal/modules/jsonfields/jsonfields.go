// Package jsonfields checks JSON objects (RFC 8259) without decoding them.
package jsonfields

import "bytes"

// maxDepth is the deepest nesting of a value that a Scanner accepts.
const maxDepth = 100

// Scanner returns the fields of one JSON object.
type Scanner struct {
	data  []byte
	pos   int
	begun bool
	valid bool
}

// New returns a scanner of data.
func New(data []byte) Scanner { return Scanner{data: data} }

// Next returns the next field. Name is as it is in the text, escapes included. More is false at the end of the object and after an error.
func (s *Scanner) Next() (name, value []byte, more bool) {
	if !s.begun {
		s.begun = true
		if !s.next('{') {
			return nil, nil, false
		}
		if s.next('}') {
			s.end()
			return nil, nil, false
		}
	} else if !s.next(',') {
		if s.next('}') {
			s.end()
		}
		return nil, nil, false
	}
	s.space()
	return s.field(0)
}

// Valid reports whether the text was one JSON object. It may be called once Next has returned no more fields.
func (s *Scanner) Valid() bool { return s.valid }

func (s *Scanner) end() {
	s.space()
	s.valid = s.pos == len(s.data)
}

// field skips a name and its value.
func (s *Scanner) field(depth int) (name, value []byte, ok bool) {
	start := s.pos
	if !s.text() {
		return nil, nil, false
	}
	name = s.data[start+1 : s.pos-1]
	if !s.next(':') {
		return nil, nil, false
	}
	s.space()
	start = s.pos
	if !s.value(depth + 1) {
		return nil, nil, false
	}
	return name, s.data[start:s.pos], true
}

// space skips white space.
func (s *Scanner) space() {
	for s.pos < len(s.data) && s.data[s.pos] <= ' ' {
		switch s.data[s.pos] {
		case ' ', '\t', '\r', '\n':
			s.pos++
		default:
			return
		}
	}
}

// take skips c and reports whether it was there.
func (s *Scanner) take(c byte) bool {
	if s.pos < len(s.data) && s.data[s.pos] == c {
		s.pos++
		return true
	}
	return false
}

// next skips white space and c.
func (s *Scanner) next(c byte) bool {
	s.space()
	return s.take(c)
}

func (s *Scanner) word(w string) bool {
	if !bytes.HasPrefix(s.data[s.pos:], []byte(w)) {
		return false
	}
	s.pos += len(w)
	return true
}

func (s *Scanner) value(depth int) bool {
	if depth > maxDepth || s.pos == len(s.data) {
		return false
	}
	switch s.data[s.pos] {
	case '{':
		return s.object(depth)
	case '[':
		return s.array(depth)
	case '"':
		return s.text()
	case 't':
		return s.word("true")
	case 'f':
		return s.word("false")
	case 'n':
		return s.word("null")
	}
	return s.number()
}

func (s *Scanner) object(depth int) bool {
	s.pos++
	if s.next('}') {
		return true
	}
	for {
		s.space()
		if _, _, ok := s.field(depth); !ok {
			return false
		}
		if s.next('}') {
			return true
		}
		if !s.take(',') {
			return false
		}
	}
}

func (s *Scanner) array(depth int) bool {
	s.pos++
	if s.next(']') {
		return true
	}
	for {
		s.space()
		if !s.value(depth + 1) {
			return false
		}
		if s.next(']') {
			return true
		}
		if !s.take(',') {
			return false
		}
	}
}

// text skips a string.
func (s *Scanner) text() bool {
	if !s.take('"') {
		return false
	}
	data := s.data
	for i := s.pos; i < len(data); i++ {
		c := data[i]
		if c == '"' {
			s.pos = i + 1
			return true
		}
		if c < ' ' {
			return false
		}
		if c == '\\' {
			n := escapeLength(data[i+1:])
			if n == 0 {
				return false
			}
			i += n
		}
	}
	return false
}

// escapeLength returns the length of the escape that begins with data after a backslash, or zero if there is none.
func escapeLength(data []byte) int {
	if len(data) == 0 {
		return 0
	}
	switch data[0] {
	case '"', '\\', '/', 'b', 'f', 'n', 'r', 't':
		return 1
	case 'u':
		if len(data) < 5 || bytes.ContainsFunc(data[1:5], isNoHexDigit) {
			return 0
		}
		return 5
	}
	return 0
}

func isNoHexDigit(r rune) bool {
	return (r < '0' || r > '9') && (r < 'a' || r > 'f') && (r < 'A' || r > 'F')
}

func (s *Scanner) number() bool {
	s.take('-')
	if !s.take('0') && !s.digits() {
		return false
	}
	if s.take('.') && !s.digits() {
		return false
	}
	if s.take('e') || s.take('E') {
		if !s.take('+') {
			s.take('-')
		}
		return s.digits()
	}
	return true
}

// digits skips decimal digits and reports whether there was one.
func (s *Scanner) digits() bool {
	start := s.pos
	for s.pos < len(s.data) && s.data[s.pos] >= '0' && s.data[s.pos] <= '9' {
		s.pos++
	}
	return s.pos > start
}
