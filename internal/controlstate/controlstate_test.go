package controlstate

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
)

func TestReplace(t *testing.T) {
	s, err := Decode(nil)
	if err != nil {
		t.Fatal(err)
	}
	first, taken, err := s.Replace(0, 3, []byte("three"))
	if err != nil || taken {
		t.Fatalf("the first configuration: %v, %t", err, taken)
	}
	if _, _, err := first.Replace(0, 5, []byte("five")); !errors.Is(err, ErrConflict) {
		t.Errorf("one that builds on another version: %v", err)
	}
	if _, _, err := first.Replace(3, 3, []byte("other")); !errors.Is(err, ErrOld) {
		t.Errorf("one whose version does not rise: %v", err)
	}
	second, _, err := first.Replace(3, 9, []byte("nine"))
	if err != nil {
		t.Fatal(err)
	}
	if same, taken, err := second.Replace(0, 3, []byte("three")); err != nil || !taken || same.Version != 9 {
		t.Errorf("one that was taken and outdone since, sent again: %v, %t, version %d", err, taken, same.Version)
	}
	if _, taken, err := second.Replace(0, 3, []byte("another under its number")); taken || !errors.Is(err, ErrConflict) {
		t.Errorf("another one under a number that was taken: %t, %v", taken, err)
	}
	decoded, err := Decode(second.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if string(decoded.Config) != "nine" {
		t.Errorf("read back: %q", decoded.Config)
	}
}

func TestOrdersAreRememberedWithinABound(t *testing.T) {
	s := State{}
	for v := int64(1); v <= mostTaken+50; v++ {
		next, _, err := s.Replace(v-1, v, []byte(fmt.Sprint(v)))
		if err != nil {
			t.Fatal(err)
		}
		s = next
	}
	if len(s.Taken) != mostTaken {
		t.Errorf("%d orders are remembered", len(s.Taken))
	}
	if _, taken, err := s.Replace(99, 100, []byte("100")); err != nil || !taken {
		t.Errorf("a recent one sent again: %t, %v", taken, err)
	}
}

func TestWeights(t *testing.T) {
	s := State{}
	s, changed := s.NameWeights("m", 2)
	if !changed || s.Weights["m"] != 2 {
		t.Fatalf("named: %t %v", changed, s.Weights)
	}
	if s, changed = s.NameWeights("m", 1); changed || s.Weights["m"] != 2 {
		t.Errorf("an older version: %t %v", changed, s.Weights)
	}
}

func TestLeases(t *testing.T) {
	s := State{}
	s, err := s.Acquire("role", "a", Lease{}, true)
	if err != nil {
		t.Fatal(err)
	}
	a := s.Leases["role"]
	renewed, err := s.Acquire("role", "a", a, false)
	if err != nil || renewed.Leases["role"].Token != a.Token {
		t.Fatalf("renewed: %v, %+v", err, renewed.Leases)
	}
	if _, err := renewed.Acquire("role", "b", a, true); !errors.Is(err, ErrHeld) {
		t.Errorf("taken from a holder that has renewed it since: %v", err)
	}
	taken, err := renewed.Acquire("role", "b", renewed.Leases["role"], true)
	if err != nil || taken.Leases["role"].Token <= a.Token {
		t.Errorf("taken over: %v, %+v", err, taken.Leases)
	}
	again, err := taken.Acquire("role", "b", taken.Leases["role"], true)
	if err != nil || again.Leases["role"].Token <= taken.Leases["role"].Token {
		t.Errorf("another process of the same broker gets a token of its own: %v, %+v", err, again.Leases)
	}
}

func FuzzDecode(f *testing.F) {
	s, _, _ := State{}.Replace(0, 1, []byte("{}"))
	f.Add(s.Encode())
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Decode(text)
		if err != nil {
			return
		}
		if again, err := Decode(s.Encode()); err != nil || !bytes.Equal(again.Encode(), s.Encode()) {
			t.Fatalf("%q is read as %+v and written as another: %v", text, s, err)
		}
	})
}

