package cachetable

import "testing"

func TestHeld(t *testing.T) {
	a, b, c := KeyOf("s", "a"), KeyOf("s", "b"), KeyOf("s", "c")
	keys, tokens := []Key{a, b, c}, []float64{10, 20, 30}
	table := New()
	held := func() float64 { return table.CachedTokens("i", keys, tokens) }
	if held() != 0 {
		t.Error("an unknown instance caches something")
	}
	table.Read("i", keys, tokens)
	if held() != 60 {
		t.Errorf("after a read: %v", held())
	}
	table.Advance(unsyncedTTL + 1)
	if held() != 0 {
		t.Errorf("long after a read: %v", held())
	}
	table.Replace("i", 7, 100, []Change{{a, 10}, {c, 30}})
	if held() != 10 {
		t.Errorf("a part is missing in the middle: %v", held())
	}
	if !table.Apply("i", 7, 100, 102, []Change{{b, 16}}) || held() != 26 {
		t.Errorf("a part is cached partially: %v", held())
	}
	if !table.Apply("i", 7, 90, 101, []Change{{a, 0}}) || held() != 26 {
		t.Errorf("changes were applied twice: %v", held())
	}
	if table.Apply("i", 7, 105, 107, nil) || table.Synced("i") {
		t.Error("a gap between changes was not detected")
	}
	table.Replace("i", 7, 107, nil)
	if table.Apply("i", 8, 107, 108, nil) {
		t.Error("a restart of the instance was not detected")
	}
	if KeyOf("s", "a") == KeyOf("t", "a") {
		t.Error("a part has the same key under two salts")
	}
}

func TestUnreportedReadExpires(t *testing.T) {
	table := New()
	key := []Key{KeyOf("s", "a")}
	table.Replace("i", 1, 1, nil)
	table.Read("i", key, []float64{10})
	if table.CachedTokens("i", key, []float64{10}) != 10 {
		t.Error("a part that was just read does not count")
	}
	table.Advance(unreportedTTL + 1)
	if table.CachedTokens("i", key, []float64{10}) != 0 {
		t.Error("a part that the instance never reported still counts")
	}
}

func TestMaxParts(t *testing.T) {
	table := New()
	for i := range maxParts * 2 {
		table.Read("i", []Key{Key(i)}, []float64{1})
	}
	if n := len(table.instances["i"].parts); n > maxParts {
		t.Errorf("the table holds %d parts of one instance", n)
	}
	table.Forget("i")
	if table.Instances() != 0 {
		t.Error("an instance is still in the table after Forget")
	}
}
