// Package controlstate is the fleet's control state as the register holds it: the operator's configuration, the orders that were
// taken, the versions of weights, and leases with their fencing tokens. Its changes are pure functions from one state to the next.
// It is written as a document of sections, so that a change of one costs nothing of the others.
package controlstate

import (
	"crypto/sha256"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/weights"
)

const (
	mostTaken  = 1024 // orders that are remembered; of older ones it is not said whether they were taken
	digestSize = 12
)

// ErrConflict says that a change builds on another version than the one in force.
var ErrConflict = errors.New("another version is in force")

// ErrForgotten says that an order builds on a version so old that it is not known any more whether it was taken.
var ErrForgotten = errors.New("the order is too old to tell whether it was taken")

// ErrOld says that a configuration's version does not rise.
var ErrOld = errors.New("the version is not above the one in force")

// ErrHeld says that a lease is held by another.
var ErrHeld = errors.New("the lease is held by another")

// Digest identifies an order of the operator.
type Digest [digestSize]byte

// Lease is the right to act alone in one role.
type Lease struct {
	Holder  string
	Token   uint64 // rises with each change of holder
	Renewal uint64 // rises with each renewal
}

// State is the whole control state.
type State struct {
	Version int64    // of the configuration; 0: none yet
	Config  []byte   // as the operator sent it, or as a change by names made it
	Taken   []Digest // newest last, at most mostTaken
	Bases   []int64  // the version that each of them was built on
	// Forgotten is the highest version that an order was built on whose digest is not kept any more.
	Forgotten int64
	Weights   map[string]int64 // newest version of each model
	// Named are the versions of each model's weights whose time is still running, above the newest whose time is over. A state
	// of an earlier version of the program has none: its versions were named long ago.
	Named  map[string][]weights.Naming
	Leases map[string]Lease

	changes map[string]uint64 // of each section but the configuration's
}

// DigestOf identifies a configuration and the version that it builds on.
func DigestOf(base int64, raw []byte) Digest {
	hash := sha256.New()
	for shift := 0; shift < 64; shift += 8 {
		hash.Write([]byte{byte(base >> shift)})
	}
	hash.Write(raw)
	return Digest(hash.Sum(nil)[:digestSize])
}

// Replace takes a configuration that builds on version base. taken: it had been taken before, and nothing changes.
func (s State) Replace(base, version int64, raw []byte) (next State, taken bool, err error) {
	return s.take(DigestOf(base, raw), base, version, func([]byte) ([]byte, error) { return raw, nil })
}

// Update takes a change of the configuration with version base; apply makes the whole of what that was. taken: the change
// had been taken before, and nothing changes.
func (s State) Update(base, version int64, raw []byte, apply func(whole []byte) ([]byte, error)) (next State, taken bool, err error) {
	return s.take(DigestOf(base, slices.Concat([]byte(updateMark), raw)), base, version, apply)
}

// updateMark sets the digests of changes apart from those of whole configurations, which are JSON objects.
const updateMark = "update\x00"

// take takes an order that builds on version base and makes the whole of what that was. Whether it was taken before is
// looked at first: what was acknowledged is never refused, whatever has followed it.
func (s State) take(digest Digest, base, version int64, apply func(whole []byte) ([]byte, error)) (next State, taken bool, err error) {
	if slices.Contains(s.Taken, digest) {
		return s, true, nil
	}
	if base != s.Version {
		if base <= s.Forgotten && len(s.Taken) == mostTaken {
			return s, false, ErrForgotten
		}
		return s, false, ErrConflict
	}
	if version <= s.Version {
		return s, false, ErrOld
	}
	raw, err := apply(s.Config)
	if err != nil {
		return s, false, err
	}
	next = s
	next.Version = version
	next.Config = raw
	next.remember(digest, base)
	next.changed(ordersSection)
	return next, false, nil
}

// remember adds an order to those that are known, and forgets the oldest where there are too many. A state of an earlier
// version of the program has no bases: its orders count as built on the version in force then.
func (s *State) remember(digest Digest, base int64) {
	bases := slices.Clone(s.Bases)
	for len(bases) < len(s.Taken) {
		bases = append(bases, base)
	}
	s.Taken = append(slices.Clone(s.Taken), digest)
	s.Bases = append(bases, base)
	if over := len(s.Taken) - mostTaken; over > 0 {
		s.Forgotten = max(s.Forgotten, slices.Max(s.Bases[:over]))
		s.Taken, s.Bases = s.Taken[over:], s.Bases[over:]
	}
}

// changed counts a change of a section.
func (s *State) changed(section string) { s.changes = with(s.changes, section, s.changes[section]+1) }

// NameWeights takes a version of a model's weights; one that is not above the newest changes nothing.
func (s State) NameWeights(model string, version int64) (next State, changed bool) {
	if version <= s.Weights[model] {
		return s, false
	}
	next = s
	next.Weights = with(s.Weights, model, version)
	next.Named = with(s.Named, model, append(slices.Clone(s.Named[model]), weights.Naming{Version: version}))
	next.changed(weightsSection)
	return next, true
}

// AgeWeights notes how long ago versions of a model's weights were named, as a broker knows it. grace is how long a version
// stands beside older ones.
func (s State) AgeWeights(model string, known []weights.Naming, grace time.Duration) State {
	merged := weights.Merge(s.Named[model], known, grace)
	if slices.Equal(merged, s.Named[model]) {
		return s
	}
	next := s
	next.Named = with(s.Named, model, merged)
	next.changed(weightsSection)
	return next
}

// with is a copy of m that holds value under key.
func with[V any](m map[string]V, key string, value V) map[string]V {
	out := make(map[string]V, len(m)+1)
	maps.Copy(out, m)
	out[key] = value
	return out
}

// Acquire gives a lease to holder, or renews it. seen is the lease as holder last saw it: one that has been renewed
// or has changed hands since is not taken away. fresh: the holder's process has not held it yet and gets a new token.
func (s State) Acquire(role, holder string, seen Lease, fresh bool) (next State, err error) {
	present := s.Leases[role]
	if present.Holder != holder && present != seen {
		return s, ErrHeld
	}
	lease := Lease{Holder: holder, Token: present.Token, Renewal: present.Renewal + 1}
	if present.Holder != holder || fresh {
		lease.Token++
	}
	next = s
	next.Leases = with(s.Leases, role, lease)
	next.changed(leasesSection)
	return next, nil
}
