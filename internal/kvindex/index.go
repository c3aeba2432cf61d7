package kvindex

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/cachetable"
	"gullstair/internal/clientlimit"
	"gullstair/internal/lifecycle"
	"gullstair/internal/netio"
	"gullstair/internal/upstream"
)

const (
	pollSpacing = 250 * time.Millisecond // between two calls to one instance, so that one answer batches several changes
	retryAfter  = 1 * time.Second
	listSpacing = 2 * time.Second // between two requests for the complete list, which delays the instance's other work
)

// Target is an instance or store to poll.
type Target struct {
	ID      string // empty for a store
	Name    string // its key in the table
	Address string
}

// Index polls targets and applies the changes that they report to the table.
type Index struct {
	client Client
	table  func(func(*cachetable.Table))
	// OnChanges is called with the changes that were applied to the table; complete means that they replaced it. It may be nil.
	OnChanges func(name string, c Changes, complete bool)
	// OnDisplaced is called with the id of an instance at whose address another one answered. It may be nil.
	OnDisplaced func(id string)

	mu      sync.Mutex
	running map[string]context.CancelFunc
}

// New returns an index that updates a table. The function table calls its argument with the table while it holds the
// caller's lock. The limiter bounds what answers hold; it may be nil.
func New(network netio.Network, limiter *clientlimit.Limiter, table func(func(*cachetable.Table))) *Index {
	return &Index{client: Client{pool: upstream.New(network, limiter)}, table: table, running: map[string]context.CancelFunc{}}
}

// SetTargets starts polling the targets that are new and stops polling those that are not listed.
func (x *Index) SetTargets(ctx context.Context, targets []Target) {
	x.mu.Lock()
	defer x.mu.Unlock()
	wanted := map[string]bool{}
	for _, t := range targets {
		wanted[t.Name] = true
		if x.running[t.Name] != nil {
			continue
		}
		polling, cancel := context.WithCancel(ctx)
		x.running[t.Name] = cancel
		lifecycle.Go(func() { x.poll(polling, t) })
	}
	for name, cancel := range x.running {
		if !wanted[name] {
			cancel()
			delete(x.running, name)
		}
	}
}

// poll polls one target until the context ends.
func (x *Index) poll(ctx context.Context, t Target) {
	delay := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = x.pollOnce(ctx, t)
	}
}

// pollOnce makes one call and returns the delay before the next.
func (x *Index) pollOnce(ctx context.Context, t Target) time.Duration {
	var epoch, token uint64
	synced := false
	x.table(func(table *cachetable.Table) { epoch, token, synced = table.Position(t.Name) })
	if !synced {
		return x.fetchList(ctx, t)
	}
	changes, err := x.client.Events(ctx, t.ID, t.Address, epoch, token)
	switch {
	case errors.Is(err, ErrChangesLost):
		x.table(func(table *cachetable.Table) { table.MarkUnsynced(t.Name) })
		return 0
	case err != nil:
		return x.onError(t, err)
	}
	if len(changes.List) > 0 || changes.To != changes.From {
		x.table(func(table *cachetable.Table) {
			table.Apply(t.Name, changes.Epoch, changes.From, changes.To, changes.List)
		})
		x.notifyChanges(t.Name, changes, false)
	}
	return pollSpacing
}

// fetchList requests the complete list of a target's parts and returns the delay before the next call.
func (x *Index) fetchList(ctx context.Context, t Target) time.Duration {
	changes, err := x.client.List(ctx, t.ID, t.Address)
	if err != nil {
		return x.onError(t, err)
	}
	x.table(func(table *cachetable.Table) { table.Replace(t.Name, changes.Epoch, changes.To, changes.List) })
	x.notifyChanges(t.Name, changes, true)
	return pollSpacing
}

// onError handles the failure of a call and returns the delay before the next.
func (x *Index) onError(t Target, err error) time.Duration {
	if errors.Is(err, ErrOtherInstance) && x.OnDisplaced != nil {
		x.OnDisplaced(t.ID)
	}
	return retryAfter
}

func (x *Index) notifyChanges(name string, c Changes, complete bool) {
	if x.OnChanges != nil {
		x.OnChanges(name, c, complete)
	}
}
