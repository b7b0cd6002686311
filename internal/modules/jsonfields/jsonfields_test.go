package jsonfields

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// scan returns the fields of data and whether it is one object.
func scan(data []byte) (fields []string, valid bool) {
	s := New(data)
	for {
		name, value, more := s.Next()
		if !more {
			return fields, s.Valid()
		}
		fields = append(fields, string(name)+"="+string(value))
	}
}

func TestFields(t *testing.T) {
	fields, valid := scan([]byte(` {"a": 1.5e-3, "b":[{"a":"\u00e9\n"}, null] ,"c":{}, "a":"" } `))
	require.True(t, valid)
	require.Equal(t, []string{"a=1.5e-3", `b=[{"a":"\u00e9\n"}, null]`, "c={}", `a=""`}, fields)
}

// A Scanner must accept exactly the objects that encoding/json accepts.
func FuzzScanner(f *testing.F) {
	for _, s := range []string{
		`{}`, `{"a":1}`, `{"a":-0.1E+2,"b":[true,false,null,"\"\\\/\b\f\n\r\t\u12aF"]}`, ` { "a" : { } , "b" : [ ] } `, `[]`, `1`, ``, `{"a":1}x`, `{"a":1}{}`, `{"a":01}`,
		`{"a":1.}`, `{"a":.1}`, `{"a":1e}`, `{"a":+1}`, `{"a":"\x"}`, `{"a":"\u12g4"}`, "{\"a\":\"\n\"}", `{"a"}`, `{"a":}`, `{"a":1,}`, `{,}`, `{"a":[1,]}`, `{"a":tru}`, `{"a":"`, `{"a`, `{"a":nullx}`,
		"{\"a\":\"\xff\"}", `{"a":-}`, `{"a":"\`, `{"a":"\u1"}`, `{a:1}`, `{'a':1}`, "\ufeff{}", `{"a":1 "b":2}`, `{"a":[1 2]}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if bytes.Count(data, []byte("["))+bytes.Count(data, []byte("{")) > maxDepth {
			return
		}
		object := json.Valid(data) && bytes.HasPrefix(bytes.TrimLeft(data, " \t\r\n"), []byte("{"))
		_, valid := scan(data)
		require.Equal(t, object, valid, "%q", data)
	})
}

func TestDeepNesting(t *testing.T) {
	for n, want := range map[int]bool{maxDepth: true, maxDepth + 1: false, 1 << 20: false} {
		_, valid := scan([]byte(`{"a":` + strings.Repeat("[", n) + strings.Repeat("]", n) + "}"))
		require.Equal(t, want, valid)
	}
}
