// Package rollout plans how the instances of a service load a new version of a model's weights: which instances are ordered to load
// it now, and which are polled for completion. The package does no I/O, reads no clock and starts no goroutines.
package rollout

import (
	"cmp"
	"slices"
	"time"

	"gullstair/internal/dissemination"
	"gullstair/internal/instances"
)

// RecordKind is the kind of the records that carry an instance's Progress to the other brokers.
const RecordKind = 'v'

const (
	initialDivisor = 6                       // at first one in this many instances loads at a time, because concurrent loads slow each other down
	firstPollDelay = 350 * time.Millisecond  // from the time an instance accepts an order to the first poll
	pollInterval   = 150 * time.Millisecond  // between later polls
	orderTimeout   = 8 * time.Second         // an order that is not complete by then is sent again
	silenceTimeout = time.Second             // an instance that does not reply for longer frees its place for another
	rampUpAfter    = 2500 * time.Millisecond // after this time more instances may load at a time
	rampUpInterval = 500 * time.Millisecond  // the number rises again after each such interval
	retryDelay     = 300 * time.Millisecond  // before an instance that failed to accept an order is ordered again
)

// Progress is the state of one instance's load as it is sent to the fleet. It travels between brokers under the names of its
// fields.
type Progress struct {
	ID      string
	Model   string
	Version int64
	Loading bool // false once the instance runs Version
}

func init() { dissemination.RegisterBody("v", Progress{}) }

// Record returns the progress as a record for dissemination. Its sequence rises with the version, and from loading to done.
func (p Progress) Record() dissemination.Record {
	sequence := 2 * uint64(p.Version)
	if !p.Loading {
		sequence++
	}
	return dissemination.Record{Kind: RecordKind, Key: p.ID + "/" + p.Model, Version: dissemination.Version{Sequence: sequence}, Body: p}
}

// pendingOrder is an order that was sent to an instance and is not complete.
type pendingOrder struct {
	version   int64
	orderedAt time.Time
	pollDue   time.Time // when to poll the instance next
	lastReply time.Time // or orderedAt, if the instance has not replied yet
	accepted  bool      // the instance has accepted the order
}

// Planner plans the rollout of one model. It is not safe for concurrent use.
type Planner struct {
	model   string
	pending map[string]*pendingOrder // by instance
	retryAt map[string]time.Time     // by instance; no new order before this time
}

// New returns a planner without pending orders.
func New(model string) *Planner {
	return &Planner{model: model, pending: map[string]*pendingOrder{}, retryAt: map[string]time.Time{}}
}

// Lagging returns the instances that run an older version than this one, in the order of all. It leaves out instances that are
// gone.
func Lagging(all []instances.Instance, model string, version int64) []instances.Instance {
	var out []instances.Instance
	for _, i := range all {
		if current := i.VersionOf(model); i.State != instances.Gone && current > 0 && current < version {
			out = append(out, i)
		}
	}
	return out
}

// Plan returns the instances to order now and those to poll for completion. since returns when the first version above a given one
// was named; the longer ago that is, the more of the instances that run the given version load at a time. Instances with the
// oldest weights come first.
func (p *Planner) Plan(now time.Time, since func(version int64) time.Time, all []instances.Instance, version int64) (order, pollDue []instances.Instance) {
	lagging := Lagging(all, p.model, version)
	p.dropFinished(now, lagging, version)
	running := p.countRunning(all)
	slices.SortStableFunc(lagging, p.compareUrgency)
	for _, i := range lagging {
		pending := p.pending[i.ID]
		switch {
		case pending == nil && now.After(p.retryAt[i.ID]) && len(p.pending) < maxConcurrentLoads(running, now.Sub(since(i.VersionOf(p.model)))):
			p.pending[i.ID] = &pendingOrder{version: version, orderedAt: now, lastReply: now, pollDue: now.Add(firstPollDelay)}
			order = append(order, i)
		case pending != nil && pending.accepted && !now.Before(pending.pollDue):
			pending.pollDue = now.Add(pollInterval)
			pollDue = append(pollDue, i)
		}
	}
	return order, pollDue
}

// compareUrgency sorts instances by state, so that draining instances come last, and then by version, oldest weights first.
func (p *Planner) compareUrgency(a, b instances.Instance) int {
	return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(a.VersionOf(p.model), b.VersionOf(p.model)))
}

// maxConcurrentLoads returns how many of n instances may load at a time, when elapsed has passed since a newer version was named.
func maxConcurrentLoads(n int, elapsed time.Duration) int {
	divisor := initialDivisor
	for limit := rampUpAfter; elapsed > limit && divisor > 1; limit += rampUpInterval {
		divisor--
	}
	return max(1, (n+divisor-1)/divisor)
}

// countRunning returns the number of instances that run the model.
func (p *Planner) countRunning(all []instances.Instance) int {
	n := 0
	for _, i := range all {
		if i.VersionOf(p.model) > 0 {
			n++
		}
	}
	return n
}

// dropFinished removes pending orders that are complete, belong to an instance that is gone or to another version, or have timed
// out.
func (p *Planner) dropFinished(now time.Time, lagging []instances.Instance, version int64) {
	for id, order := range p.pending {
		lags := slices.ContainsFunc(lagging, func(i instances.Instance) bool { return i.ID == id })
		if !lags || order.version != version || now.Sub(order.orderedAt) > orderTimeout {
			delete(p.pending, id)
		}
	}
}

// Accepted records that an instance has accepted its order.
func (p *Planner) Accepted(id string, now time.Time) {
	if order := p.pending[id]; order != nil {
		order.accepted, order.pollDue, order.lastReply = true, now.Add(firstPollDelay), now
	}
}

// StillLoading records a reply that an instance is still loading.
func (p *Planner) StillLoading(id string, now time.Time) {
	if order := p.pending[id]; order != nil {
		order.lastReply = now
	}
}

// NoReply records that an instance did not reply to a poll. After silenceTimeout it counts as failed, since it may have crashed and
// other instances must not wait for it.
func (p *Planner) NoReply(id string, now time.Time) {
	if order := p.pending[id]; order != nil && now.Sub(order.lastReply) > silenceTimeout {
		p.Failed(id, now)
	}
}

// Failed records that an instance did not accept its order. The instance is ordered again after retryDelay.
func (p *Planner) Failed(id string, now time.Time) {
	delete(p.pending, id)
	p.retryAt[id] = now.Add(retryDelay)
}

// Done records that an instance runs the version that it was ordered to load.
func (p *Planner) Done(id string) { delete(p.pending, id) }
