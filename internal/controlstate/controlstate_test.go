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
	first, duplicate, err := s.Replace(0, 3, []byte("three"))
	if err != nil || duplicate {
		t.Fatalf("first configuration: error %v, duplicate %t", err, duplicate)
	}
	if _, _, err := first.Replace(0, 5, []byte("five")); !errors.Is(err, ErrConflict) {
		t.Errorf("a configuration built on a version that is not in force: error %v, want ErrConflict", err)
	}
	if _, _, err := first.Replace(3, 3, []byte("other")); !errors.Is(err, ErrStaleVersion) {
		t.Errorf("a configuration whose version is not higher: error %v, want ErrStaleVersion", err)
	}
	second, _, err := first.Replace(3, 9, []byte("nine"))
	if err != nil {
		t.Fatal(err)
	}
	if same, duplicate, err := second.Replace(0, 3, []byte("three")); err != nil || !duplicate || same.Version != 9 {
		t.Errorf("an accepted configuration sent again after its successor: error %v, duplicate %t, version %d", err, duplicate, same.Version)
	}
	if _, duplicate, err := second.Replace(0, 3, []byte("another under its number")); duplicate || !errors.Is(err, ErrConflict) {
		t.Errorf("another configuration under a used version: duplicate %t, error %v", duplicate, err)
	}
	decoded, err := Decode(second.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if string(decoded.Config) != "nine" {
		t.Errorf("decoded configuration: %q", decoded.Config)
	}
}

func TestRecordedOrdersAreBounded(t *testing.T) {
	s := State{}
	for v := int64(1); v <= maxTakenOrders+50; v++ {
		next, _, err := s.Replace(v-1, v, []byte(fmt.Sprint(v)))
		if err != nil {
			t.Fatal(err)
		}
		s = next
	}
	if len(s.Taken) != maxTakenOrders {
		t.Errorf("%d orders are recorded", len(s.Taken))
	}
	if _, duplicate, err := s.Replace(99, 100, []byte("100")); err != nil || !duplicate {
		t.Errorf("a recent order sent again: duplicate %t, error %v", duplicate, err)
	}
}

func TestWeights(t *testing.T) {
	s := State{}
	s, changed := s.NameWeights("m", 2)
	if !changed || s.Weights["m"] != 2 {
		t.Fatalf("a new version: changed %t, weights %v", changed, s.Weights)
	}
	if s, changed = s.NameWeights("m", 1); changed || s.Weights["m"] != 2 {
		t.Errorf("an older version: changed %t, weights %v", changed, s.Weights)
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
		t.Fatalf("renewal: error %v, leases %+v", err, renewed.Leases)
	}
	if _, err := renewed.Acquire("role", "b", a, true); !errors.Is(err, ErrLeaseHeld) {
		t.Errorf("acquired from a holder that has renewed it since: error %v, want ErrLeaseHeld", err)
	}
	taken, err := renewed.Acquire("role", "b", renewed.Leases["role"], true)
	if err != nil || taken.Leases["role"].Token <= a.Token {
		t.Errorf("takeover: error %v, leases %+v", err, taken.Leases)
	}
	again, err := taken.Acquire("role", "b", taken.Leases["role"], true)
	if err != nil || again.Leases["role"].Token <= taken.Leases["role"].Token {
		t.Errorf("another process of the same broker must get a new token: error %v, leases %+v", err, again.Leases)
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
			t.Fatalf("%q is decoded as %+v, which does not encode to itself: %v", text, s, err)
		}
	})
}

// TestOrdersAreRecordedAndThenForgotten accepts more orders than the state records. A recorded order is confirmed as a
// duplicate, an older one returns ErrForgotten, and one that was never accepted returns ErrConflict. The size of the state is
// bounded.
func TestOrdersAreRecordedAndThenForgotten(t *testing.T) {
	s, _ := Decode(nil)
	raw := func(version int64) []byte { return fmt.Appendf(nil, "configuration %d", version) }
	const orders = 3 * maxTakenOrders
	for version := int64(1); version <= orders; version++ {
		next, duplicate, err := s.Replace(version-1, version, raw(version))
		if err != nil || duplicate {
			t.Fatalf("order %d: duplicate %t, error %v", version, duplicate, err)
		}
		if s, err = Decode(next.Encode()); err != nil {
			t.Fatal(err)
		}
	}
	for version := int64(1); version <= orders; version++ {
		_, duplicate, err := s.Replace(version-1, version, raw(version))
		known := version > orders-maxTakenOrders
		if duplicate != known || !known && !errors.Is(err, ErrForgotten) {
			t.Fatalf("order %d of %d sent again: duplicate %t, error %v", version, orders, duplicate, err)
		}
	}
	if _, _, err := s.Replace(orders-5, orders+1, raw(7)); !errors.Is(err, ErrConflict) {
		t.Errorf("an order that was never accepted, on an old version: error %v, want ErrConflict", err)
	}
	if size := len(s.Encode()); size > 32<<10 {
		t.Errorf("the encoded state has %d bytes, want at most 32 KiB", size)
	}
}

