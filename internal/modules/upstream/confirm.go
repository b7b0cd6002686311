package upstream

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"
)

// Confirmation is a question that is asked on the connection of a request before the request is written there. A connection ends with
// its process, so that the process that has confirmed is the one that gets the request.
type Confirmation struct {
	Question Message
	Process  uint64 // that must answer
	// Parse returns the process that an answer names.
	Parse func(status int, body []byte) (uint64, error)
}

// ErrOtherProcess means that another process than the expected one serves the address.
const ErrOtherProcess = errors.ConstError("another process has taken the upstream's place")

const (
	confirmTimeout  = 200 * time.Millisecond
	maxConfirmBytes = 64 << 10 // of an answer
)

// acquireConfirmed returns a connection for m whose process has answered m's confirmation. Kept connections that turn out to be closed are
// passed over.
func (p *Pool) acquireConfirmed(ctx context.Context, address string, maxConns int, m *Message) (*pooledConn, error) {
	for {
		pc, err := p.acquire(ctx, address, maxConns, m.ID)
		if err != nil || m.Confirm == nil {
			return pc, err
		}
		err = pc.confirm(ctx, m.Confirm)
		switch {
		case err == nil:
			return pc, nil
		case errors.Is(err, ErrOtherProcess):
			p.release(pc)
			return nil, err
		}
		pc.close()
		if pc.rested == 0 || errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
			return nil, errors.Annotate(err, "confirm the process")
		}
	}
}

// confirm asks c on pc unless that has been answered there.
func (pc *pooledConn) confirm(ctx context.Context, c *Confirmation) error {
	if pc.process == 0 {
		n, err := pc.ask(ctx, c)
		if err != nil {
			return err
		}
		pc.process = n
	}
	if pc.process != c.Process {
		return errors.WithType(errors.Errorf("process %d in place of %d", pc.process, c.Process), ErrOtherProcess)
	}
	return nil
}

// ask sends the question of c and returns the process that the answer names. After an error pc must be closed.
func (pc *pooledConn) ask(parent context.Context, c *Confirmation) (uint64, error) {
	ctx, cancel := context.WithTimeout(parent, confirmTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, pc.close)
	defer stop()
	head, _ := c.Question.encode()
	if _, err := pc.conn.Write(head); err != nil {
		return 0, cause(ctx, err)
	}
	resp, err := pc.read(&c.Question)
	if err != nil {
		return 0, cause(ctx, err)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxConfirmBytes))
	if err != nil {
		return 0, cause(ctx, err)
	}
	n, err := c.Parse(resp.StatusCode, data)
	if err != nil {
		return 0, err
	}
	if b, ok := resp.Body.(*body); !ok || !b.ended || resp.Close || pc.dirty || pc.r.Buffered() > 0 || !stop() {
		return 0, errors.New("the connection cannot be used after the answer")
	}
	return n, nil
}
