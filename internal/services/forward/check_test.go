package forward

import (
	"bytes"
	"errors"
	"io"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
)

var sampleFormat = EventFormat{FirstID: 1, Fields: []string{"x-note"}}

// splitReader returns its parts one by one.
type splitReader struct{ parts [][]byte }

func (r *splitReader) Read(p []byte) (int, error) {
	for len(r.parts) > 0 && len(r.parts[0]) == 0 {
		r.parts = r.parts[1:]
	}
	if len(r.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.parts[0])
	r.parts[0] = r.parts[0][n:]
	return n, nil
}

// readAll returns what is passed on of a stream that arrives in parts and goes on after the event with ID last.
func readAll(last string, parts ...[]byte) (passed string, lastID string, err error) {
	ev := events{r: &splitReader{parts: parts}, check: newEventCheck(sampleFormat, last, false)}
	for {
		b, err := ev.next()
		passed += string(b.data)
		if b.lastID != "" {
			lastID = b.lastID
		}
		if errors.Is(err, io.EOF) {
			return passed, lastID, nil
		}
		if err != nil {
			return passed, lastID, err
		}
	}
}

var (
	blockEnd  = regexp.MustCompile(`(^|\n)\r?\n`)
	soundLine = regexp.MustCompile(`(?s)^(:.*|(id|data|event|retry)(:.*)?|x-note: ?[0-9]{1,19})$`)
	idLine    = regexp.MustCompile(`(?s)^id:? ?(.*)$`)
	digits    = regexp.MustCompile(`^[0-9]{1,19}$`)
)

// naiveReadAll is readAll of a stream as a whole, by the definition.
func naiveReadAll(last, body string) (passed string, sound bool) {
	next := uint64(1)
	if last != "" {
		n, err := strconv.ParseUint(last, 10, 63)
		next = n + 1
		if err != nil {
			next = 0
		}
	}
	pending := "" // blank lines
	for first := true; body != ""; first = false {
		end := blockEnd.FindStringIndex(body)
		if end == nil {
			return passed, false
		}
		block := body[:end[1]]
		body = body[end[1]:]
		checked := block
		if first {
			checked = strings.TrimPrefix(checked, "\ufeff")
		}
		lines := strings.Split(strings.TrimSuffix(checked, "\n"), "\n")
		var ids []string
		once := map[string]bool{}
		fields, data, crlf := 0, 0, 0
		for _, l := range lines {
			if strings.HasSuffix(l, "\r") {
				crlf++
			}
			l = strings.TrimSuffix(l, "\r")
			if strings.Contains(l, "\r") {
				return passed, false
			}
			if l == "" || l[0] == ':' {
				continue
			}
			if !soundLine.MatchString(l) {
				return passed, false
			}
			name, _, _ := strings.Cut(l, ":")
			if once[name] && name != "data" || name == "x-note" && fields > 0 {
				return passed, false
			}
			once[name] = true
			fields++
			if name == "id" {
				ids = append(ids, idLine.FindStringSubmatch(l)[1])
			} else if name == "data" {
				data++
			}
		}
		if !utf8.ValidString(checked) {
			return passed, false
		}
		if fields > 0 {
			if len(ids) != 1 || data == 0 || crlf != 0 && crlf != len(lines) || !digits.MatchString(ids[0]) {
				return passed, false
			}
			n, _ := strconv.ParseUint(ids[0], 10, 64)
			if next != 0 && n != next {
				return passed, false
			}
			next = n + 1
		}
		pending += block
		if strings.Trim(checked, "\r\n") != "" {
			passed, pending = passed+pending, ""
		}
	}
	return passed + pending, true
}

