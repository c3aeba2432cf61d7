package delta

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// TestHunksOfDrawnStrings checks that hunks reproduce the new string, for random strings over a small alphabet, which have many
// common parts.
func TestHunksOfDrawnStrings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 400)
		base, next := text.Draw(t, "base"), text.Draw(t, "next")
		if made, err := ApplyHunks(base, Hunks(base, next)); err != nil || !bytes.Equal(made, next) {
			t.Fatalf("the hunks produce %q, error %v", made, err)
		}
	})
}
