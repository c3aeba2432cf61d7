package sections

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// randomDocument returns a document of up to four small sections.
func randomDocument(random *rand.Rand) Document {
	var list []Section
	for at := range random.IntN(5) {
		body := make([]byte, random.IntN(300))
		for i := range body {
			body[i] = byte(random.IntN(4))
		}
		list = append(list, Section{Name: fmt.Sprint("s", at), Version: uint64(random.IntN(1000)), Body: body})
	}
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return New(list...)
}

// mutate returns a document in which some sections of d are changed, removed or added.
func mutate(random *rand.Rand, d Document) Document {
	list := slices.Clone(d.Sections())
	for at := range list {
		if random.IntN(3) == 0 && len(list[at].Body) > 0 {
			list[at].Body = append(slices.Clone(list[at].Body), byte(random.IntN(9)))
			list[at].Version++
		}
	}
	if len(list) > 0 && random.IntN(4) == 0 {
		list = slices.Delete(list, 0, 1)
	}
	if random.IntN(4) == 0 {
		list = append(list, Section{Name: "new", Version: 1, Body: []byte("body")})
	}
	return New(list...)
}

// TestPatches checks on random documents that the encoding is decoded again, that a patch produces the next document in canonical
// form, and that it does not apply to another document.
func TestPatches(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 7))
	for range 5000 {
		base := randomDocument(random)
		next := mutate(random, base)
		read, err := Parse(next.Text())
		if err != nil || read.Sum() != next.Sum() || len(read.Sections()) != len(next.Sections()) {
			t.Fatalf("the decoded document differs: error %v, document %+v", err, read)
		}
		patch, err := UnmarshalPatch(Diff(base, next).Marshal())
		if err != nil {
			t.Fatal(err)
		}
		made, err := patch.Apply(base)
		if err != nil || !bytes.Equal(made.Text(), next.Text()) || made.Sum() != next.Sum() {
			t.Fatalf("the patch produces another document: %v", err)
		}
		if other := randomDocument(random); other.Sum() != base.Sum() {
			if _, err := patch.Apply(other); err == nil {
				t.Fatal("the patch applies to a document that is not its base")
			}
		}
	}
}

// TestUnchangedSectionsAreNotSent checks that a patch does not carry unchanged sections, however large they are.
func TestUnchangedSectionsAreNotSent(t *testing.T) {
	large := Section{Name: "configuration", Version: 7, Body: bytes.Repeat([]byte("0123456789abcdef"), 1<<16)}
	base := New(large, Section{Name: "leases", Version: 1, Body: []byte("one")})
	next := New(large, Section{Name: "leases", Version: 2, Body: []byte("two")})
	patch := Diff(base, next)
	if len(patch.Changes) != 1 || patch.Size() > 100 {
		t.Errorf("the patch has %d changes and %d bytes, want 1 change and at most 100 bytes", len(patch.Changes), patch.Size())
	}
	renumbered := New(Section{Name: "leases", Version: 9, Body: []byte("one")}, large)
	if p := Diff(base, renumbered); len(p.Changes) != 1 || p.Result == base.Sum() {
		t.Errorf("a patch that only changes a section's version: %+v", p)
	}
}

// TestDamagedPatches checks that a damaged patch, or one made from another document, does not apply.
func TestDamagedPatches(t *testing.T) {
	base := New(Section{Name: "a", Version: 1, Body: []byte("one two three")}, Section{Name: "b", Body: []byte("stays")})
	next := New(Section{Name: "a", Version: 2, Body: []byte("one 2 three")}, Section{Name: "b", Body: []byte("stays")})
	for name, damage := range map[string]func(*Patch){
		"other base":      func(p *Patch) { p.Base[0]++ },
		"other result":    func(p *Patch) { p.Result[0]++ },
		"other version":   func(p *Patch) { p.Changes[0].Version++ },
		"other section":   func(p *Patch) { p.Changes[0].Name = "c" },
		"a section twice": func(p *Patch) { p.Changes = append(p.Changes, p.Changes[0]) },
		"removed":         func(p *Patch) { p.Changes[0].Removed = true },
		"other bytes":     func(p *Patch) { p.Changes[0].Hunks[0].Insert = []byte("x") },
		"part too long":   func(p *Patch) { p.Changes[0].Hunks[0].Length = 100 },
		"part below 0":    func(p *Patch) { p.Changes[0].Hunks[0].From = -1 },
		"nothing":         func(p *Patch) { p.Changes = nil },
	} {
		p := Diff(base, next)
		damage(&p)
		if made, err := p.Apply(base); err == nil {
			t.Errorf("%s: the patch applies and produces %q", name, made.Text())
		}
	}
}

func TestMalformed(t *testing.T) {
	whole := New(Section{Name: "a", Version: 3, Body: []byte("body")}, Section{Name: "b", Body: []byte("x")}).Text()
	for at := range whole {
		if _, err := Parse(whole[:at]); err == nil {
			t.Errorf("a document cut off after %d of %d bytes is parsed", at, len(whole))
		}
	}
	for name, text := range map[string]string{
		"trailing bytes":              string(whole) + "x",
		"unordered":                   "gss1\x02\x01b\x00\x00\x01a\x00\x00",
		"duplicate name":              "gss1\x02\x01a\x00\x00\x01a\x00\x00",
		"number not in shortest form": "gss1\x81\x00\x01a\x00\x00",
		"length beyond the end":       "gss1\x01\x01a\x00\xff\xff\xff\xff\x0f",
	} {
		if d, err := Parse([]byte(text)); err == nil {
			t.Errorf("%s: parsed as %+v", name, d)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(New(Section{Name: "a", Version: 3, Body: []byte("body")}).Text())
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Parse(text)
		if err == nil && !bytes.Equal(New(d.Sections()...).Text(), text) {
			t.Fatalf("%q is parsed but is not in canonical form", text)
		}
	})
}

func FuzzUnmarshalPatch(f *testing.F) {
	base := New(Section{Name: "a", Version: 3, Body: []byte("body")}, Section{Name: "b", Body: bytes.Repeat([]byte("long"), 100)})
	next := New(Section{Name: "a", Version: 4, Body: []byte("other")})
	f.Add(Diff(base, next).Marshal())
	f.Add(Diff(next, base).Marshal())
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := UnmarshalPatch(text)
		if err != nil {
			return
		}
		if made, err := p.Apply(base); err == nil && made.Sum() != p.Result {
			t.Fatalf("%q produces a document with another digest", text)
		}
	})
}
