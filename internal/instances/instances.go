// Package instances is the registry of service instances. They tell any broker of themselves by heartbeats; the
// brokers tell each other. It has no I/O, clock or goroutine: times are given by the caller.
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

// RecordKind is the kind of the instances' records.
const RecordKind = 'i'

const (
	// ReportEvery is how often an unchanged instance is told of anew, so that the others know it lives.
	ReportEvery = 4 * time.Second
	staleAfter  = 20 * time.Second // an instance that nobody has heard of for so long is gone
	forgetAfter = 60 * time.Second // one that is gone is forgotten after so long

	// goneEpoch is the epoch of records which say that an instance is gone. Earlier releases write 1.
	goneEpoch = math.MaxUint64
	// firstDisplaced is the epoch of the first record which says that an instance is displaced; 1 is what earlier releases give
	// to records of those that are gone. When the instance tells of itself again the epoch rises by one, and so on.
	firstDisplaced = 2
)

// State is what an instance says of itself.
type State int

const (
	Ready State = iota + 1
	Draining
	Gone
	// Displaced: another instance answers at its address. It is used no more until it tells of itself again.
	Displaced
)

// Model is a model that an instance runs, with the version of its weights.
type Model struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
}

// Instance is what the fleet knows of one instance.
type Instance struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int
	State    State
	Cold     time.Duration // how much longer it is slow from its start
	Models   []Model
	Sequence uint64 // of the heartbeat that told this
	Epoch    uint64 // rises when the instance is displaced, and when it tells of itself after that
}

// VersionOf is the version of a model's weights that the instance runs; 0: it has not told.
func (i *Instance) VersionOf(model string) int64 {
	for _, m := range i.Models {
		if m.Name == model {
			return m.Version
		}
	}
	return 0
}

// heartbeat is the body of a heartbeat.
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

// ParseHeartbeat reads the body of a heartbeat.
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

// used says whether requests may go to the instance, as far as its state goes.
func (i *Instance) used() bool { return i.State != Gone && i.State != Displaced }

// Record is the instance as it is told to the other brokers.
func (i Instance) Record() dissemination.Record {
	version := dissemination.Version{Epoch: i.Epoch, Sequence: i.Sequence}
	if i.State == Gone {
		version.Epoch = goneEpoch
	}
	return dissemination.Record{Kind: RecordKind, Key: i.ID, Version: version, Body: i}
}

// Renews implements dissemination.Renewer.
func (i Instance) Renews(earlier any) bool {
	before, ok := earlier.(Instance)
	return ok && same(before, i)
}

// entry is an instance with what this broker knows of its life.
type entry struct {
	Instance
	heard     time.Time // that it lives
	told      time.Time // by this broker to the others
	unused    time.Time // since when it is gone or displaced
	ending    time.Time // when this broker first knew that it drains or has gone
	confirmed State     // Draining or Gone, once enough brokers were told by this one
}

// Registry holds all instances that this broker knows. One goroutine at a time may use it.
type Registry struct {
	entries map[string]*entry
	changes uint64
}

// New makes an empty registry.
func New() *Registry { return &Registry{entries: map[string]*entry{}} }

// Heard is what follows from a heartbeat.
type Heard struct {
	Tell      bool       // the other brokers are to be told of the instance
	Late      bool       // a newer heartbeat has been heard, or the instance is gone
	Displaced []Instance // earlier instances at its address; the others are to be told of them
}

// Heartbeat takes what an instance said to this broker.
func (r *Registry) Heartbeat(i Instance, now time.Time) Heard {
	e := r.entries[i.ID]
	if e != nil && (e.State == Gone || i.Sequence <= e.Sequence) {
		return Heard{Late: true}
	}
	heard := Heard{Tell: e == nil || !same(e.Instance, i) || now.Sub(e.told) >= ReportEvery}
	switch {
	case e == nil:
		heard.Displaced = r.displaceOthers(i, now)
	case e.State == Displaced:
		i.Epoch = e.Epoch + 1
	default:
		i.Epoch = e.Epoch
	}
	r.put(i, now)
	if heard.Tell {
		r.entries[i.ID].told = now
	}
	return heard
}

