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
	s := New(data)
	var names []string
	for {
		raw, _, more := s.Next()
		if !more {
			break
		}
		var name string
		if err := json.Unmarshal([]byte(`"`+string(raw)+`"`), &name); err != nil {
			return err
		}
		for _, n := range names {
			if strings.EqualFold(n, name) {
				return errors.NotValidf("field %q, which comes twice,", name)
			}
		}
		names = append(names, name)
	}
	if !s.Valid() {
		return errors.NotValidf("JSON that is no object or nested too deeply")
	}
	return nil
}

// End returns an error if anything but white space follows the value that dec has decoded.
func End(dec *json.Decoder) error {
	switch _, err := dec.Token(); {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return errors.Annotate(err, "after the JSON value")
	}
	return errors.NotValidf("text after the JSON value")
}
