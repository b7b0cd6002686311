package call

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func FuzzParseBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":3}`), true)
	f.Add([]byte(`{"model":"m","prompt":"hi","max_completion_tokens":3}`), false)
	f.Add([]byte(`{"model":"m","prompt":["a"],"n":2}`), false)
	f.Fuzz(func(t *testing.T, data []byte, chat bool) {
		b, err := ParseBody(data, chat)
		if err != nil {
			return
		}
		require.NotEmpty(t, b.Model)
		out, err := b.Encode(b.OutputLimit(5), &Resume{Tokens: 1, Text: "x"})
		require.NoError(t, err)
		var encoded struct {
			Stream bool  `json:"stream"`
			Max    int64 `json:"max_tokens"`
		}
		require.NoError(t, json.Unmarshal(out, &encoded))
		require.True(t, encoded.Stream)
		require.Positive(t, encoded.Max)
	})
}

func TestPrefixHashesOfSharedPrefix(t *testing.T) {
	a := make([]byte, 5*prefixBlockBytes)
	b := append(append([]byte(nil), a[:3*prefixBlockBytes]...), make([]byte, 2*prefixBlockBytes)...)
	b[4*prefixBlockBytes] = 'x'
	x, y := PrefixHashes(string(a)), PrefixHashes(string(b))
	require.Len(t, x, 5)
	require.Equal(t, x[:4], y[:4])
	require.NotEqual(t, x[4], y[4])
}

func TestSharedParts(t *testing.T) {
	message := func(text string) Message { return Message{Role: "user", Content: []byte(text)} }
	block := strings.Repeat("x", prefixBlockBytes)
	for name, c := range map[string]struct {
		a, b   ModelBody
		shared int
	}{
		"all messages but the last":   {ModelBody{Messages: []Message{message("a"), message("b"), message("c")}}, ModelBody{Messages: []Message{message("a"), message("b"), message("d")}}, 2},
		"after another message":       {ModelBody{Messages: []Message{message("a"), message("b"), message("c")}}, ModelBody{Messages: []Message{message("x"), message("b"), message("c")}}, 1},
		"the last message is its own": {ModelBody{Messages: []Message{message("a")}}, ModelBody{Messages: []Message{message("a")}}, 0},
		"leading blocks of a text":    {ModelBody{Prompt: []byte(block + block + "one")}, ModelBody{Prompt: []byte(block + block + "two")}, 2},
		"another beginning":           {ModelBody{Prompt: []byte(block + block + "one")}, ModelBody{Prompt: []byte("y" + block + block)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			shared := 0
			for _, part := range c.a.SharedParts() {
				if slices.Contains(c.b.SharedParts(), part) {
					shared++
				}
			}
			require.Equal(t, c.shared, shared)
		})
	}
}
