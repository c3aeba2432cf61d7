package router

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/cluster"
	"gullstair/internal/controlstate"
	"gullstair/internal/instances"
	"gullstair/internal/ownership"
	"gullstair/internal/rollout"
	"gullstair/internal/standing"
	"gullstair/internal/upstream"
	"gullstair/internal/weights"
)

const (
	roleEvery    = 100 * time.Millisecond
	orderTimeout = time.Second
	loadTold     = 150 * time.Millisecond // for all brokers to learn that an instance is about to load
	mostReport   = 64 << 10
	roleWeights  = "weights/" // and the model's name
)

// roles carries out what one broker does for all: bringing instances to new weights, one role for each model.
type roles struct {
	b        *Broker
	woken    chan struct{}
	planners map[string]*rollout.Planner
	leases   map[string]*ownership.Lease
	pool     *upstream.Pool
	results  chan func(time.Time)
	work     map[string]time.Time // when there came to be something to do, by model
}

func newRoles(b *Broker) *roles {
	return &roles{b: b, pool: upstream.New(b.environment.Network), woken: make(chan struct{}, 1), planners: map[string]*rollout.Planner{}, leases: map[string]*ownership.Lease{},
		results: make(chan func(time.Time), 256), work: map[string]time.Time{}}
}

// wake has the roles looked at now.
func (r *roles) wake() {
	select {
	case r.woken <- struct{}{}:
	default:
	}
}

func (r *roles) run(ctx context.Context) {
	ticker := time.NewTicker(roleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.woken:
		case f := <-r.results:
			f(time.Now())
		}
		r.step(ctx)
	}
}

// step looks at each model whose weights some instance lacks.
func (r *roles) step(ctx context.Context) {
	r.b.mu.Lock()
	state := r.b.state
	var all []instances.Instance
	if len(state.Weights) > 0 {
		all = r.b.effective()
	}
	r.b.mu.Unlock()
	mayOrder := r.b.node.Standing().May(standing.OrderInstances)
	for role, present := range state.Leases {
		r.lease(role).Observe(time.Now(), present)
	}
	for model, version := range state.Weights {
		if mayOrder && r.due(model, version, state, all) {
			r.stepModel(ctx, model, version, state, all)
		}
	}
}

// due says whether there is something to do for a model: instances lag, or the register does not know that the time of older
// weights is over. It notes since when.
func (r *roles) due(model string, version int64, state controlstate.State, all []instances.Instance) bool {
	if len(rollout.Lagging(all, model, version)) == 0 && r.b.weights.Settled(time.Now(), model, state.Named[model]) {
		delete(r.work, model)
		return false
	}
	if r.work[model].IsZero() {
		r.work[model] = time.Now()
	}
	return true
}

