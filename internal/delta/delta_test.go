package delta

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// TestHunksOfDrawnStrings has hunks make what they were made for, from strings that share much by chance.
func TestHunksOfDrawnStrings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 400)
		base, next := text.Draw(t, "base"), text.Draw(t, "next")
		if made, err := ApplyHunks(base, Hunks(base, next)); err != nil || !bytes.Equal(made, next) {
			t.Fatalf("%q, %v", made, err)
		}
	})
}