// TestOrdersOfAnEarlierProgram accepts an order on a state of an earlier release, which has digests without base versions.
func TestOrdersOfAnEarlierProgram(t *testing.T) {
	s, _ := Decode(nil)
	for version := int64(1); version <= maxTakenOrders; version++ {
		s, _, _ = s.Replace(version-1, version, []byte{byte(version)})
	}
	s.Bases = nil
	next, _, err := s.Replace(maxTakenOrders, maxTakenOrders+1, []byte("new"))
	if err != nil || len(next.Bases) != len(next.Taken) {
		t.Fatalf("%d base versions for %d orders, error %v", len(next.Bases), len(next.Taken), err)
	}
	if _, _, err := next.Replace(0, 1, []byte{1}); !errors.Is(err, ErrForgotten) {
		t.Errorf("the forgotten order: error %v, want ErrForgotten", err)
	}
}

// TestUpdate checks that patches follow the rules of complete configurations: an accepted patch is acknowledged again, also after
// its successors; another patch on the same version conflicts; and a patch whose result is invalid changes nothing.
func TestUpdate(t *testing.T) {
	s, _, err := State{}.Replace(0, 3, []byte("three"))
	if err != nil {
		t.Fatal(err)
	}
	appending := func(text string) func([]byte) ([]byte, error) {
		return func(whole []byte) ([]byte, error) { return append(whole, text...), nil }
	}
	updated, duplicate, err := s.Update(3, 5, []byte("+1"), appending(" and more"))
	if err != nil || duplicate || updated.Version != 5 {
		t.Fatalf("an update: error %v, duplicate %t, version %d", err, duplicate, updated.Version)
	}
	if string(updated.Config) != "three and more" {
		t.Errorf("updated configuration: %q", updated.Config)
	}
	if _, duplicate, err := updated.Update(3, 5, []byte("+1"), appending(" and more")); err != nil || !duplicate {
		t.Errorf("the update sent again: error %v, duplicate %t", err, duplicate)
	}
	if _, _, err := updated.Update(3, 5, []byte("+2"), appending(" and other")); !errors.Is(err, ErrConflict) {
		t.Errorf("another update on the same version: error %v, want ErrConflict", err)
	}
	if _, _, err := updated.Replace(3, 5, []byte("+1")); !errors.Is(err, ErrConflict) {
		t.Errorf("a complete configuration with the text of an update: error %v, want ErrConflict", err)
	}
	if _, _, err := updated.Update(5, 5, []byte("+3"), appending("")); !errors.Is(err, ErrStaleVersion) {
		t.Errorf("an update whose version is not higher: error %v, want ErrStaleVersion", err)
	}
	invalid := errors.New("invalid")
	if after, _, err := updated.Update(5, 6, []byte("+4"), func([]byte) ([]byte, error) { return nil, invalid }); !errors.Is(err, invalid) || after.Version != 5 {
		t.Errorf("an update with an invalid result: error %v, version %d", err, after.Version)
	}
	next, _, err := updated.Replace(5, 9, []byte("nine"))
	if err != nil {
		t.Fatal(err)
	}
	if _, duplicate, err := next.Update(3, 5, []byte("+1"), appending(" and more")); err != nil || !duplicate {
		t.Errorf("the update sent again after its successor: error %v, duplicate %t", err, duplicate)
	}
	for v := int64(10); v < 10+maxTakenOrders; v++ {
		if next, _, err = next.Replace(v-1, v, []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := next.Update(3, 5, []byte("+1"), appending(" and more")); !errors.Is(err, ErrForgotten) {
		t.Errorf("an update whose base is forgotten: error %v, want ErrForgotten", err)
	}
}
