package jsonfields

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/juju/errors"
)

// Decode reads r to its end and decodes the JSON object there into v. Text after the object, an object that breaks off and a field that
// comes twice are errors; v must not be used then. The error is io.EOF if there is nothing.
func Decode(r io.Reader, v any) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	if len(bytes.TrimSpace(data)) == 0 {
		return io.EOF
	}
	if err := json.Unmarshal(data, v); err != nil {
		return err
	}
	return checkNames(data)
}

// checkNames returns an error if data is not one object whose names differ. Names are compared as encoding/json does.
func checkNames(data []byte) error {
	list, err := Fields(data)
	if err != nil {
		return err
	}
	for i, f := range list {
		for _, other := range list[:i] {
			if strings.EqualFold(f.Name, other.Name) {
				return errors.NotValidf("field %q, which comes twice,", f.Name)
			}
		}
	}
	return nil
}
