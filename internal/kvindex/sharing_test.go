package kvindex

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gullstair/internal/cachetable"
)

// TestSharing sends notes about a changing instance from one broker to another, with notes lost and out of order. Once no
// more notes are lost, the tables of both brokers agree after the next complete list.
func TestSharing(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 2))
		here, there := cachetable.New(), cachetable.New()
		from := NewSharing(1, func(f func(*cachetable.Table)) { f(here) })
		to := NewSharing(2, func(f func(*cachetable.Table)) { f(there) })
		now := time.Unix(0, 0)
		here.Replace("i", 1, 0, nil)
		for step := range 400 {
			now = now.Add(200 * time.Millisecond)
			var changes []cachetable.Change
			for range rng.IntN(300) {
				changes = append(changes, cachetable.Change{Key: cachetable.Key(rng.IntN(500)), Tokens: float64(rng.IntN(3) * 16)})
			}
			if step < 360 {
				here.Apply("i", 1, uint64(step), uint64(step+1), changes)
			}
			notes := from.Notes("i", now)
			if step < 360 && rng.IntN(10) == 0 && len(notes) > 1 {
				notes[0], notes[1] = notes[1], notes[0]
			}
			for _, note := range notes {
				if step < 360 && rng.IntN(20) == 0 {
					continue
				}
				if err := to.ApplyNote(note, now); err != nil {
					t.Fatal(err)
				}
			}
			to.Expire(now)
		}
		mine, _ := here.Reported("i")
		theirs, synced := there.Reported("i")
		if !synced || fmt.Sprint(mine) != fmt.Sprint(theirs) {
			t.Fatalf("seed %d: synced %t, %d and %d parts", seed, synced, len(mine), len(theirs))
		}
	}
}

func TestExpire(t *testing.T) {
	table := cachetable.New()
	s := NewSharing(1, func(f func(*cachetable.Table)) { f(table) })
	now := time.Unix(0, 0)
	if err := s.ApplyNote(s.encode("i", 1, true, nil), now); err != nil || !table.Synced("i") {
		t.Fatalf("%v", err)
	}
	s.Expire(now.Add(forgetAfter + time.Second))
	if table.Synced("i") {
		t.Error("an instance without recent notes still counts as synced")
	}
}

func FuzzTake(f *testing.F) {
	s := NewSharing(1, func(func(*cachetable.Table)) {})
	f.Add(s.encode("i-1", 3, true, []cachetable.Change{{Key: 5, Tokens: 16}}))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, note []byte) {
		table := cachetable.New()
		s := NewSharing(1, func(f func(*cachetable.Table)) { f(table) })
		_ = s.ApplyNote(note, time.Unix(0, 0))
	})
}

func FuzzEvent(f *testing.F) {
	f.Add([]byte(`[119,"+","s1","5c1e07a2",800,"m"]`))
	f.Add([]byte(`["s1","5c1e07a2",800,"m"]`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_ = (&event{}).UnmarshalJSON(text)
		_ = (&cachedPart{}).UnmarshalJSON(text)
	})
}
