package router

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/brokerrole"
	"gullstair/internal/cluster"
	"gullstair/internal/controlstate"
	"gullstair/internal/instances"
	"gullstair/internal/lifecycle"
	"gullstair/internal/ownership"
	"gullstair/internal/rollout"
	"gullstair/internal/upstream"
	"gullstair/internal/weights"
)

const (
	roleInterval       = 100 * time.Millisecond
	orderTimeout       = time.Second
	loadPublishTimeout = 150 * time.Millisecond // time for all brokers to confirm that an instance is about to load
	maxReportBytes     = 64 << 10
	roleWeights        = "weights/" // followed by the model's name
)

// roles performs the tasks that a single broker does for the whole fleet: rolling out new weights to instances, with one
// leased role for each model.
type roles struct {
	broker       *Broker
	wakeup       chan struct{}
	planners     map[string]*rollout.Planner
	leases       map[string]*ownership.Lease
	pool         *upstream.Pool
	results      chan func(time.Time)
	pendingSince map[string]time.Time // since when a model has had work to do
}

func newRoles(broker *Broker) *roles {
	return &roles{broker: broker, pool: upstream.New(broker.environment.Network, broker.limiter), wakeup: make(chan struct{}, 1), planners: map[string]*rollout.Planner{}, leases: map[string]*ownership.Lease{},
		results: make(chan func(time.Time), 256), pendingSince: map[string]time.Time{}}
}

// wake triggers a step without waiting for the next tick.
func (r *roles) wake() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

func (r *roles) run(ctx context.Context) {
	ticker := time.NewTicker(roleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.wakeup:
		case f := <-r.results:
			f(time.Now())
		}
		r.step(ctx)
	}
}

// step updates the leases and advances the roll-out of each model that has work to do.
func (r *roles) step(ctx context.Context) {
	r.broker.mu.Lock()
	state := r.broker.state
	var all []instances.Instance
	if len(state.Weights) > 0 {
		all = r.broker.effectiveInstances()
	}
	r.broker.mu.Unlock()
	mayOrder := r.broker.node.Role().Allows(brokerrole.OrderInstances)
	for role, present := range state.Leases {
		r.lease(role).Observe(time.Now(), present)
	}
	for model, version := range state.Weights {
		if mayOrder && r.hasWork(model, version, state, all) {
			r.stepModel(ctx, model, version, state, all)
		}
	}
}

// hasWork reports whether a model has work to do: instances lag behind, or the register does not record yet that the grace
// period of older weights is over. It records since when.
func (r *roles) hasWork(model string, version int64, state controlstate.State, all []instances.Instance) bool {
	if len(rollout.Lagging(all, model, version)) == 0 && r.broker.weights.Settled(time.Now(), model, state.Named[model]) {
		delete(r.pendingSince, model)
		return false
	}
	if r.pendingSince[model].IsZero() {
		r.pendingSince[model] = time.Now()
	}
	return true
}

func (r *roles) stepModel(ctx context.Context, model string, version int64, state controlstate.State, all []instances.Instance) {
	role := roleWeights + model
	lease := r.lease(role)
	lease.Observe(time.Now(), state.Leases[role])
	var live []string
	for _, member := range r.broker.node.Members() {
		live = append(live, member.Name)
	}
	if lease.Due(time.Now(), r.pendingSince[model], live) {
		r.acquire(ctx, lease, model, state.Leases[role])
	}
	if !lease.Held(time.Now()) {
		return
	}
	planner := r.planners[model]
	if planner == nil {
		planner = rollout.New(model)
		r.planners[model] = planner
	}
	since := func(version int64) time.Time { return r.broker.weights.SupersededAt(model, version) }
	toOrder, toPoll := planner.Plan(time.Now(), since, all, version)
	for _, i := range toOrder {
		lifecycle.Go(func() { r.sendOrder(ctx, planner, lease, i, model, version) })
	}
	for _, i := range toPoll {
		lifecycle.Go(func() { r.poll(ctx, planner, i, model, version) })
	}
}

// lease returns this broker's view of a role's lease.
func (r *roles) lease(role string) *ownership.Lease {
	lease := r.leases[role]
	if lease == nil {
		lease = ownership.New(role, r.broker.settings.NodeName, r.broker.settings.Bounds.Fencing, r.broker.settings.Bounds.Lease)
		r.leases[role] = lease
	}
	return lease
}

