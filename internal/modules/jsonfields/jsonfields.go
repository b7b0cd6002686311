// Package jsonfields reads JSON objects of peers, each of whose fields must be there once.
package jsonfields

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

// Field is a field of an object.
type Field struct {
	Name  string
	Value json.RawMessage
}

// Fields returns the fields of data in their order. Anything but one object is an error.
func Fields(data []byte) (list []Field, err error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return nil, errors.NotValidf("JSON that is no object")
	}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return nil, errors.Annotate(err, "name of a field")
		}
		f := Field{Name: name.(string)} // nothing else may stand before a value in an object
		if err := dec.Decode(&f.Value); err != nil {
			return nil, errors.Annotatef(err, "field %q", f.Name)
		}
		list = append(list, f)
	}
	if _, err := dec.Token(); err != nil {
		return nil, errors.Annotate(err, "end of the object")
	}
	return list, End(dec)
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