// TestOrdersAreRememberedAndThenNotJudged takes more orders than are remembered. One that was taken is confirmed again as
// long as it is known; of an older one nothing is claimed; one that was never taken is refused. Memory is bounded.
func TestOrdersAreRememberedAndThenNotJudged(t *testing.T) {
	s, _ := Decode(nil)
	raw := func(version int64) []byte { return fmt.Appendf(nil, "configuration %d", version) }
	const orders = 3 * mostTaken
	for version := int64(1); version <= orders; version++ {
		next, taken, err := s.Replace(version-1, version, raw(version))
		if err != nil || taken {
			t.Fatalf("%d: %t %v", version, taken, err)
		}
		if s, err = Decode(next.Encode()); err != nil {
			t.Fatal(err)
		}
	}
	for version := int64(1); version <= orders; version++ {
		_, taken, err := s.Replace(version-1, version, raw(version))
		known := version > orders-mostTaken
		if taken != known || !known && !errors.Is(err, ErrForgotten) {
			t.Fatalf("%d of %d sent again: %t %v", version, orders, taken, err)
		}
	}
	if _, _, err := s.Replace(orders-5, orders+1, raw(7)); !errors.Is(err, ErrConflict) {
		t.Errorf("an order that was never taken, on an old version: %v", err)
	}
	if size := len(s.Encode()); size > 32<<10 {
		t.Errorf("the state has %d bytes", size)
	}
}

// TestOrdersOfAnEarlierProgram goes on from a state that knows digests without the versions they were built on.
func TestOrdersOfAnEarlierProgram(t *testing.T) {
	s, _ := Decode(nil)
	for version := int64(1); version <= mostTaken; version++ {
		s, _, _ = s.Replace(version-1, version, []byte{byte(version)})
	}
	s.Bases = nil
	next, _, err := s.Replace(mostTaken, mostTaken+1, []byte("new"))
	if err != nil || len(next.Bases) != len(next.Taken) {
		t.Fatalf("%d bases of %d: %v", len(next.Bases), len(next.Taken), err)
	}
	if _, _, err := next.Replace(0, 1, []byte{1}); !errors.Is(err, ErrForgotten) {
		t.Errorf("the forgotten order: %v", err)
	}
}

// TestUpdate takes changes by name on the terms of whole configurations: what was taken is acknowledged again, also after
// its successors, another one on the same version conflicts, and one that makes nothing valid changes nothing.
func TestUpdate(t *testing.T) {
	s, _, err := State{}.Replace(0, 3, []byte("three"))
	if err != nil {
		t.Fatal(err)
	}
	adds := func(text string) func([]byte) ([]byte, error) {
		return func(whole []byte) ([]byte, error) { return append(whole, text...), nil }
	}
	updated, taken, err := s.Update(3, 5, []byte("+1"), adds(" and more"))
	if err != nil || taken || updated.Version != 5 {
		t.Fatalf("an update: %v, %t, version %d", err, taken, updated.Version)
	}
	if string(updated.Config) != "three and more" {
		t.Errorf("read back: %q", updated.Config)
	}
	if _, taken, err := updated.Update(3, 5, []byte("+1"), adds(" and more")); err != nil || !taken {
		t.Errorf("sent again: %v, %t", err, taken)
	}
	if _, _, err := updated.Update(3, 5, []byte("+2"), adds(" and other")); !errors.Is(err, ErrConflict) {
		t.Errorf("another one on the same version: %v", err)
	}
	if _, _, err := updated.Replace(3, 5, []byte("+1")); !errors.Is(err, ErrConflict) {
		t.Errorf("a whole configuration with the text of an update: %v", err)
	}
	if _, _, err := updated.Update(5, 5, []byte("+3"), adds("")); !errors.Is(err, ErrOld) {
		t.Errorf("one whose version does not rise: %v", err)
	}
	invalid := errors.New("invalid")
	if after, _, err := updated.Update(5, 6, []byte("+4"), func([]byte) ([]byte, error) { return nil, invalid }); !errors.Is(err, invalid) || after.Version != 5 {
		t.Errorf("one that makes nothing valid: %v, version %d", err, after.Version)
	}
	next, _, err := updated.Replace(5, 9, []byte("nine"))
	if err != nil {
		t.Fatal(err)
	}
	if _, taken, err := next.Update(3, 5, []byte("+1"), adds(" and more")); err != nil || !taken {
		t.Errorf("sent again after its successor: %v, %t", err, taken)
	}
	for v := int64(10); v < 10+mostTaken; v++ {
		if next, _, err = next.Replace(v-1, v, []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := next.Update(3, 5, []byte("+1"), adds(" and more")); !errors.Is(err, ErrForgotten) {
		t.Errorf("one whose base is forgotten: %v", err)
	}
}
