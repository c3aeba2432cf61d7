// Package dissemination provides a store of small records that all brokers replicate by epidemic gossip. New records are
// pushed to a few peers at once; background anti-entropy compares digests and delivers records that a push missed. The
// newest version of a record wins.
//
// The package does no I/O, reads no clock and starts no goroutines.
package dissemination

import (
	"encoding/gob"
	"hash/fnv"
	"maps"
	"slices"
)

// Buckets is the number of buckets of a digest. Reconciliation lists only the records of buckets that differ.
const Buckets = 64

// Version orders the versions of one record, first by epoch, then by sequence.
type Version struct {
	Epoch    uint64
	Sequence uint64
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	return v.Epoch < w.Epoch || v.Epoch == w.Epoch && v.Sequence < w.Sequence
}

// Record is one entry, identified by a kind and a key within that kind.
type Record struct {
	Kind    byte
	Key     string
	Version Version
	Body    any // must be of a type registered with RegisterBody
}

// bodies holds a value of each registered body type, by registered name.
var bodies = map[string]any{}

// RegisterBody registers a type of record bodies. Brokers of different releases identify the type by the name. It must
// be called before main, in an init function.
func RegisterBody(name string, body any) {
	gob.RegisterName(name, body)
	bodies[name] = body
}

// Bodies returns a value of each registered body type, sorted by name.
func Bodies() []any {
	var out []any
	for _, name := range slices.Sorted(maps.Keys(bodies)) {
		out = append(out, bodies[name])
	}
	return out
}

// Renewer is a body that may be a renewal, which changes nothing and only confirms that its subject is alive.
type Renewer interface {
	// Renews reports whether the body has the same content as an earlier body of the record. earlier is nil if there was
	// none.
	Renews(earlier any) bool
}

// ID identifies a record in all its versions.
type ID struct {
	Kind byte
	Key  string
}

// Heading is a record without its body.
type Heading struct {
	ID      ID
	Version Version
}

// Digest holds a checksum of the records of each bucket.
type Digest [Buckets]uint64

// Store holds the newest version of each record that this broker knows.
type Store struct {
	records map[ID]Record
	dropped map[ID]Version // versions of dropped records, so that older copies are refused
	digest  Digest
}

// New returns an empty store.
func New() *Store { return &Store{records: map[ID]Record{}, dropped: map[ID]Version{}} }

// Put stores a record and returns true, or returns false if the store has this version or a newer one.
func (s *Store) Put(r Record) bool {
	id := ID{r.Kind, r.Key}
	if droppedVersion, dropped := s.dropped[id]; dropped && !droppedVersion.Less(r.Version) {
		return false
	}
	old, known := s.records[id]
	if known && !old.Version.Less(r.Version) {
		return false
	}
	if known {
		s.toggleDigest(id, old.Version)
	}
	s.records[id] = r
	s.toggleDigest(id, r.Version)
	delete(s.dropped, id)
	return true
}

// Drop removes a record. Put refuses copies that are not newer than the dropped version.
func (s *Store) Drop(id ID) {
	old, known := s.records[id]
	if !known {
		return
	}
	s.toggleDigest(id, old.Version)
	delete(s.records, id)
	s.dropped[id] = old.Version
}

// Get returns a record.
func (s *Store) Get(id ID) (Record, bool) {
	r, known := s.records[id]
	return r, known
}

// Len returns the number of records.
func (s *Store) Len() int { return len(s.records) }

// OfKind returns all records of a kind, sorted by key.
func (s *Store) OfKind(kind byte) []Record {
	var out []Record
	for id, r := range s.records {
		if id.Kind == kind {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return compareKeys(a.Key, b.Key) })
	return out
}

func compareKeys(a, b string) int {
	if a < b {
		return -1
	} else if a > b {
		return 1
	}
	return 0
}

// toggleDigest adds a version to the digest, or removes it: the digest is the XOR of the versions' checksums.
func (s *Store) toggleDigest(id ID, v Version) {
	bucket := bucketOf(id)
	s.digest[bucket] ^= checksum(id, v)
}

func bucketOf(id ID) int { return int(checksum(id, Version{}) % Buckets) }

func checksum(id ID, v Version) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte{id.Kind})
	hash.Write([]byte(id.Key))
	var tail [16]byte
	for i := range 8 {
		tail[i] = byte(v.Epoch >> (8 * i))
		tail[8+i] = byte(v.Sequence >> (8 * i))
	}
	hash.Write(tail[:])
	x := hash.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// Digest returns the digest of the store.
func (s *Store) Digest() Digest { return s.digest }

// Headings returns the headings of the records in the buckets that differ from a peer's digest.
func (s *Store) Headings(peer Digest) []Heading {
	var out []Heading
	for id, r := range s.records {
		if bucket := bucketOf(id); s.digest[bucket] != peer[bucket] {
			out = append(out, Heading{ID: id, Version: r.Version})
		}
	}
	return out
}

// Compare compares the store with a peer's headings for the buckets that differ. It returns the records that are newer
// here or absent at the peer, and the IDs of the records that the peer has newer.
func (s *Store) Compare(peer Digest, headings []Heading) (newer []Record, wanted []ID) {
	peerVersions := make(map[ID]Version, len(headings))
	for _, h := range headings {
		peerVersions[h.ID] = h.Version
		ours, known := s.records[h.ID]
		droppedVersion, dropped := s.dropped[h.ID]
		if known && ours.Version.Less(h.Version) || !known && !(dropped && !droppedVersion.Less(h.Version)) {
			wanted = append(wanted, h.ID)
		}
	}
	for id, r := range s.records {
		if bucket := bucketOf(id); s.digest[bucket] == peer[bucket] {
			continue
		}
		if version, known := peerVersions[id]; !known || version.Less(r.Version) {
			newer = append(newer, r)
		}
	}
	return newer, wanted
}

// GetAll returns the records with these IDs that the store has.
func (s *Store) GetAll(ids []ID) []Record {
	var out []Record
	for _, id := range ids {
		if r, known := s.records[id]; known {
			out = append(out, r)
		}
	}
	return out
}

// ForgetDropped limits the number of remembered dropped records.
func (s *Store) ForgetDropped(limit int) {
	for len(s.dropped) > limit {
		for id := range maps.Keys(s.dropped) {
			delete(s.dropped, id)
			break
		}
	}
}
