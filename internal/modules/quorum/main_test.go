package quorum

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that a run gives the same verdict every time; -rapid.seed chooses another one.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.checks", "2000")
	flag.Parse()
	os.Exit(m.Run())
}
