package jsonfields

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFields(t *testing.T) {
	list, err := Fields([]byte(` {"a": 1.5e-3, "b":[{"a":"\u00e9\n"}, null] ,"c":{}, "a":"" } `))
	require.NoError(t, err)
	var text []string
	for _, f := range list {
		text = append(text, f.Name+"="+string(f.Value))
	}
	require.Equal(t, []string{"a=1.5e-3", `b=[{"a":"\u00e9\n"}, null]`, "c={}", `a=""`}, text)
}

// Fields must accept exactly the objects that json.Valid accepts.
func FuzzFields(f *testing.F) {
	for _, s := range []string{
		`{}`, `{"a":1}`, `{"a":-0.1E+2,"b":[true,false,null,"\"\\\/\b\f\n\r\t\u12aF"]}`, ` { "a" : { } , "b" : [ ] } `, `[]`, `1`, ``, `{"a":1}x`, `{"a":1}{}`, `{"a":01}`,
		`{"a":1.}`, `{"a":.1}`, `{"a":1e}`, `{"a":+1}`, `{"a":"\x"}`, `{"a":"\u12g4"}`, "{\"a\":\"\n\"}", `{"a"}`, `{"a":}`, `{"a":1,}`, `{,}`, `{"a":[1,]}`, `{"a":tru}`, `{"a":"`, `{"a`, `{"a":nullx}`,
		"{\"a\":\"\xff\"}", `{"a":-}`, `{"a":"\`, `{"a":"\u1"}`, `{a:1}`, `{'a':1}`, "\ufeff{}", `{"a":1 "b":2}`, `{"a":[1 2]}`, `{1:2}`, `{"a":1]`, `{"a":1}}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		object := json.Valid(data) && bytes.HasPrefix(bytes.TrimLeft(data, " \t\r\n"), []byte("{"))
		_, err := Fields(data)
		require.Equal(t, object, err == nil, "%q", data)
	})
}

func TestDeepNesting(t *testing.T) {
	const tooDeep = 1 << 20
	_, err := Fields([]byte(`{"a":` + strings.Repeat("[", tooDeep) + strings.Repeat("]", tooDeep) + "}"))
	require.Error(t, err)
}
