package memory

import (
	"io"
	"math"

	"github.com/juju/errors"
)

// ErrTooLarge means that there are more bytes than the limit allows.
const ErrTooLarge = errors.ConstError("there are more bytes than the limit allows")

const (
	firstStep  = 4 << 10 // room taken at first for bytes of unknown number
	firstSome  = 512     // the same for ReadSome
	growFactor = 2
	maxAtOnce  = 1 << 20 // of told bytes that a Hold without a bound reads into one buffer
)

// ReadAll returns the bytes of r, n of them or, with n negative, all; limit is the most. Room for them is taken from h before they are read,
// for as many copies as will be held. The error is ErrNoRoom or ErrTooLarge if that is the reason.
func ReadAll(h *Hold, r io.Reader, n, limit, copies int64) ([]byte, error) {
	limit = min(limit, math.MaxInt-1)
	if n > limit {
		return nil, ErrTooLarge
	}
	if n < 0 || n > maxAtOnce && h.unbounded() {
		data, whole, err := readSteps(h.TakeReclaimed, h, r, copies, firstStep, int(limit)+1)
		if err == nil && !whole {
			err = ErrTooLarge
		}
		return data, err
	}
	if n > math.MaxInt/copies || !h.TakeReclaimed(n*copies) {
		return nil, ErrNoRoom
	}
	data := make([]byte, n)
	_, err := io.ReadFull(r, data)
	return data, err
}

// ReadSome returns the bytes of r up to limit, as far as h has room. Whole reports whether r ended there.
func ReadSome(h *Hold, r io.Reader, limit int) (data []byte, whole bool, err error) {
	data, whole, err = readSteps(h.Take, h, r, 1, min(firstSome, limit), limit)
	if errors.Is(err, ErrNoRoom) {
		err = nil
	}
	return data, whole, err
}

// readSteps reads up to limit bytes of unknown number, for which take takes room from h. While a full buffer is copied to the next one, both are held.
func readSteps(take func(n int64) bool, h *Hold, r io.Reader, copies int64, first, limit int) (data []byte, whole bool, err error) {
	for {
		if old := len(data); old == cap(data) {
			if old == limit {
				return data, false, nil
			}
			size := min(limit, max(first, growFactor*old))
			if !take(int64(size) * copies) {
				return data, false, ErrNoRoom
			}
			data = append(make([]byte, 0, size), data...)
			h.Give(int64(old) * copies)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, true, nil
		}
		if err != nil {
			return data, false, err
		}
	}
}
