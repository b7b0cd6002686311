package authority

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/juju/errors"
	"k8s.io/klog/v2"
)

const (
	minPackedBytes   = 4 << 10  // shorter data is not worth the processor time
	maxUnpackedBytes = 64 << 20 // of an entry or a snapshot
)

// packed is the compressed form of some data, made when it is first needed. The zero value is ready to use.
type packed struct {
	once sync.Once
	data []byte
}

// of returns the compressed form of data, or nil if it is not worth it.
func (p *packed) of(data []byte) []byte {
	if len(data) < minPackedBytes {
		return nil
	}
	p.once.Do(func() {
		var err error
		if p.data, err = pack(data); err != nil {
			klog.ErrorS(err, "Data for followers is sent uncompressed", "bytes", len(data))
		}
	})
	return p.data
}

// pack compresses data.
func pack(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Annotate(err, "compress")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Annotate(err, "compress")
	}
	err = w.Close()
	return b.Bytes(), errors.Annotate(err, "compress")
}

// unpack reverses pack.
func unpack(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	out, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Annotate(err, "uncompress")
	}
	if len(out) > maxUnpackedBytes {
		return nil, errors.NotValidf("compressed data of more than %d bytes", maxUnpackedBytes)
	}
	return out, nil
}