// acquire takes or renews the lease of a model's roll-out. The same change stores the ages of the versions that this broker
// knows, so that a broker that starts or learns of them late gets them from the register.
func (r *roles) acquire(ctx context.Context, lease *ownership.Lease, model string, seen controlstate.Lease) {
	begun := time.Now()
	var got controlstate.Lease
	_, err := r.broker.node.Change(ctx, func(payload []byte) ([]byte, error) {
		state, err := controlstate.Decode(payload)
		if err != nil {
			return nil, err
		}
		next, err := state.Acquire(lease.Role, lease.Self, seen, !lease.HasHeld())
		if err != nil {
			return nil, err
		}
		got = next.Leases[lease.Role]
		return next.AgeWeights(model, r.broker.weights.Named(time.Now(), model), weights.Grace(r.broker.settings.Bounds.Version)).Encode(), nil
	})
	if err != nil {
		r.broker.logger.Info().Err(err).Str("role", lease.Role).Msg("the lease was not acquired")
		return
	}
	lease.Acquired(begun, got)
	r.broker.logger.Info().Str("role", lease.Role).Uint64("token", got.Token).Msg("lease held")
}

func (r *roles) publish(p rollout.Progress) { r.broker.node.Publish(p.Record()) }

// orderBody is the JSON body of an order to an instance.
type orderBody struct {
	Op         string `json:"op"`
	Model      string `json:"model"`
	Version    int64  `json:"version"`
	Method     string `json:"method"`
	Holder     string `json:"holder"`
	FenceToken uint64 `json:"fence_token"`
}

// sendOrder orders an instance to load a version, if the lease is still held when the order is sent. Running requests
// continue under the new weights, and what they leave in the cache mixes two versions under the salt of the old one. So the
// brokers are notified first, and none of them sends a request there or has cache parts fetched from there.
func (r *roles) sendOrder(ctx context.Context, planner *rollout.Planner, lease *ownership.Lease, i instances.Instance, model string, version int64) {
	loadCtx, cancel := context.WithTimeout(ctx, loadPublishTimeout)
	r.broker.node.PublishAndConfirm(loadCtx, rollout.Progress{ID: i.ID, Model: model, Version: version, Loading: true}.Record(), cluster.Delivery.All)
	cancel()
	body, err := json.Marshal(orderBody{Op: "version", Model: model, Version: version, Method: "retain", Holder: lease.Self,
		FenceToken: lease.Token()})
	if err != nil {
		panic(err) // unreachable: the types are fixed and encodable
	}
	if !lease.Held(time.Now()) {
		r.results <- func(now time.Time) { planner.Failed(i.ID, now) }
		return
	}
	status, _, progress, err := r.send(ctx, i, http.MethodPost, "/v1/order", body)
	r.broker.logger.Info().Err(err).Str("instance", i.ID).Int("status", status).Int64("from", i.VersionOf(model)).Int64("version", version).
		Msg("ordered new weights")
	r.results <- func(now time.Time) {
		switch {
		case err != nil && progress == upstream.NotSent:
			planner.Failed(i.ID, now)
		case err != nil || status == http.StatusAccepted || status == http.StatusConflict:
			planner.Accepted(i.ID, now) // an order without an answer may have been accepted
		case status == http.StatusOK:
			r.markDone(planner, i, model, version)
		default:
			planner.Failed(i.ID, now)
		}
	}
}

// report is the JSON answer of an instance about its state.
type report struct {
	Models []instances.Model `json:"models"`
	Busy   bool              `json:"busy"`
}

// poll asks an instance whether it runs the version that it was ordered to load.
func (r *roles) poll(ctx context.Context, planner *rollout.Planner, i instances.Instance, model string, version int64) {
	status, body, _, err := r.send(ctx, i, http.MethodGet, "/v1/report", nil)
	answer := report{}
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		r.results <- func(now time.Time) { planner.NoReply(i.ID, now) }
		return
	}
	has := (&instances.Instance{Models: answer.Models}).VersionOf(model)
	r.results <- func(now time.Time) {
		switch {
		case has >= version:
			r.markDone(planner, i, model, has)
		case !answer.Busy:
			planner.Failed(i.ID, now) // the instance lost the order or never accepted it
		default:
			planner.StillLoading(i.ID, now)
		}
	}
}

func (r *roles) markDone(planner *rollout.Planner, i instances.Instance, model string, version int64) {
	planner.Done(i.ID)
	r.publish(rollout.Progress{ID: i.ID, Model: model, Version: version})
}

// send makes one call to an instance. An order uses a connection of its own, since nothing in its answer distinguishes it
// from the answer to an earlier order.
func (r *roles) send(ctx context.Context, i instances.Instance, method, target string, body []byte) (int, []byte, upstream.Progress, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	header := http.Header{"X-Expect-Instance": {i.ID}}
	if body != nil {
		header.Set("Content-Type", "application/json")
	}
	response, progress, err := r.pool.Send(ctx, i.Address, &upstream.Request{Method: method, Target: target, Host: i.Address, Header: header,
		Body: [][]byte{body}, DedicatedConn: method == http.MethodPost})
	if err != nil {
		return 0, nil, progress, err
	}
	defer response.Close()
	if response.Misdirected(i.ID) {
		r.broker.displace(i.ID)
	}
	if method == http.MethodPost {
		response.Discard()
		return response.Status, nil, progress, nil
	}
	text, err := response.ReadAll(maxReportBytes)
	return response.Status, text, progress, errors.Wrap(err, "read the answer")
}
