package delta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// configurationLike returns a text that resembles a configuration: many lines with common parts.
func configurationLike(random *rand.Rand, lines int) []byte {
	var b strings.Builder
	for range lines {
		fmt.Fprintf(&b, `{"name":"r%d","host":"h%d","timeout_ms":%d},`, random.IntN(1<<20), random.IntN(40), random.IntN(5000))
	}
	return []byte(b.String())
}

// randomEdit inserts, removes, moves or replaces a part of a text.
func randomEdit(random *rand.Rand, text []byte) []byte {
	at := random.IntN(len(text) + 1)
	to := min(len(text), at+random.IntN(60))
	switch random.IntN(4) {
	case 0:
		return slices.Concat(text[:at], configurationLike(random, 1), text[at:])
	case 1:
		return slices.Concat(text[:at], text[to:])
	case 2:
		return slices.Concat(text[:at], []byte("?"), text[to:])
	}
	return slices.Concat(text[to:], text[:at], text[at:to]) // moves the beginning to the end
}

func TestHunksMakeTheNext(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 9))
	for range 3000 {
		base := configurationLike(random, random.IntN(60))
		next := slices.Clone(base)
		for range random.IntN(5) {
			next = randomEdit(random, next)
		}
		made, err := ApplyHunks(base, Hunks(base, next))
		if err != nil || !bytes.Equal(made, next) {
			t.Fatalf("hunks for %q from base %q produce %q, error %v", next, base, made, err)
		}
	}
}

// TestHunksOfFewChanges checks that the hunks stay small when a number at the beginning and one line in the middle of a large text
// change.
func TestHunksOfFewChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 9))
	for _, lines := range []int{20, 350, 100_000} {
		base := append([]byte(`{"version":17,`), configurationLike(random, lines)...)
		middle := len(base) / 2
		next := slices.Concat([]byte(`{"version":18,`), base[14:middle], []byte("changed"), base[middle+3:])
		hunks := Hunks(base, next)
		if carried := InsertedBytes(hunks); carried > 200 || len(hunks) > 5 {
			t.Errorf("%d lines, %d bytes: %d bytes inserted in %d hunks", lines, len(base), carried, len(hunks))
		}
		if made, err := ApplyHunks(base, hunks); err != nil || !bytes.Equal(made, next) {
			t.Errorf("%d lines: the hunks produce another text, error %v", lines, err)
		}
	}
}

func TestHunksOutOfRange(t *testing.T) {
	base := []byte("0123456789")
	for _, h := range []Hunk{{From: -1, Length: 1}, {From: 0, Length: 11}, {From: 11}, {From: 5, Length: -1}, {From: 9, Length: 1 << 62}} {
		if made, err := ApplyHunks(base, []Hunk{h}); err == nil {
			t.Errorf("%+v is out of range but produces %q", h, made)
		}
	}
	if hunks := Hunks(base, nil); len(hunks) != 0 {
		t.Errorf("an empty text has hunks %v", hunks)
	}
}

func FuzzHunks(f *testing.F) {
	f.Add([]byte("abcdefghijklmnopqrstuvwxyzabcdefghijklmnopqrstuvwxyz"), []byte("xyzabcdefghijklmnopqrstuvwxyzabcdefghijklmnopqrstuvw"))
	f.Fuzz(func(t *testing.T, base, next []byte) {
		if made, err := ApplyHunks(base, Hunks(base, next)); err != nil || !bytes.Equal(made, next) {
			t.Fatalf("hunks for %q from base %q produce %q, error %v", next, base, made, err)
		}
	})
}

func BenchmarkHunks(b *testing.B) {
	random := rand.New(rand.NewPCG(5, 9))
	base := append([]byte(`{"version":17,`), configurationLike(random, 100_000)...)
	middle := len(base) / 2
	next := slices.Concat([]byte(`{"version":18,`), base[14:middle], []byte("changed"), base[middle+3:])
	b.SetBytes(int64(len(next)))
	for b.Loop() {
		Hunks(base, next)
	}
}
