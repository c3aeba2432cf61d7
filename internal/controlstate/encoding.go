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

// The sections of a state.
const (
	configurationSection = "configuration" // as it is, under its own version
	ordersSection        = "orders"
	weightsSection       = "weights"
	leasesSection        = "leases"
)

// ErrMalformed says that a section cannot be read.
var ErrMalformed = errors.New("malformed control state")

// Encode writes a state in its one form. An empty state is no bytes.
func (s State) Encode() []byte {
	list := []sections.Section{
		{Name: configurationSection, Version: uint64(s.Version), Body: s.Config},
		{Name: ordersSection, Version: s.changes[ordersSection], Body: s.encodeOrders()},
		{Name: weightsSection, Version: s.changes[weightsSection], Body: s.encodeWeights()},
		{Name: leasesSection, Version: s.changes[leasesSection], Body: s.encodeLeases()},
	}
	return sections.New(list...).Text()
}

// Decode reads a state; an empty payload is the state before the first change. The payload must not be changed afterwards.
func Decode(payload []byte) (State, error) {
	s := State{Weights: map[string]int64{}, Leases: map[string]Lease{}}
	if len(payload) == 0 {
		return s, nil
	}
	document, err := sections.Parse(payload)
	if err != nil {
		return State{}, errors.Wrap(err, "decode the control state")
	}
	s.changes = map[string]uint64{}
	for _, section := range document.Sections() {
		in := &reader{rest: section.Body}
		switch section.Name {
		case configurationSection:
			if section.Version > math.MaxInt64 {
				return State{}, errors.Wrapf(ErrMalformed, "version %d", section.Version)
			}
			s.Version, s.Config, in.rest = int64(section.Version), section.Body, nil
		case ordersSection:
			s.decodeOrders(in)
		case weightsSection:
			s.decodeWeights(in)
		case leasesSection:
			s.decodeLeases(in)
		default:
			in.rest = nil // of a later release
		}
		if in.failed || len(in.rest) > 0 {
			return State{}, errors.Wrapf(ErrMalformed, "section %s", section.Name)
		}
		if section.Name != configurationSection {
			s.changes[section.Name] = section.Version
		}
	}
	return s, nil
}

// encodeOrders writes what is forgotten, then each order with the version that it was built on.
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

// encodeWeights writes each model's newest version and the versions whose time is running, by name.
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

// encodeLeases writes the leases by role.
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

// reader reads a section. Once something cannot be read all that follows is empty.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) take(size int) []byte {
	if r.failed || size < 0 || size > len(r.rest) {
		r.failed = true
		return nil
	}
	out := r.rest[:size]
	r.rest = r.rest[size:]
	return out
}

// bytes reads so many; always as many are returned.
func (r *reader) bytes(size int) []byte {
	if out := r.take(size); out != nil {
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
	r.take(size)
	return n
}

func (r *reader) unsigned() uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.failed = true
		return 0
	}
	r.take(size)
	return n
}

// count reads a number of things of which each takes a byte at least.
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
	return string(r.take(int(size)))
}
