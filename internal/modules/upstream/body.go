package upstream

import (
	"io"
	"net/http"

	"github.com/juju/errors"
)

// body is the body of an answer. It ends with an error if what looks like its end is none.
type body struct {
	io.ReadCloser
	resp       *http.Response
	checkClose func() error // of a body that ends with its connection; nil takes each end
	ended      bool         // the end was reached
	err        error        // in place of the end
}

func newBody(resp *http.Response) *body {
	return &body{ReadCloser: resp.Body, resp: resp, ended: resp.Body == http.NoBody}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) || b.ended {
		return n, err
	}
	if b.err = b.checkEnd(); b.err != nil {
		return n, b.err
	}
	b.ended = true
	return n, err
}

// checkEnd returns an error if the trailer is none, or if the end of the connection is not that of the body.
func (b *body) checkEnd() error {
	if err := checkFields(b.resp.Trailer); err != nil {
		return errors.Annotate(err, "trailer")
	}
	if b.checkClose != nil {
		return b.checkClose()
	}
	return nil
}

// framed reports whether the end of the body of r is marked by its length or its last chunk.
func framed(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }
