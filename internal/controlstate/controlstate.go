// Package controlstate provides the fleet's control state, which is the payload of the replicated register: the operator's
// configuration, the orders that were accepted, the versions of model weights, and leases with their fencing tokens. Each change
// is a pure function from one state to the next. The encoded form is a document of sections, so that a change of one section does
// not send the others. The package does no I/O.
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
	maxTakenOrders = 1024 // older orders are forgotten: whether they were accepted is unknown
	digestSize     = 12   // bytes of SHA-256 that identify an order
)

// ErrConflict means that an order builds on a version other than the one in force.
var ErrConflict = errors.New("another version is in force")

// ErrForgotten means that an order builds on so old a version that the state no longer records whether it was accepted.
var ErrForgotten = errors.New("the order is too old to tell whether it was taken")

// ErrStaleVersion means that a configuration's version is not above the one in force.
var ErrStaleVersion = errors.New("the version is not above the one in force")

// ErrLeaseHeld means that another holder has the lease.
var ErrLeaseHeld = errors.New("the lease is held by another")

// Digest identifies an operator's order. It is a truncated SHA-256 hash of the order's content and base version.
type Digest [digestSize]byte

// Lease is the exclusive right to act in one role.
type Lease struct {
	Holder  string
	Token   uint64 // fencing token; increases with each change of holder
	Renewal uint64 // increases with each renewal
}

// State is the complete control state. Its exported methods do not modify it; they return a changed copy.
type State struct {
	Version int64    // version of the configuration; 0 if there is none yet
	Config  []byte   // as the operator sent it, or as a patch produced it
	Taken   []Digest // accepted orders, newest last, at most maxTakenOrders
	Bases   []int64  // base version of each order in Taken
	// Forgotten is the highest base version of the orders that were dropped from Taken.
	Forgotten int64
	Weights   map[string]int64 // newest version of each model's weights
	// Named holds, for each model, the newest version of the weights whose grace period has passed and all versions above it. A
	// state that an earlier release wrote has none; its versions count as named long ago.
	Named  map[string][]weights.Naming
	Leases map[string]Lease // by role

	sectionVersions map[string]uint64 // by section, without the configuration section
}

// DigestOf returns the digest of a configuration and its base version.
func DigestOf(base int64, raw []byte) Digest {
	hash := sha256.New()
	for shift := 0; shift < 64; shift += 8 {
		hash.Write([]byte{byte(base >> shift)})
	}
	hash.Write(raw)
	return Digest(hash.Sum(nil)[:digestSize])
}

// Replace accepts a complete configuration that builds on version base. duplicate reports that the same order was accepted
// before; the state is then unchanged.
func (s State) Replace(base, version int64, raw []byte) (next State, duplicate bool, err error) {
	return s.acceptOrder(DigestOf(base, raw), base, version, func([]byte) ([]byte, error) { return raw, nil })
}

// Update accepts a patch of the configuration with version base. apply returns the complete new configuration for the present one.
// duplicate reports that the same order was accepted before; the state is then unchanged.
func (s State) Update(base, version int64, raw []byte, apply func(whole []byte) ([]byte, error)) (next State, duplicate bool, err error) {
	return s.acceptOrder(DigestOf(base, slices.Concat([]byte(updateDigestPrefix), raw)), base, version, apply)
}

// updateDigestPrefix separates the digests of patches from those of complete configurations, which are JSON objects.
const updateDigestPrefix = "update\x00"

// acceptOrder accepts an order that builds on version base; apply returns the new configuration for the present one. It looks for
// a duplicate first: an order that was acknowledged is never refused later, whatever orders followed it.
func (s State) acceptOrder(digest Digest, base, version int64, apply func(whole []byte) ([]byte, error)) (next State, duplicate bool, err error) {
	if slices.Contains(s.Taken, digest) {
		return s, true, nil
	}
	if base != s.Version {
		if base <= s.Forgotten && len(s.Taken) == maxTakenOrders {
			return s, false, ErrForgotten
		}
		return s, false, ErrConflict
	}
	if version <= s.Version {
		return s, false, ErrStaleVersion
	}
	raw, err := apply(s.Config)
	if err != nil {
		return s, false, err
	}
	next = s
	next.Version = version
	next.Config = raw
	next.recordOrder(digest, base)
	next.bumpVersion(ordersSection)
	return next, false, nil
}

// recordOrder adds an order to Taken and drops the oldest ones above maxTakenOrders. A state that an earlier release wrote has no
// base versions; its orders count as built on the version now in force.
func (s *State) recordOrder(digest Digest, base int64) {
	bases := slices.Clone(s.Bases)
	for len(bases) < len(s.Taken) {
		bases = append(bases, base)
	}
	s.Taken = append(slices.Clone(s.Taken), digest)
	s.Bases = append(bases, base)
	if over := len(s.Taken) - maxTakenOrders; over > 0 {
		s.Forgotten = max(s.Forgotten, slices.Max(s.Bases[:over]))
		s.Taken, s.Bases = s.Taken[over:], s.Bases[over:]
	}
}

// bumpVersion increments the version of a section that changed.
func (s *State) bumpVersion(section string) {
	s.sectionVersions = withEntry(s.sectionVersions, section, s.sectionVersions[section]+1)
}

// NameWeights records that the operator named a new version of a model's weights. A version that is not above the newest is
// ignored.
func (s State) NameWeights(model string, version int64) (next State, changed bool) {
	if version <= s.Weights[model] {
		return s, false
	}
	next = s
	next.Weights = withEntry(s.Weights, model, version)
	next.Named = withEntry(s.Named, model, append(slices.Clone(s.Named[model]), weights.Naming{Version: version}))
	next.bumpVersion(weightsSection)
	return next, true
}

// AgeWeights merges the ages of a model's versions that a broker knows into the state. grace is how long after the naming of a
// version requests may still be sent to older ones.
func (s State) AgeWeights(model string, known []weights.Naming, grace time.Duration) State {
	merged := weights.Merge(s.Named[model], known, grace)
	if slices.Equal(merged, s.Named[model]) {
		return s
	}
	next := s
	next.Named = withEntry(s.Named, model, merged)
	next.bumpVersion(weightsSection)
	return next
}

// withEntry returns a copy of m with value stored under key.
func withEntry[V any](m map[string]V, key string, value V) map[string]V {
	out := make(map[string]V, len(m)+1)
	maps.Copy(out, m)
	out[key] = value
	return out
}

// Acquire gives a lease to holder, or renews it. seen is the lease as holder last observed it; if another holder has renewed or
// acquired it since, Acquire returns ErrLeaseHeld. fresh means that the holder's process has not held the lease yet and needs a new
// token.
func (s State) Acquire(role, holder string, seen Lease, fresh bool) (next State, err error) {
	present := s.Leases[role]
	if present.Holder != holder && present != seen {
		return s, ErrLeaseHeld
	}
	lease := Lease{Holder: holder, Token: present.Token, Renewal: present.Renewal + 1}
	if present.Holder != holder || fresh {
		lease.Token++
	}
	next = s
	next.Leases = withEntry(s.Leases, role, lease)
	next.bumpVersion(leasesSection)
	return next, nil
}
