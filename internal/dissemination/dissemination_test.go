package dissemination

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestReconcile reconciles randomly filled stores in pairs while some messages are lost. In the end all stores must
// hold the newest version of every record and have equal digests.
func TestReconcile(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		stores := make([]*Store, 6)
		newest := map[ID]Version{}
		for i := range stores {
			stores[i] = New()
			for range 40 {
				r := Record{Kind: byte('a' + rng.IntN(2)), Key: fmt.Sprint(rng.IntN(30)),
					Version: Version{Epoch: uint64(rng.IntN(2)), Sequence: uint64(rng.IntN(20))}}
				stores[i].Put(r)
				if id := (ID{r.Kind, r.Key}); newest[id].Less(r.Version) || newest[id] == (Version{}) {
					newest[id] = r.Version
				}
			}
		}
		for range 300 {
			a, b := stores[rng.IntN(len(stores))], stores[rng.IntN(len(stores))]
			exchange(a, b, rng)
		}
		for i, s := range stores {
			if s.Digest() != stores[0].Digest() {
				t.Fatalf("seed %d: the digest of store %d differs", seed, i)
			}
			for id, version := range newest {
				if r, known := s.Get(id); !known || r.Version != version {
					t.Fatalf("seed %d: store %d has %v of %v, the newest is %v", seed, i, r.Version, id, version)
				}
			}
		}
	}
}

func exchange(a, b *Store, rng *rand.Rand) {
	theirs := b.Digest()
	headings := b.Headings(a.Digest())
	newer, wanted := a.Compare(theirs, headings)
	if rng.IntN(5) > 0 {
		for _, r := range newer {
			b.Put(r)
		}
	}
	if rng.IntN(5) > 0 {
		for _, r := range b.GetAll(wanted) {
			a.Put(r)
		}
	}
}

func TestDroppedRecordsStayDropped(t *testing.T) {
	a, b := New(), New()
	r := Record{Kind: 'i', Key: "x", Version: Version{Sequence: 4}}
	a.Put(r)
	b.Put(r)
	a.Drop(ID{'i', "x"})
	if a.Put(r) {
		t.Error("an old copy came back")
	}
	if _, wanted := a.Compare(b.Digest(), b.Headings(a.Digest())); len(wanted) > 0 {
		t.Errorf("an old copy is requested: %v", wanted)
	}
	if r.Version.Sequence++; !a.Put(r) {
		t.Error("a newer version was not taken")
	}
	for i := range 10 {
		r := Record{Kind: 'j', Key: fmt.Sprint(i), Version: Version{Sequence: 1}}
		a.Put(r)
		a.Drop(ID{'j', r.Key})
	}
	a.ForgetDropped(3)
	if len(a.dropped) != 3 {
		t.Errorf("%d dropped records are remembered", len(a.dropped))
	}
}
