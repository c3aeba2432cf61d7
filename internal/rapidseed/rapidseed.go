// Package rapidseed makes pgregory.net/rapid use a fixed seed, so that property tests give the same result in every run. It is for
// tests only.
package rapidseed

import (
	"flag"
	"os"
	"testing"
)

// Seed is the default seed, used when the command line sets none.
const Seed = "20261201"

// Main is the body of a package's TestMain. Without it, rapid picks another seed in each process.
func Main(m *testing.M) {
	FromSeed()
	os.Exit(m.Run())
}

// FromSeed parses the command line and sets rapid's seed to Seed unless -rapid.seed sets another.
func FromSeed() {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := f.Value.Set(Seed); err != nil {
			panic(err)
		}
	}
}
