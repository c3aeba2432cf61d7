package peersampling

import (
	"fmt"
	"testing"
)

// TestShuffle starts a large fleet whose members know three seeds and exchange samples. Views must stay bounded, and
// every member must be reachable from any other, also after a third of the members has left.
func TestShuffle(t *testing.T) {
	const members = 360
	views := map[string]*View{}
	for i := range members {
		v := New(fmt.Sprint(i), uint64(i+1))
		for seed := range 3 {
			v.Add(fmt.Sprint(seed))
		}
		views[fmt.Sprint(i)] = v
	}
	rounds := func(n int) {
		for range n {
			for i := range members {
				v := views[fmt.Sprint(i)]
				if v == nil {
					continue
				}
				picked := v.Pick(1)
				if len(picked) == 0 {
					continue
				}
				peer := views[picked[0]]
				if peer == nil {
					v.Remove(picked[0])
					continue
				}
				mine, theirs := v.Sample(), peer.Sample()
				peer.Merge(mine)
				v.Merge(theirs)
			}
		}
	}
	rounds(30)
	if n := reachable(views, "7"); n != members {
		t.Fatalf("%d of %d members are reachable", n, members)
	}
	for i := 0; i < members; i += 3 {
		delete(views, fmt.Sprint(i))
	}
	rounds(40)
	if n := reachable(views, "7"); n != len(views) {
		t.Fatalf("%d of %d members are reachable after a third has left", n, len(views))
	}
	for name, v := range views {
		if v.Len() > Capacity || len(v.Sample()) > SampleSize {
			t.Fatalf("member %s: view of %d addresses, sample of %d", name, v.Len(), len(v.Sample()))
		}
	}
}

func reachable(views map[string]*View, from string) int {
	seen := map[string]bool{from: true}
	todo := []string{from}
	for len(todo) > 0 {
		v := views[todo[0]]
		todo = todo[1:]
		for _, next := range v.Entries() {
			if views[next] != nil && !seen[next] {
				seen[next] = true
				todo = append(todo, next)
			}
		}
	}
	return len(seen)
}
