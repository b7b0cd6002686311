package upstream

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

// Reasons why what an upstream sent is no answer.
const (
	errJoinedHeads    = errors.ConstError("the head of the answer holds the status line of another one")
	errInvalidStatus  = errors.ConstError("the answer has an invalid status")
	errInvalidVersion = errors.ConstError("the answer is of another version of HTTP")
	errInvalidField   = errors.ConstError("the head of the answer holds a line that is no field")
	errManyInterims   = errors.ConstError("too many interim answers")
	errUpgrade        = errors.ConstError("the upstream changes the protocol, which was not asked for")
)

// Exchange sends r and returns the answer, whose head is that of one answer in HTTP/1.
func Exchange(c *http.Client, r *http.Request) (*http.Response, error) {
	interims := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
		if interims++; interims > maxInterimAnswers {
			return errManyInterims
		}
		return checkFields(http.Header(h))
	}}
	resp, err := c.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		resp.Body.Close()
		return nil, errUpgrade
	}
	resp.Body = newBody(resp)
	return resp, nil
}

// checkHead returns an error if the head of resp is none of HTTP/1 (RFC 9112), or holds a second status line. The status would be that of the
// first answer, and the rest that of the second.
func checkHead(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return errInvalidVersion
	}
	if !validStatus(resp) {
		return errInvalidStatus
	}
	if hasStatusLine(resp.Status) {
		return errJoinedHeads
	}
	return checkFields(resp.Header)
}

// validStatus reports whether the status of resp is one of HTTP (RFC 9110, section 15) in three digits. Net/http takes any number of three bytes.
func validStatus(resp *http.Response) bool {
	return len(resp.Status) > 0 && isDigit(resp.Status[0]) && resp.StatusCode >= 100 && resp.StatusCode < 600
}

// checkFields returns an error if a field of h has a name that is none, which net/http takes if it holds a blank, or if it holds a status line.
func checkFields(h http.Header) error {
	for k, list := range h {
		if !httpguts.ValidHeaderFieldName(k) {
			return errInvalidField
		}
		for _, v := range list {
			if hasStatusLine(v) {
				return errJoinedHeads
			}
		}
	}
	return nil
}

// hasStatusLine reports whether v holds the version and the status code of an answer.
func hasStatusLine(v string) bool {
	for {
		_, after, ok := strings.Cut(v, "HTTP/1.")
		if !ok {
			return false
		}
		if len(after) >= 5 && isDigit(after[0]) && after[1] == ' ' && isDigit(after[2]) && isDigit(after[3]) && isDigit(after[4]) {
			return true
		}
		v = after
	}
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
