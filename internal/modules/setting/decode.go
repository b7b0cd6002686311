package setting

import (
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// decoder decodes JSON with comments into a struct. Its errors name the file and line of the invalid value.
type decoder struct {
	file string
	data []byte
}

// errorAt returns an error that names the file, the line of the byte at offset, and the field path.
func (d *decoder) errorAt(offset int, path, format string, args ...any) error {
	line := 1 + strings.Count(string(d.data[:min(offset, len(d.data))]), "\n")
	return errors.Errorf("%s:%d: %s: %s", d.file, line, path, fmt.Sprintf(format, args...))
}

// loadFile decodes a settings file into cfg, a pointer to a struct. Fields that the file leaves out keep their values.
func loadFile(file string, cfg any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Annotate(err, "read settings")
	}
	return decodeBytes(file, data, cfg)
}

// decodeBytes decodes data into cfg; file is the name in error messages.
func decodeBytes(file string, data []byte, cfg any) error {
	v, err := hujson.Parse(data)
	if err != nil {
		return errors.Annotatef(err, "%s", file)
	}
	d := &decoder{file: file, data: data}
	return d.decodeValue(v, "settings", reflect.ValueOf(cfg).Elem(), "")
}

var durationType = reflect.TypeFor[time.Duration]()

// decodeValue decodes v into dst. Bounds is the range tag of the field: "low..high" for numbers and durations, "a|b" for
// strings, or empty.
func (d *decoder) decodeValue(v hujson.Value, path string, dst reflect.Value, bounds string) error {
	switch {
	case dst.Type() == durationType:
		return d.decodeDuration(v, path, dst, bounds)
	case dst.Kind() == reflect.Struct:
		return d.decodeObject(v, path, dst)
	case dst.Kind() == reflect.Slice:
		return d.decodeList(v, path, dst, bounds)
	}
	return d.decodeScalar(v, path, dst, bounds)
}

// decodeObject decodes v into a struct. It rejects unknown and duplicate fields.
func (d *decoder) decodeObject(v hujson.Value, path string, dst reflect.Value) error {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return d.errorAt(v.StartOffset, path, "want an object")
	}
	seen := map[string]bool{}
	for _, m := range o.Members {
		key := m.Name.Value.(hujson.Literal).String()
		offset := m.Name.StartOffset
		sub := strings.TrimPrefix(path+"."+key, "settings.")
		i := fieldIndex(dst.Type(), key)
		if i < 0 {
			return d.errorAt(offset, sub, "unknown field; known fields: %s", strings.Join(fieldNames(dst.Type()), ", "))
		}
		if seen[key] {
			return d.errorAt(offset, sub, "given twice")
		}
		seen[key] = true
		if err := d.decodeValue(m.Value, sub, dst.Field(i), dst.Type().Field(i).Tag.Get("range")); err != nil {
			return err
		}
	}
	return nil
}

// fieldIndex returns the index of the field of t whose json tag is key, or -1.
func fieldIndex(t reflect.Type, key string) int {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == key {
			return i
		}
	}
	return -1
}

// fieldNames returns the json tags of the fields of t.
func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("json"))
	}
	return names
}

// decodeList decodes v into a slice; bounds apply to each element.
func (d *decoder) decodeList(v hujson.Value, path string, dst reflect.Value, bounds string) error {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		return d.errorAt(v.StartOffset, path, "want a list")
	}
	out := reflect.MakeSlice(dst.Type(), len(a.Elements), len(a.Elements))
	for i, e := range a.Elements {
		if err := d.decodeValue(e, fmt.Sprintf("%s[%d]", path, i), out.Index(i), bounds); err != nil {
			return err
		}
	}
	dst.Set(out)
	return nil
}

// expectLiteral returns v as a literal of the given kind, or an error that says what was wanted.
func (d *decoder) expectLiteral(v hujson.Value, path string, kind hujson.Kind, want string) (hujson.Literal, error) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != kind {
		return nil, d.errorAt(v.StartOffset, path, "want %s", want)
	}
	return l, nil
}

func (d *decoder) decodeDuration(v hujson.Value, path string, dst reflect.Value, bounds string) error {
	l, err := d.expectLiteral(v, path, '"', `a duration such as "1.5s"`)
	if err != nil {
		return err
	}
	n, err := time.ParseDuration(l.String())
	if err != nil {
		return d.errorAt(v.StartOffset, path, `want a duration such as "1.5s", not %q`, l.String())
	}
	low, high, ok := strings.Cut(bounds, "..")
	if ok {
		a, _ := time.ParseDuration(low)
		b, _ := time.ParseDuration(high)
		if n < a || n > b {
			return d.errorAt(v.StartOffset, path, "%s is outside %s to %s", n, a, b)
		}
	}
	dst.SetInt(int64(n))
	return nil
}

// decodeScalar decodes v into a string, bool, float or integer.
func (d *decoder) decodeScalar(v hujson.Value, path string, dst reflect.Value, bounds string) error {
	switch dst.Kind() {
	case reflect.String:
		l, err := d.expectLiteral(v, path, '"', "a string")
		if err != nil {
			return err
		}
		if bounds != "" && !oneOf(l.String(), bounds) {
			return d.errorAt(v.StartOffset, path, "%q is not one of %s", l.String(), strings.ReplaceAll(bounds, "|", ", "))
		}
		dst.SetString(l.String())
	case reflect.Bool:
		l, ok := v.Value.(hujson.Literal)
		if !ok || l.Kind() != 't' && l.Kind() != 'f' {
			return d.errorAt(v.StartOffset, path, "want true or false")
		}
		dst.SetBool(l.Bool())
	case reflect.Float64:
		return d.decodeFloat(v, path, dst, bounds)
	case reflect.Int, reflect.Int64:
		l, err := d.expectLiteral(v, path, '0', "a whole number")
		if err != nil {
			return err
		}
		n, err := strconv.ParseInt(l.String(), 10, 64)
		if err != nil {
			return d.errorAt(v.StartOffset, path, "want a whole number, not %s", l.String())
		}
		if low, high, ok := strings.Cut(bounds, ".."); ok {
			a, _ := strconv.ParseInt(low, 10, 64)
			b, _ := strconv.ParseInt(high, 10, 64)
			if n < a || n > b {
				return d.errorAt(v.StartOffset, path, "%d is outside %d to %d", n, a, b)
			}
		}
		dst.SetInt(n)
	}
	return nil
}

func (d *decoder) decodeFloat(v hujson.Value, path string, dst reflect.Value, bounds string) error {
	l, err := d.expectLiteral(v, path, '0', "a number")
	if err != nil {
		return err
	}
	n, err := strconv.ParseFloat(l.String(), 64)
	if err != nil {
		return d.errorAt(v.StartOffset, path, "want a number, not %s", l.String())
	}
	if low, high, ok := strings.Cut(bounds, ".."); ok {
		a, _ := strconv.ParseFloat(low, 64)
		b, _ := strconv.ParseFloat(high, 64)
		if n < a || n > b {
			return d.errorAt(v.StartOffset, path, "%g is outside %g to %g", n, a, b)
		}
	}
	dst.SetFloat(n)
	return nil
}

// oneOf reports whether s is in list, whose items are separated by "|".
func oneOf(s, list string) bool {
	for _, x := range strings.Split(list, "|") {
		if s == x {
			return true
		}
	}
	return false
}
