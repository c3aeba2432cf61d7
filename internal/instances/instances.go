// Package instances provides the registry of service instances. An instance sends its heartbeats to any broker, and the
// brokers disseminate them as records. The package does no I/O and has no clock or goroutine: the caller passes the time.
package instances

import (
	"encoding/json"
	"math"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/dissemination"
)

// RecordKind is the kind of the dissemination records that describe instances.
const RecordKind = 'i'

const (
	// PublishInterval is the interval at which the record of an unchanged instance is published again, so that the other brokers
	// know that it is alive.
	PublishInterval = 4 * time.Second
	staleAfter      = 20 * time.Second // an instance without heartbeats or records for longer is removed
	forgetAfter     = 60 * time.Second // an instance that is gone or displaced is removed after this time

	// goneEpoch is the epoch of records of instances that are gone. Earlier releases write 1.
	goneEpoch = math.MaxUint64
	// firstDisplaced is the epoch of the first record that marks an instance as displaced; it is not 1 because earlier
	// releases use 1 for instances that are gone. The next heartbeat of the instance raises the epoch by one, as does every
	// later change between the two states.
	firstDisplaced = 2
)

// State is the state of an instance.
type State int

const (
	Ready State = iota + 1
	Draining
	Gone
	// Displaced means that another instance answers at its address. It gets no requests until its next heartbeat.
	Displaced
)

// Model is a model that an instance serves, with the version of its weights.
type Model struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
}

// Instance describes one service instance.
type Instance struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int
	State    State
	Cold     time.Duration // how much longer its slow start lasts
	Models   []Model
	Sequence uint64 // number of the heartbeat that this description comes from
	Epoch    uint64 // rises when the instance is displaced and at its first heartbeat after that
}

// VersionOf returns the version of a model's weights that the instance serves, or 0 if it has not reported one.
func (i *Instance) VersionOf(model string) int64 {
	for _, m := range i.Models {
		if m.Name == model {
			return m.Version
		}
	}
	return 0
}

