package kvindex

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/holders"
	"gullstair/internal/netio"
	"gullstair/internal/upstream"
)

const (
	pollSpacing = 250 * time.Millisecond // between two calls to one instance: what happens meanwhile comes in one answer
	retryAfter  = 1 * time.Second
	listSpacing = 2 * time.Second // the whole list holds up an instance's work: it is asked for no more often
)

// Target is an instance or store that is polled.
type Target struct {
	ID      string // empty: a store, which has none
	Name    string // that the table knows it by
	Address string
}

// Index polls targets and hands what they tell to Take.
type Index struct {
	client Client
	table  func(func(*holders.Table))
	// Took is called with changes that were put in the table; whole: they are all that is kept. May be nil.
	Took func(name string, c Changes, whole bool)
	// Displaced is called with the id of an instance at whose address another one answered. May be nil.
	Displaced func(id string)

	mu      sync.Mutex
	running map[string]context.CancelFunc
}

// New makes an index over a table that is used under the caller's lock.
func New(network netio.Network, table func(func(*holders.Table))) *Index {
	return &Index{client: Client{pool: upstream.New(network)}, table: table, running: map[string]context.CancelFunc{}}
}

// SetTargets polls these targets from now on, and no others.
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
		go x.poll(polling, t)
	}
	for name, cancel := range x.running {
		if !wanted[name] {
			cancel()
			delete(x.running, name)
		}
	}
}

// poll keeps the table current for one target.
func (x *Index) poll(ctx context.Context, t Target) {
	wait := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = x.once(ctx, t)
	}
}

// once makes one call and says how long to wait before the next.
func (x *Index) once(ctx context.Context, t Target) time.Duration {
	var epoch, token uint64
	synced := false
	x.table(func(table *holders.Table) { epoch, token, synced = table.Position(t.Name) })
	if !synced {
		return x.whole(ctx, t)
	}
	changes, err := x.client.Events(ctx, t.ID, t.Address, epoch, token)
	switch {
	case errors.Is(err, ErrLost):
		x.table(func(table *holders.Table) { table.Lost(t.Name) })
		return 0
	case err != nil:
		return x.failed(t, err)
	}
	if len(changes.List) > 0 || changes.To != changes.From {
		x.table(func(table *holders.Table) { table.Apply(t.Name, changes.Epoch, changes.From, changes.To, changes.List) })
		x.took(t.Name, changes, false)
	}
	return pollSpacing
}

// whole asks for all that a target keeps.
func (x *Index) whole(ctx context.Context, t Target) time.Duration {
	changes, err := x.client.List(ctx, t.ID, t.Address)
	if err != nil {
		return x.failed(t, err)
	}
	x.table(func(table *holders.Table) { table.Replace(t.Name, changes.Epoch, changes.To, changes.List) })
	x.took(t.Name, changes, true)
	return pollSpacing
}

// failed takes the failure of a call and says how long to wait before the next.
func (x *Index) failed(t Target, err error) time.Duration {
	if errors.Is(err, ErrAnother) && x.Displaced != nil {
		x.Displaced(t.ID)
	}
	return retryAfter
}

func (x *Index) took(name string, c Changes, whole bool) {
	if x.Took != nil {
		x.Took(name, c, whole)
	}
}
