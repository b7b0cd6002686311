package jsonfields

import (
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func TestDecode(t *testing.T) {
	var v struct{ A, B int }
	require.NoError(t, Decode(strings.NewReader(" {\"A\":1,\"B\":2,\"C\":[{\"A\":1}]}\n"), &v))
	require.Equal(t, 2, v.B)
	require.ErrorIs(t, Decode(strings.NewReader(" \n"), &v), io.EOF)
	require.ErrorIs(t, Decode(io.MultiReader(strings.NewReader(`{"A":1}`), iotest.ErrReader(io.ErrUnexpectedEOF)), &v), io.ErrUnexpectedEOF)
	for _, s := range []string{`{"A":1}x`, `{"A":1}{"A":2}`, `{"A":1`, `{"A":1,"A":2}`, `{"A":1,"a":2}`, `{"A":1,"\u0041":2}`, `null`, `[]`, "{\"A\":1}\x00"} {
		require.Error(t, Decode(strings.NewReader(s), &v), s)
	}
}

func TestEnd(t *testing.T) {
	for s, sound := range map[string]bool{`{} `: true, `{}x`: false, `{}{}`: false, `{}]`: false} {
		dec := json.NewDecoder(strings.NewReader(s))
		require.NoError(t, dec.Decode(new(struct{})))
		require.Equal(t, sound, End(dec) == nil, s)
	}
}
