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

// decoder fills a struct from JSON with comments and reports errors with file and line.
type decoder struct {
	name string
	data []byte
}

// fail returns an error that names the file, the line and the field.
func (d *decoder) fail(offset int, path, format string, args ...any) error {
	line := 1 + strings.Count(string(d.data[:min(offset, len(d.data))]), "\n")
	return errors.Errorf("%s:%d: %s: %s", d.name, line, path, fmt.Sprintf(format, args...))
}

// load reads name into cfg, a pointer to a struct that holds the defaults.
func load(name string, cfg any) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return errors.Annotate(err, "read settings")
	}
	return decodeBytes(name, data, cfg)
}

func decodeBytes(name string, data []byte, cfg any) error {
	v, err := hujson.Parse(data)
	if err != nil {
		return errors.Annotatef(err, "%s", name)
	}
	d := &decoder{name: name, data: data}
	return d.value(v, "settings", reflect.ValueOf(cfg).Elem(), "")
}

var durationType = reflect.TypeFor[time.Duration]()

func (d *decoder) value(v hujson.Value, path string, to reflect.Value, bounds string) error {
	switch {
	case to.Type() == durationType:
		return d.duration(v, path, to, bounds)
	case to.Kind() == reflect.Struct:
		return d.object(v, path, to)
	case to.Kind() == reflect.Slice:
		return d.list(v, path, to, bounds)
	}
	return d.scalar(v, path, to, bounds)
}

func (d *decoder) object(v hujson.Value, path string, to reflect.Value) error {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return d.fail(v.StartOffset, path, "want an object")
	}
	seen := map[string]bool{}
	for _, m := range o.Members {
		key := m.Name.Value.(hujson.Literal).String()
		at := m.Name.StartOffset
		sub := strings.TrimPrefix(path+"."+key, "settings.")
		i := fieldIndex(to.Type(), key)
		if i < 0 {
			return d.fail(at, sub, "unknown field; known here: %s", strings.Join(fieldNames(to.Type()), ", "))
		}
		if seen[key] {
			return d.fail(at, sub, "given twice")
		}
		seen[key] = true
		if err := d.value(m.Value, sub, to.Field(i), to.Type().Field(i).Tag.Get("range")); err != nil {
			return err
		}
	}
	return nil
}

func fieldIndex(t reflect.Type, key string) int {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == key {
			return i
		}
	}
	return -1
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("json"))
	}
	return names
}

func (d *decoder) list(v hujson.Value, path string, to reflect.Value, bounds string) error {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		return d.fail(v.StartOffset, path, "want a list")
	}
	out := reflect.MakeSlice(to.Type(), len(a.Elements), len(a.Elements))
	for i, e := range a.Elements {
		if err := d.value(e, fmt.Sprintf("%s[%d]", path, i), out.Index(i), bounds); err != nil {
			return err
		}
	}
	to.Set(out)
	return nil
}

func (d *decoder) literal(v hujson.Value, path string, kind hujson.Kind, want string) (hujson.Literal, error) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != kind {
		return nil, d.fail(v.StartOffset, path, "want %s", want)
	}
	return l, nil
}

func (d *decoder) duration(v hujson.Value, path string, to reflect.Value, bounds string) error {
	l, err := d.literal(v, path, '"', `a duration such as "1.5s"`)
	if err != nil {
		return err
	}
	n, err := time.ParseDuration(l.String())
	if err != nil {
		return d.fail(v.StartOffset, path, `want a duration such as "1.5s", not %q`, l.String())
	}
	low, high, ok := strings.Cut(bounds, "..")
	if ok {
		a, _ := time.ParseDuration(low)
		b, _ := time.ParseDuration(high)
		if n < a || n > b {
			return d.fail(v.StartOffset, path, "%s is outside %s to %s", n, a, b)
		}
	}
	to.SetInt(int64(n))
	return nil
}

func (d *decoder) scalar(v hujson.Value, path string, to reflect.Value, bounds string) error {
	switch to.Kind() {
	case reflect.String:
		l, err := d.literal(v, path, '"', "a string")
		if err != nil {
			return err
		}
		if bounds != "" && !oneOf(l.String(), bounds) {
			return d.fail(v.StartOffset, path, "%q is not one of %s", l.String(), strings.ReplaceAll(bounds, "|", ", "))
		}
		to.SetString(l.String())
	case reflect.Bool:
		l, ok := v.Value.(hujson.Literal)
		if !ok || l.Kind() != 't' && l.Kind() != 'f' {
			return d.fail(v.StartOffset, path, "want true or false")
		}
		to.SetBool(l.Bool())
	case reflect.Float64:
		return d.number(v, path, to, bounds)
	case reflect.Int, reflect.Int64:
		l, err := d.literal(v, path, '0', "a whole number")
		if err != nil {
			return err
		}
		n, err := strconv.ParseInt(l.String(), 10, 64)
		if err != nil {
			return d.fail(v.StartOffset, path, "want a whole number, not %s", l.String())
		}
		if low, high, ok := strings.Cut(bounds, ".."); ok {
			a, _ := strconv.ParseInt(low, 10, 64)
			b, _ := strconv.ParseInt(high, 10, 64)
			if n < a || n > b {
				return d.fail(v.StartOffset, path, "%d is outside %d to %d", n, a, b)
			}
		}
		to.SetInt(n)
	}
	return nil
}

func (d *decoder) number(v hujson.Value, path string, to reflect.Value, bounds string) error {
	l, err := d.literal(v, path, '0', "a number")
	if err != nil {
		return err
	}
	n, err := strconv.ParseFloat(l.String(), 64)
	if err != nil {
		return d.fail(v.StartOffset, path, "want a number, not %s", l.String())
	}
	if low, high, ok := strings.Cut(bounds, ".."); ok {
		a, _ := strconv.ParseFloat(low, 64)
		b, _ := strconv.ParseFloat(high, 64)
		if n < a || n > b {
			return d.fail(v.StartOffset, path, "%g is outside %g to %g", n, a, b)
		}
	}
	to.SetFloat(n)
	return nil
}

func oneOf(s, list string) bool {
	for _, x := range strings.Split(list, "|") {
		if s == x {
			return true
		}
	}
	return false
}
