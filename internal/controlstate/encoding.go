package controlstate

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/sections"
	"gullstair/internal/weights"
)

// Names of the sections of an encoded state.
const (
	configurationSection = "configuration" // the operator's text, under the configuration's own version
	ordersSection        = "orders"
	weightsSection       = "weights"
	leasesSection        = "leases"
)

// ErrMalformed means that a section cannot be decoded.
var ErrMalformed = errors.New("malformed control state")

// Encode returns the canonical encoding of a state.
func (s State) Encode() []byte {
	list := []sections.Section{
		{Name: configurationSection, Version: uint64(s.Version), Body: s.Config},
		{Name: ordersSection, Version: s.sectionVersions[ordersSection], Body: s.encodeOrders()},
		{Name: weightsSection, Version: s.sectionVersions[weightsSection], Body: s.encodeWeights()},
		{Name: leasesSection, Version: s.sectionVersions[leasesSection], Body: s.encodeLeases()},
	}
	return sections.New(list...).Text()
}

// Decode decodes a state. An empty payload is the state before the first change. The caller must not modify the payload
// afterwards, because the state refers to it.
func Decode(payload []byte) (State, error) {
	s := State{Weights: map[string]int64{}, Leases: map[string]Lease{}}
	if len(payload) == 0 {
		return s, nil
	}
	document, err := sections.Parse(payload)
	if err != nil {
		return State{}, errors.Wrap(err, "decode the control state")
	}
	s.sectionVersions = map[string]uint64{}
	for _, section := range document.Sections() {
		in := &reader{rest: section.Body}
		switch section.Name {
		case configurationSection:
			if section.Version > math.MaxInt64 {
				return State{}, errors.Wrapf(ErrMalformed, "configuration version %d is out of range", section.Version)
			}
			s.Version, s.Config, in.rest = int64(section.Version), section.Body, nil
		case ordersSection:
			s.decodeOrders(in)
		case weightsSection:
			s.decodeWeights(in)
		case leasesSection:
			s.decodeLeases(in)
		default:
			in.rest = nil // a section that a later release added
		}
		if in.failed || len(in.rest) > 0 {
			return State{}, errors.Wrapf(ErrMalformed, "invalid section %s", section.Name)
		}
		if section.Name != configurationSection {
			s.sectionVersions[section.Name] = section.Version
		}
	}
	return s, nil
}

// encodeOrders writes Forgotten, then each accepted order with its base version.
func (s State) encodeOrders() []byte {
	out := binary.AppendVarint(nil, s.Forgotten)
	for at, digest := range s.Taken {
		out = append(out, digest[:]...)
		base := int64(0)
		if at < len(s.Bases) {
			base = s.Bases[at]
		}
		out = binary.AppendVarint(out, base)
	}
	return out
}

func (s *State) decodeOrders(in *reader) {
	s.Forgotten = in.signed()
	for len(in.rest) > 0 && !in.failed {
		s.Taken = append(s.Taken, Digest(in.bytes(digestSize)))
		s.Bases = append(s.Bases, in.signed())
	}
}

// encodeWeights writes each model's newest version and its named versions with their ages, sorted by model.
func (s State) encodeWeights() []byte {
	var out []byte
	models := slices.Concat(slices.Collect(maps.Keys(s.Weights)), slices.Collect(maps.Keys(s.Named)))
	slices.Sort(models)
	for _, model := range slices.Compact(models) {
		out = appendText(out, model)
		out = binary.AppendVarint(out, s.Weights[model])
		out = binary.AppendUvarint(out, uint64(len(s.Named[model])))
		for _, naming := range s.Named[model] {
			out = binary.AppendVarint(out, naming.Version)
			out = binary.AppendVarint(out, int64(naming.Age))
		}
	}
	return out
}

func (s *State) decodeWeights(in *reader) {
	for len(in.rest) > 0 && !in.failed {
		model := in.text()
		if newest := in.signed(); newest != 0 {
			s.Weights[model] = newest
		}
		for range in.count() {
			if s.Named == nil {
				s.Named = map[string][]weights.Naming{}
			}
			s.Named[model] = append(s.Named[model], weights.Naming{Version: in.signed(), Age: time.Duration(in.signed())})
		}
	}
}

// encodeLeases writes the leases, sorted by role.
func (s State) encodeLeases() []byte {
	var out []byte
	for _, role := range slices.Sorted(maps.Keys(s.Leases)) {
		lease := s.Leases[role]
		out = appendText(out, role)
		out = appendText(out, lease.Holder)
		out = binary.AppendUvarint(out, lease.Token)
		out = binary.AppendUvarint(out, lease.Renewal)
	}
	return out
}

func (s *State) decodeLeases(in *reader) {
	for len(in.rest) > 0 && !in.failed {
		role := in.text()
		s.Leases[role] = Lease{Holder: in.text(), Token: in.unsigned(), Renewal: in.unsigned()}
	}
}

func appendText(out []byte, text string) []byte {
	return append(binary.AppendUvarint(out, uint64(len(text))), text...)
}

// reader decodes the body of a section. After the first failure it sets failed, and the caller discards all values.
type reader struct {
	rest   []byte
	failed bool
}

// next returns the next size bytes, or nil if there are not so many.
func (r *reader) next(size int) []byte {
	if r.failed || size < 0 || size > len(r.rest) {
		r.failed = true
		return nil
	}
	out := r.rest[:size]
	r.rest = r.rest[size:]
	return out
}

// bytes returns the next size bytes, or size zero bytes if there are not so many, so that the result always has that length.
func (r *reader) bytes(size int) []byte {
	if out := r.next(size); out != nil {
		return out
	}
	return make([]byte, size)
}

func (r *reader) signed() int64 {
	n, size := binary.Varint(r.rest)
	if size <= 0 {
		r.failed = true
		return 0
	}
	r.next(size)
	return n
}

func (r *reader) unsigned() uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.failed = true
		return 0
	}
	r.next(size)
	return n
}

// count reads a number of elements. Each element takes at least one byte, so a count above the remaining bytes is malformed.
func (r *reader) count() int {
	n := r.unsigned()
	if n > uint64(len(r.rest)) {
		r.failed = true
		return 0
	}
	return int(n)
}

func (r *reader) text() string {
	size := r.unsigned()
	if size > uint64(len(r.rest)) {
		r.failed = true
		return ""
	}
	return string(r.next(int(size)))
}
