package setting

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// The sample file documents the defaults, so it must contain every field with its default value.
func TestSampleMatchesDefaults(t *testing.T) {
	cfg, err := Load("../../../conf/wagtaillift.sample.jsonc")
	require.NoError(t, err)
	want := Default()
	want.Peers.Seeds = []string{}
	require.Equal(t, want, cfg)
	var empty Config
	require.NoError(t, loadFile("../../../conf/wagtaillift.sample.jsonc", &empty))
	require.Equal(t, want, empty, "a field is missing from the sample")
}

func TestLoadErrorsNameLocationAndRange(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"unknown field":         {"{\n  \"vmm\": \"a\"\n}", ":2: vmm: unknown field"},
		"wrong type":            {"{\n\n  \"vm\": 3\n}", ":3: vm: want a string"},
		"out of range":          {"{\"data\": {\n\"voters\": 10}}", ":2: data.voters: 10 is outside 1 to 9"},
		"bad duration":          {"{\"stop\": {\"limit\": \"2\"}}", ":1: stop.limit: want a duration"},
		"duration out of range": {"{\"stop\": {\"limit\": \"2h\"}}", ":1: stop.limit: 2h0m0s is outside 1s to 1h0m0s"},
		"duplicate field":       {"{\"vm\":\"a\",\n\"vm\":\"b\"}", ":2: vm: given twice"},
		"not an object":         {"{\"stop\": 3}", ":1: stop: want an object"},
		"equal addresses":       {"{\"listen\": {\"caller\": \"127.0.0.1:1\", \"metrics\": \"127.0.0.1:1\"}}", "listen.metrics equal to listen.caller"},
		"bad address":           {"{\"listen\": {\"caller\": \"nowhere\"}}", "listen.caller \"nowhere\""},
		"truncated file":        {"{", "settings.jsonc"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.jsonc")
			require.NoError(t, os.WriteFile(path, []byte(c.text), 0o600))
			_, err := Load(path)
			require.ErrorContains(t, err, c.want)
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"vm": "a", /* c */ "peers": {"seeds": ["x:1",]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg := Default()
		decodeBytes("fuzz", data, &cfg)
	})
}
