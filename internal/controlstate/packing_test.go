package controlstate

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"gullstair/internal/sections"
	"gullstair/internal/weights"
)

// randomState returns a state after random changes.
func randomState(random *rand.Rand, changes int) State {
	s, _ := Decode(nil)
	for range changes {
		switch random.IntN(5) {
		case 0, 1:
			body := make([]byte, random.IntN(600))
			for i := range body {
				body[i] = byte('a' + random.IntN(5))
			}
			next, _, err := s.Replace(s.Version, s.Version+1+random.Int64N(3), body)
			if err == nil {
				s = next
			}
		case 2:
			s, _ = s.NameWeights(fmt.Sprint("m", random.IntN(3)), random.Int64N(9))
		case 3:
			model := fmt.Sprint("m", random.IntN(3))
			s = s.AgeWeights(model, []weights.Naming{{Version: s.Weights[model], Age: time.Duration(random.IntN(5)) * time.Second}}, 3*time.Second)
		case 4:
			role := fmt.Sprint("role", random.IntN(2))
			if next, err := s.Acquire(role, fmt.Sprint("n", random.IntN(3)), s.Leases[role], random.IntN(2) == 0); err == nil {
				s = next
			}
		}
	}
	return s
}

// equalStates reports whether two states have the same content.
func equalStates(a, b State) bool {
	same := a.Version == b.Version && bytes.Equal(a.Config, b.Config) && a.Forgotten == b.Forgotten && len(a.Taken) == len(b.Taken)
	for at := range a.Taken {
		same = same && a.Taken[at] == b.Taken[at] && a.Bases[at] == b.Bases[at]
	}
	return same && reflect.DeepEqual(a.Leases, b.Leases) && reflect.DeepEqual(a.Weights, b.Weights) && fmt.Sprint(a.Named) == fmt.Sprint(b.Named)
}

// TestWrittenAndRead encodes and decodes random states, packed and unpacked. Each must come back equal and have a single
// encoding.
func TestWrittenAndRead(t *testing.T) {
	random, packer := rand.New(rand.NewPCG(4, 4)), &Packer{}
	for range 2000 {
		s := randomState(random, random.IntN(40))
		text := s.Encode()
		read, err := Decode(text)
		if err != nil || !equalStates(s, read) || !bytes.Equal(read.Encode(), text) {
			t.Fatalf("%+v is decoded as %+v, error %v", s, read, err)
		}
		back, err := packer.Unpack(packer.Pack(text))
		if err != nil || !bytes.Equal(back, text) {
			t.Fatalf("%+v is unpacked as another state, error %v", s, err)
		}
	}
	if text, err := packer.Unpack(nil); err != nil || text != nil || packer.Pack(nil) != nil {
		t.Errorf("an empty payload is unpacked as %q, error %v", text, err)
	}
	if _, err := packer.Unpack([]byte("neither")); err == nil {
		t.Error("a text that is not an encoded state is unpacked without an error")
	}
}

// TestSectionsOfChanges checks that a change rewrites only its own section and raises that section's version.
func TestSectionsOfChanges(t *testing.T) {
	before := randomState(rand.New(rand.NewPCG(8, 4)), 60)
	named, _ := before.NameWeights("m0", 50)
	renewed, _ := before.Acquire("role0", before.Leases["role0"].Holder, before.Leases["role0"], false)
	replaced, _, _ := before.Replace(before.Version, before.Version+1, []byte("other"))
	for what, c := range map[string]struct {
		after   State
		changed map[string]bool
	}{
		"weights named":            {named, map[string]bool{weightsSection: true}},
		"a lease renewed":          {renewed, map[string]bool{leasesSection: true}},
		"a configuration":          {replaced, map[string]bool{configurationSection: true, ordersSection: true}},
		"ages that change nothing": {before.AgeWeights("m0", nil, time.Second), map[string]bool{}},
	} {
		old, _ := sections.Parse(before.Encode())
		next, _ := sections.Parse(c.after.Encode())
		patch := sections.Diff(old, next)
		for _, change := range patch.Changes {
			if section, _ := old.Get(change.Name); !c.changed[change.Name] || change.Version <= section.Version {
				t.Errorf("%s: section %s goes from version %d to %d", what, change.Name, section.Version, change.Version)
			}
		}
		if len(patch.Changes) != len(c.changed) {
			t.Errorf("%s: %d sections differ", what, len(patch.Changes))
		}
	}
}

// earlierReleaseState was written by the release before sections: configuration version 9, two orders, a model with versions 3
// and 4, and a lease.
const earlierReleaseState = "cX8DAQEFU3RhdGUB/4AAAQgBB1ZlcnNpb24BBAABBkNvbmZpZwEKAAEFVGFrZW4B/4QAAQVCYXNlcwH/hgABCUZvcmdvdHRlbgEEAAEHV2VpZ2h0cwH/iAABBU5hbWVkAf+OAAEGTGVhc2VzAf+SAAAAJP+DAgEBFVtdY29udHJvbHN0YXRlLkRpZ2VzdAH/hAAB/4IAABb/gQEBAQZEaWdlc3QB/4IAAQYBGAAAFf+FAgEBB1tdaW50NjQB/4YAAQQAACD/hwQBARBtYXBbc3RyaW5nXWludDY0Af+IAAEMAQQAACz/jQQBARttYXBbc3RyaW5nXVtdd2VpZ2h0cy5OYW1pbmcB/44AAQwB/4wAAA3/iwIBAv+MAAH/igAAKP+JAwEBBk5hbWluZwH/igABAgEHVmVyc2lvbgEEAAEDQWdlAQQAAAAu/5EEAQEdbWFwW3N0cmluZ11jb250cm9sc3RhdGUuTGVhc2UB/5IAAQwB/5AAAC3/jwMBAv+QAAEDAQZIb2xkZXIBDAABBVRva2VuAQYAAQdSZW5ld2FsAQYAAABy/4ABEgETqlYqSy0qzszPU7KyrAUEAAD//wECDP+7/7J4Yj//qf/EEzEHVv+PDP+tBP+e/+tU/+L/0/+f/5cf/6YHAQIABgIBAW0IAQEBbQIBBgH87msoAAABCAABAQl3ZWlnaHRzL20BAm4xAQIBAwAA"

// TestEarlierRelease unpacks a state that the release before sections wrote.
func TestEarlierRelease(t *testing.T) {
	text, err := base64.StdEncoding.DecodeString(earlierReleaseState)
	if err != nil {
		t.Fatal(err)
	}
	packer := &Packer{}
	payload, err := packer.Unpack(text)
	if err != nil {
		t.Fatal(err)
	}
	s, err := Decode(payload)
	if err != nil {
		t.Fatal(err)
	}
	if s.Version != 9 || string(s.Config) != `{"version":9}` || len(s.Taken) != 2 || s.Bases[1] != 3 || s.Weights["m"] != 4 || len(s.Named["m"]) != 2 ||
		s.Leases["weights/m"] != (Lease{Holder: "n1", Token: 2, Renewal: 3}) {
		t.Errorf("decoded state: %+v", s)
	}
	if _, duplicate, err := s.Replace(0, 3, []byte(`{"version":3}`)); err != nil || !duplicate {
		t.Errorf("an order that the earlier release accepted, sent again: duplicate %t, error %v", duplicate, err)
	}
}