// heartbeat is the JSON body of a heartbeat request.
type heartbeat struct {
	Service         string  `json:"service"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	Slots           int     `json:"slots"`
	State           string  `json:"state"`
	ColdRemainingMs float64 `json:"cold_remaining_ms"`
	Models          []Model `json:"models"`
	Sequence        uint64  `json:"sequence"`
}

func init() { dissemination.RegisterBody("i", Instance{}) }

// ParseHeartbeat parses the body of a heartbeat of the instance id.
func ParseHeartbeat(id string, body []byte) (Instance, error) {
	h := heartbeat{}
	if err := json.Unmarshal(body, &h); err != nil {
		return Instance{}, errors.Wrap(err, "heartbeat cannot be read")
	}
	if _, _, err := net.SplitHostPort(h.Address); err != nil {
		return Instance{}, errors.Wrap(err, "address")
	}
	if id == "" || h.Service == "" {
		return Instance{}, errors.New("heartbeat without id or service")
	}
	i := Instance{ID: id, Service: h.Service, Address: h.Address, Zone: h.Zone, Slots: h.Slots, State: Ready,
		Cold: time.Duration(h.ColdRemainingMs * float64(time.Millisecond)), Models: h.Models, Sequence: h.Sequence}
	if h.State == "draining" {
		i.State = Draining
	}
	return i, nil
}

// usable reports whether the state of the instance allows requests to it.
func (i *Instance) usable() bool { return i.State != Gone && i.State != Displaced }

// Record returns the record by which the other brokers learn of the instance.
func (i Instance) Record() dissemination.Record {
	version := dissemination.Version{Epoch: i.Epoch, Sequence: i.Sequence}
	if i.State == Gone {
		version.Epoch = goneEpoch
	}
	return dissemination.Record{Kind: RecordKind, Key: i.ID, Version: version, Body: i}
}

// Renews implements dissemination.Renewer: it reports whether i is equivalent to the earlier body.
func (i Instance) Renews(earlier any) bool {
	before, ok := earlier.(Instance)
	return ok && equivalent(before, i)
}

// entry is an instance with the times and acknowledgements that this broker keeps for it.
type entry struct {
	Instance
	lastSeen      time.Time // last heartbeat or record
	lastPublished time.Time // last time that its record was published or received
	unusedSince   time.Time // when it became gone or displaced
	endingSince   time.Time // when this broker first learned that it is draining or gone
	confirmed     State     // Draining or Gone, once enough brokers have acknowledged that state to this one
}

// Registry holds all instances that this broker knows. It is not safe for concurrent use.
type Registry struct {
	entries map[string]*entry
	changes uint64
}

// New returns an empty registry.
func New() *Registry { return &Registry{entries: map[string]*entry{}} }

// HeartbeatResult is the result of a heartbeat.
type HeartbeatResult struct {
	Publish   bool       // the instance's record is to be published to the other brokers
	Stale     bool       // the heartbeat is ignored: a newer one has been received, or the instance is gone
	Displaced []Instance // earlier instances at its address, whose records are to be published
}

// Heartbeat processes a heartbeat that an instance sent to this broker.
func (r *Registry) Heartbeat(i Instance, now time.Time) HeartbeatResult {
	e := r.entries[i.ID]
	if e != nil && (e.State == Gone || i.Sequence <= e.Sequence) {
		return HeartbeatResult{Stale: true}
	}
	result := HeartbeatResult{Publish: e == nil || !equivalent(e.Instance, i) || now.Sub(e.lastPublished) >= PublishInterval}
	switch {
	case e == nil:
		result.Displaced = r.displaceAtSameAddress(i, now)
	case e.State == Displaced:
		i.Epoch = e.Epoch + 1
	default:
		i.Epoch = e.Epoch
	}
	r.put(i, now)
	if result.Publish {
		r.entries[i.ID].lastPublished = now
	}
	return result
}

// ApplyRecord applies a record received from another broker. It reports whether the instance has changed in anything but the
// time at which it was last seen.
func (r *Registry) ApplyRecord(i Instance, now time.Time) (changed bool) {
	e := r.entries[i.ID]
	if e != nil && (e.State == Gone || !e.Record().Version.Less(i.Record().Version)) {
		return false
	}
	changed = e == nil || !equivalent(e.Instance, i)
	if e != nil {
		i.Sequence = max(i.Sequence, e.Sequence) // heartbeats that were sent earlier and arrive later are ignored
	}
	r.put(i, now)
	r.entries[i.ID].lastPublished = now
	return changed
}

// MarkDisplaced marks an instance as displaced because another one answered at its address. It returns the changed instance and
// whether its record is to be published.
func (r *Registry) MarkDisplaced(id string, now time.Time) (displaced Instance, changed bool) {
	e := r.entries[id]
	if e == nil || e.State == Gone || e.State == Displaced {
		return Instance{}, false
	}
	i := e.Instance
	i.State = Displaced
	i.Epoch = max(firstDisplaced, e.Epoch+1)
	r.put(i, now)
	return i, true
}

// MarkGone marks an instance as gone, including one that is not known here. It returns the instance to publish and whether its
// state has changed.
func (r *Registry) MarkGone(id string, now time.Time) (gone Instance, changed bool) {
	e := r.entries[id]
	if e != nil && e.State == Gone {
		return e.Instance, false
	}
	i := Instance{ID: id}
	if e != nil {
		i = e.Instance
	}
	i.State = Gone
	r.put(i, now)
	return i, true
}

// DrainingOrGoneSince returns when this broker first learned that an instance is draining or gone; the zero time if it has not.
func (r *Registry) DrainingOrGoneSince(id string) time.Time {
	if e := r.entries[id]; e != nil {
		return e.endingSince
	}
	return time.Time{}
}

// Confirm records that enough brokers have acknowledged the draining or gone state of an instance.
func (r *Registry) Confirm(i Instance) {
	if e := r.entries[i.ID]; e != nil {
		e.confirmed = max(e.confirmed, i.State)
	}
}

// Confirmed reports whether enough brokers have acknowledged to this broker the draining or gone state that the instance is
// in. A state that this broker received from another one counts as unacknowledged until Confirm is called here.
func (r *Registry) Confirmed(id string) bool {
	e := r.entries[id]
	return e != nil && e.State != Ready && e.confirmed >= e.State
}

func (r *Registry) put(i Instance, now time.Time) {
	e := r.entries[i.ID]
	if e == nil || !equivalent(e.Instance, i) {
		r.changes++
	}
	if e == nil {
		e = &entry{}
		r.entries[i.ID] = e
	}
	e.Instance, e.lastSeen = i, now
	if !i.usable() {
		e.unusedSince = now
	}
	if (i.State == Draining || i.State == Gone) && e.endingSince.IsZero() {
		e.endingSince = now
	}
}

// displaceAtSameAddress marks earlier instances at the same address as displaced: an address belongs to one process. It is called
// only for heartbeats, because records from other brokers may be older than the local state.
func (r *Registry) displaceAtSameAddress(i Instance, now time.Time) (displaced []Instance) {
	for id, other := range r.entries {
		if other.Address != i.Address || id == i.ID || i.State == Gone {
			continue
		}
		if earlier, changed := r.MarkDisplaced(id, now); changed {
			displaced = append(displaced, earlier)
		}
	}
	return displaced
}

// Expire removes instances that were last seen more than staleAfter ago, and those that have been gone or displaced for
// longer than forgetAfter. It returns the ids of the removed instances and whether any of them could still get requests.
func (r *Registry) Expire(now time.Time) (forgotten []string, changed bool) {
	for id, e := range r.entries {
		switch {
		case !e.usable() && now.Sub(e.unusedSince) > forgetAfter:
			delete(r.entries, id)
			r.changes++
			forgotten = append(forgotten, id)
		case e.usable() && now.Sub(e.lastSeen) > staleAfter:
			delete(r.entries, id)
			r.changes++
			forgotten, changed = append(forgotten, id), true
		}
	}
	return forgotten, changed
}

// Changes returns a counter that rises with every change of the registry other than the times and sequences of heartbeats.
func (r *Registry) Changes() uint64 { return r.changes }

// Active returns the instances that are neither gone nor displaced, sorted by id.
func (r *Registry) Active() []Instance {
	return slices.DeleteFunc(r.Known(), func(i Instance) bool { return !i.usable() })
}

// Known returns all instances in the registry, including those that are gone or displaced, sorted by id.
func (r *Registry) Known() []Instance {
	var out []Instance
	for _, e := range r.entries {
		out = append(out, e.Instance)
	}
	slices.SortFunc(out, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Get returns an instance, even if it is gone or displaced.
func (r *Registry) Get(id string) (Instance, bool) {
	e := r.entries[id]
	if e == nil {
		return Instance{}, false
	}
	return e.Instance, true
}

// SetVersion records the version of a model's weights that an instance was observed to serve.
func (r *Registry) SetVersion(id, model string, version int64) (changed bool) {
	e := r.entries[id]
	if e == nil || e.VersionOf(model) == version {
		return false
	}
	models := slices.Clone(e.Models)
	at := slices.IndexFunc(models, func(m Model) bool { return m.Name == model })
	if at < 0 {
		return false
	}
	models[at].Version = version
	e.Models = models
	r.changes++
	return true
}

// equivalent reports whether two descriptions of an instance are equal apart from sequence, epoch and the remaining slow start.
func equivalent(a, b Instance) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots && a.State == b.State &&
		(a.Cold > 0) == (b.Cold > 0) && slices.Equal(a.Models, b.Models)
}