var sampleStreams = []string{
	"", "\n", "\r\n\r\n", "x", "x\n\n", sampleEvents(1, 4), sampleEvents(2, 3), "\ufeff" + sampleEvents(1, 2), sampleEvents(1, 1) + "\ufeff" + sampleEvents(2, 2),
	strings.ReplaceAll(sampleEvents(1, 2), "\n", "\r\n"), sampleEvents(1, 1) + strings.ReplaceAll(sampleEvents(2, 2), "\n", "\r\n"), "id: 1\r\ndata: x\n\n", "id: 1\ndata: x\n\r\n",
	": x\n\n" + sampleEvents(1, 2) + ":\n\n\n", "x-note: 1\nid: 1\ndata: x\n\n", "y-note: 1\nid: 1\ndata: x\n\n", "id: 1\ndata\ndata: y\n\n", "id:1\ndata:\n\n", "id:  1\ndata: x\n\n", "id: 01\ndata: x\n\n",
	"id: 1\nid: 2\ndata: x\n\n", "id: -1\ndata: x\n\n", "id: 18446744073709551615\ndata: x\n\n", "id: 9999999999999999999\ndata: x\n\nid: 1\ndata: y\n\n", "id\ndata: x\n\n", "id: 1\n\n", "data: x\n\n", "event: x\n\n",
	"id: 1\ndata: x\r\rdata: y\n\n", ": x\rdata: y\r\r\n\n", "id: 1\ndata: x\x0b\n\n", "event: x\nid: 1\ndata: x\nevent: y\n\n", "id: 1\nx-note: 1\ndata: x\n\n", "x-note: y\nid: 1\ndata: x\n\n", "retry: 1\nretry: 2\nid: 1\ndata\n\n",
	sampleEvents(1, 2) + "HTTP/1.1 500 X\r\nY: z\r\n\r\n" + sampleEvents(3, 3), sampleEvents(1, 2) + "id: 3\ndata: cHTTP/1.1 500 X\r\n\r\n", sampleEvents(1, 2) + "\xff\n\n", "id: 1\ndata: \xff\n\n",
}

// requireSameAnyhow requires that what is passed on of body is the same however it is split in two, and as the definition says.
func requireSameAnyhow(t *testing.T, last, body string, splits []int) {
	t.Helper()
	want, sound := naiveReadAll(last, body)
	for _, n := range splits {
		got, _, err := readAll(last, []byte(body[:n]), []byte(body[n:]))
		require.Equal(t, want, got, "split at %d", n)
		require.Equal(t, sound, err == nil, "split at %d: %v", n, err)
	}
}

// What is passed on of a stream does not depend on where reads end.
func TestSplitStreams(t *testing.T) {
	for _, body := range sampleStreams {
		var splits []int
		for n := range len(body) + 1 {
			splits = append(splits, n)
		}
		for _, last := range []string{"", "2", "word"} {
			requireSameAnyhow(t, last, body, splits)
		}
	}
}

// A batch that ends with an unsound block is passed on up to that block, and names the last event that was passed on.
func TestStreamGoesOnAfterItsLastSoundEvent(t *testing.T) {
	for _, foreign := range []string{"id: 9\ndata: x\n\n", "id: x\n\n", "text\n\n", "id: 3\ndata: c\nid: 4\n\n"} {
		passed, last, err := readAll("", []byte(sampleEvents(1, 2)+foreign+sampleEvents(3, 4)))
		require.Error(t, err)
		require.Equal(t, sampleEvents(1, 2), passed)
		require.Equal(t, "2", last)
	}
}

func FuzzSplitStreams(f *testing.F) {
	for i, body := range sampleStreams {
		f.Add([]byte(body), uint16(i), i%3 == 0)
	}
	f.Fuzz(func(t *testing.T, body []byte, split uint16, resumed bool) {
		if len(body) > maxEventBytes/2 || bytes.Count(body, []byte("\n")) > 1000 {
			return // limits of size have their own tests
		}
		last := ""
		if resumed {
			last = "1"
		}
		requireSameAnyhow(t, last, string(body), []int{0, int(split) % (len(body) + 1)})
	})
}

// A byte order mark begins a stream and no part of it that goes on.
func TestByteOrderMarkInTheRestOfAStream(t *testing.T) {
	for joined := range 2 {
		c := newEventCheck(sampleFormat, "1", joined == 1)
		_, err := c.check([]byte("\ufeff" + sampleEvents(2, 2)))
		require.Equal(t, joined == 1, err != nil)
	}
}
