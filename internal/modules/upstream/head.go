package upstream

import (
	"net/http"
	"strings"

	"github.com/juju/errors"
)

// errJoinedHeads means that an upstream broke off inside the head of one answer and went on with another answer.
const errJoinedHeads = errors.ConstError("the head of the answer holds the status line of another one")

// Exchange sends r and returns the answer, whose head is that of one answer.
func Exchange(c *http.Client, r *http.Request) (*http.Response, error) {
	resp, err := c.Do(r)
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// checkHead returns an error if the head of resp holds a second status line. The status would be that of the first answer, and the rest that of
// the second.
func checkHead(resp *http.Response) error {
	if hasStatusLine(resp.Status) {
		return errJoinedHeads
	}
	for _, list := range resp.Header {
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
