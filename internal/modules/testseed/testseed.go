// Package testseed runs the tests of a package with a fixed random seed, so that they give the same result on every
// run.
package testseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// seed is the default seed of all randomized tests. The flag -rapid.seed overrides it.
const seed = "7"

// Main runs m with the fixed seed and checks test cases for each rapid property, and exits. The flag -rapid.checks
// overrides checks.
func Main(m *testing.M, checks int) {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": strconv.Itoa(checks)} {
		if err := flag.Set(name, value); err != nil {
			panic("testseed: the package does not import rapid: " + err.Error())
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
