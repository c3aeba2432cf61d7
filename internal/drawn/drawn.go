// Package drawn lets a package's tests draw their histories from a stated seed, so that the verdict of a run is the same
// every time. It is for tests alone.
package drawn

import (
	"flag"
	"os"
	"testing"
)

// Seed is used where the command line names none.
const Seed = "20261201"

// Main is a package's TestMain: pgregory.net/rapid would else draw from another seed in each process.
func Main(m *testing.M) {
	FromSeed()
	os.Exit(m.Run())
}

// FromSeed has rapid draw from Seed unless -rapid.seed names another. It reads the command line.
func FromSeed() {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := f.Value.Set(Seed); err != nil {
			panic(err)
		}
	}
}
