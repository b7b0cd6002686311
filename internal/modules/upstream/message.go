package upstream

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

// Message is a request to be written to an upstream.
type Message struct {
	ID      string // that answers name; empty if they name none
	Method  string
	Target  string // origin form
	Host    string
	Header  http.Header
	Body    []byte
	HasBody bool // writes Content-Length even if Body is empty

	// KeepBody is called before a write that may go on after Do has returned. The function that it returns is called when Body is no longer
	// used; written reports whether all of it was. Nil does nothing.
	KeepBody func() (done func(written bool))

	// IsOwnAnswer reports whether an answer with header h belongs to this request; nil accepts any answer.
	IsOwnAnswer func(h http.Header) bool
	// Allow is called immediately before the write; if it returns false, the request is not sent. Nil always allows it.
	Allow func() bool
	// Confirm is asked on the connection first; nil asks nothing.
	Confirm *Confirmation
}

// check returns an error if a part of m cannot be written as it is: what follows a line end in it would be read as another field or
// request, and spaces around a value would be dropped. Some values come from configurations and from answers of upstreams.
func (m *Message) check() error {
	if strings.ContainsFunc(m.Target, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return errors.NotValidf("target %q", m.Target)
	}
	if !httpguts.ValidHostHeader(m.Host) {
		return errors.NotValidf("host %q", m.Host)
	}
	for k, list := range m.Header {
		for _, v := range list {
			if !httpguts.ValidHeaderFieldName(k) || !httpguts.ValidHeaderFieldValue(v) || v != textproto.TrimString(v) {
				return errors.NotValidf("header field %q: %q", k, v)
			}
		}
	}
	return nil
}

// encode returns m in HTTP/1.1 wire format: head holds all of a message of up to maxInlineWrite, and rest is the part of the body that follows.
func (m *Message) encode() (head, rest []byte) {
	b := make([]byte, 0, 512+min(len(m.Body), maxInlineWrite))
	b = append(b, m.Method...)
	b = append(b, ' ')
	b = append(b, m.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, m.Host...)
	b = append(b, "\r\n"...)
	for k, list := range m.Header {
		for _, v := range list {
			b = append(b, k...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if m.HasBody || len(m.Body) > 0 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(m.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	n := min(len(m.Body), max(0, maxInlineWrite-len(b)))
	return append(b, m.Body[:n]...), m.Body[n:]
}
