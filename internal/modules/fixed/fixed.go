// Package fixed runs a package's tests with a fixed seed, so that they give the same verdict every time.
package fixed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// seed is the seed of all randomized tests; -rapid.seed on the command line chooses another one.
const seed = "7"

// Main runs m with the fixed seed and the given number of checks for each property, and exits.
func Main(m *testing.M, checks int) {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": strconv.Itoa(checks)} {
		if err := flag.Set(name, value); err != nil {
			panic("fixed: the tests do not use rapid: " + err.Error())
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
