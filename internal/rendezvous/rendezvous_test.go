package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

func TestOrder(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	first, moved := map[string]int{}, 0
	for i := range 5000 {
		key := fmt.Sprint("key", i)
		order := Order(key, members)
		if !slices.Equal(order, Order(key, []string{"e", "d", "c", "b", "a"})) {
			t.Fatal("the order depends on that of the members")
		}
		first[order[0]]++
		without := Order(key, members[:4])
		if order[0] != "e" && without[0] != order[0] {
			moved++
		}
	}
	for m, n := range first {
		if n < 900 || n > 1100 {
			t.Errorf("%s comes first for %d of 5000 keys", m, n)
		}
	}
	if moved > 0 {
		t.Errorf("%d keys moved between members that stayed", moved)
	}
}