func (r *roles) stepModel(ctx context.Context, model string, version int64, state controlstate.State, all []instances.Instance) {
	role := roleWeights + model
	lease := r.lease(role)
	lease.Observe(time.Now(), state.Leases[role])
	var live []string
	for _, member := range r.b.node.Members() {
		live = append(live, member.Name)
	}
	if lease.Due(time.Now(), r.work[model], live) {
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
	since := func(version int64) time.Time { return r.b.weights.Since(model, version) }
	order, look := planner.Plan(time.Now(), since, all, version)
	for _, i := range order {
		go r.order(ctx, planner, lease, i, model, version)
	}
	for _, i := range look {
		go r.look(ctx, planner, i, model, version)
	}
}

// lease is this broker's view of a role's lease.
func (r *roles) lease(role string) *ownership.Lease {
	lease := r.leases[role]
	if lease == nil {
		lease = ownership.New(role, r.b.settings.NodeName, r.b.settings.Bounds.Fencing, r.b.settings.Bounds.Lease)
		r.leases[role] = lease
	}
	return lease
}

// acquire takes or renews the lease of a model's roll-out. With it goes what this broker knows of the versions' ages: a broker
// that starts or learns late has them from the register.
func (r *roles) acquire(ctx context.Context, lease *ownership.Lease, model string, seen controlstate.Lease) {
	begun := time.Now()
	var got controlstate.Lease
	_, err := r.b.node.Change(ctx, func(payload []byte) ([]byte, error) {
		state, err := controlstate.Decode(payload)
		if err != nil {
			return nil, err
		}
		next, err := state.Acquire(lease.Role, lease.Self, seen, !lease.Had())
		if err != nil {
			return nil, err
		}
		got = next.Leases[lease.Role]
		return next.AgeWeights(model, r.b.weights.Named(time.Now(), model), weights.Grace(r.b.settings.Bounds.Version)).Encode(), nil
	})
	if err != nil {
		r.b.logger.Info().Err(err).Str("role", lease.Role).Msg("the lease was not acquired")
		return
	}
	lease.Acquired(begun, got)
	r.b.logger.Info().Str("role", lease.Role).Uint64("token", got.Token).Msg("lease held")
}

func (r *roles) publish(p rollout.Progress) { r.b.node.Publish(p.Record()) }

// orderBody is what an instance is ordered.
type orderBody struct {
	Op         string `json:"op"`
	Model      string `json:"model"`
	Version    int64  `json:"version"`
	Method     string `json:"method"`
	Holder     string `json:"holder"`
	FenceToken uint64 `json:"fence_token"`
}

// order sends one order, if the lease still holds when it is written. Runs go on under the new weights, and what they
// leave behind is memory of two versions under the old one's salt: the brokers are told first, so that none sends a
// request there or has parts fetched from there.
func (r *roles) order(ctx context.Context, planner *rollout.Planner, lease *ownership.Lease, i instances.Instance, model string, version int64) {
	told, cancel := context.WithTimeout(ctx, loadTold)
	r.b.node.PublishEverywhere(told, rollout.Progress{ID: i.ID, Model: model, Version: version, Loading: true}.Record(), cluster.Told.All)
	cancel()
	body, err := json.Marshal(orderBody{Op: "version", Model: model, Version: version, Method: "retain", Holder: lease.Self,
		FenceToken: lease.Token()})
	if err != nil {
		panic(err) // its types are fixed
	}
	if !lease.Held(time.Now()) {
		r.results <- func(now time.Time) { planner.Failed(i.ID, now) }
		return
	}
	status, _, progress, err := r.send(ctx, i, http.MethodPost, "/v1/order", body)
	r.b.logger.Info().Err(err).Str("instance", i.ID).Int("status", status).Int64("from", i.VersionOf(model)).Int64("version", version).
		Msg("ordered new weights")
	r.results <- func(now time.Time) {
		switch {
		case err != nil && progress == upstream.NotSent:
			planner.Failed(i.ID, now)
		case err != nil || status == http.StatusAccepted || status == http.StatusConflict:
			planner.Taken(i.ID, now) // one without an answer may have been taken
		case status == http.StatusOK:
			r.done(planner, i, model, version)
		default:
			planner.Failed(i.ID, now)
		}
	}
}

// report is what an instance tells of its state.
type report struct {
	Models []instances.Model `json:"models"`
	Busy   bool              `json:"busy"`
}

// look asks an instance whether it runs the version that it was ordered.
func (r *roles) look(ctx context.Context, planner *rollout.Planner, i instances.Instance, model string, version int64) {
	status, body, _, err := r.send(ctx, i, http.MethodGet, "/v1/report", nil)
	told := report{}
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &told) != nil {
		r.results <- func(now time.Time) { planner.Silent(i.ID, now) }
		return
	}
	has := (&instances.Instance{Models: told.Models}).VersionOf(model)
	r.results <- func(now time.Time) {
		switch {
		case has >= version:
			r.done(planner, i, model, has)
		case !told.Busy:
			planner.Failed(i.ID, now) // it forgot the order, or never took it
		default:
			planner.Heard(i.ID, now)
		}
	}
}

func (r *roles) done(planner *rollout.Planner, i instances.Instance, model string, version int64) {
	planner.Done(i.ID)
	r.publish(rollout.Progress{ID: i.ID, Model: model, Version: version})
}

// send makes one call to an instance. An order has a connection of its own: its answer names nothing that would tell it
// from the answer to an earlier one.
func (r *roles) send(ctx context.Context, i instances.Instance, method, target string, body []byte) (int, []byte, upstream.Progress, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	header := http.Header{"X-Expect-Instance": {i.ID}}
	if body != nil {
		header.Set("Content-Type", "application/json")
	}
	response, progress, err := r.pool.Send(ctx, i.Address, &upstream.Request{Method: method, Target: target, Host: i.Address, Header: header,
		Body: bytes.Clone(body), Once: method == http.MethodPost})
	if err != nil {
		return 0, nil, progress, err
	}
	defer response.Close()
	if response.FromAnother(i.ID) {
		r.b.displace(i.ID)
	}
	text, err := io.ReadAll(io.LimitReader(response, mostReport))
	return response.Status, text, progress, errors.Wrap(err, "read the answer")
}