// Take takes what another broker told. changed: something other than the time it was heard.
func (r *Registry) Take(i Instance, now time.Time) (changed bool) {
	e := r.entries[i.ID]
	if e != nil && (e.State == Gone || !e.Record().Version.Less(i.Record().Version)) {
		return false
	}
	changed = e == nil || !same(e.Instance, i)
	if e != nil {
		i.Sequence = max(i.Sequence, e.Sequence) // earlier heartbeats that are on their way say nothing any more
	}
	r.put(i, now)
	r.entries[i.ID].told = now
	return changed
}

// Displace notes that another instance answered at an instance's address. news: the others are to be told.
func (r *Registry) Displace(id string, now time.Time) (displaced Instance, news bool) {
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

// Leave notes that an instance has ended, also one that is not known here. It returns what the others are to be told, and
// whether that is news here.
func (r *Registry) Leave(id string, now time.Time) (gone Instance, news bool) {
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

// EndingSince is when this broker first knew that an instance drains or has gone.
func (r *Registry) EndingSince(id string) time.Time {
	if e := r.entries[id]; e != nil {
		return e.ending
	}
	return time.Time{}
}

// Confirm notes that enough brokers know that an instance drains, or that it has gone.
func (r *Registry) Confirm(i Instance) {
	if e := r.entries[i.ID]; e != nil {
		e.confirmed = max(e.confirmed, i.State)
	}
}

// Confirmed says whether enough brokers know the state that an instance is in, told by this broker. What it heard from
// another broker is not known to be acknowledged by anybody.
func (r *Registry) Confirmed(id string) bool {
	e := r.entries[id]
	return e != nil && e.State != Ready && e.confirmed >= e.State
}

func (r *Registry) put(i Instance, now time.Time) {
	e := r.entries[i.ID]
	if e == nil || !same(e.Instance, i) {
		r.changes++
	}
	if e == nil {
		e = &entry{}
		r.entries[i.ID] = e
	}
	e.Instance, e.heard = i, now
	if !i.used() {
		e.unused = now
	}
	if (i.State == Draining || i.State == Gone) && e.ending.IsZero() {
		e.ending = now
	}
}

// displaceOthers displaces earlier instances at the same address: one process holds an address. Only an instance's own word
// does that; what other brokers tell may be older than what is here.
func (r *Registry) displaceOthers(i Instance, now time.Time) (displaced []Instance) {
	for id, other := range r.entries {
		if other.Address != i.Address || id == i.ID || i.State == Gone {
			continue
		}
		if earlier, news := r.Displace(id, now); news {
			displaced = append(displaced, earlier)
		}
	}
	return displaced
}

// Expire forgets instances that nobody has heard of, and those that have long been gone or displaced. It returns their ids and
// whether any was used.
func (r *Registry) Expire(now time.Time) (forgotten []string, changed bool) {
	for id, e := range r.entries {
		switch {
		case !e.used() && now.Sub(e.unused) > forgetAfter:
			delete(r.entries, id)
			r.changes++
			forgotten = append(forgotten, id)
		case e.used() && now.Sub(e.heard) > staleAfter:
			delete(r.entries, id)
			r.changes++
			forgotten, changed = append(forgotten, id), true
		}
	}
	return forgotten, changed
}

// Changes counts what has changed in the registry, apart from the times of heartbeats.
func (r *Registry) Changes() uint64 { return r.changes }

// All returns the instances that are neither gone nor displaced, by id.
func (r *Registry) All() []Instance {
	return slices.DeleteFunc(r.Known(), func(i Instance) bool { return !i.used() })
}

// Known returns all instances that are not forgotten, also those that are gone or displaced, by id.
func (r *Registry) Known() []Instance {
	var out []Instance
	for _, e := range r.entries {
		out = append(out, e.Instance)
	}
	slices.SortFunc(out, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Get returns one instance, also one that is gone.
func (r *Registry) Get(id string) (Instance, bool) {
	e := r.entries[id]
	if e == nil {
		return Instance{}, false
	}
	return e.Instance, true
}

// SetVersion notes a version of weights that an instance was seen to run.
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

// same says whether two heartbeats tell the same, apart from their time.
func same(a, b Instance) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots && a.State == b.State &&
		(a.Cold > 0) == (b.Cold > 0) && slices.Equal(a.Models, b.Models)
}
