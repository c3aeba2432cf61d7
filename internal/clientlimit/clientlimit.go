// Package clientlimit bounds what the clients of a process hold together, as package clientbudget decides. It is safe for
// concurrent use.
package clientlimit

import (
	"sync"
	"time"

	"gullstair/internal/clientbudget"
)

// Limiter bounds what the clients of all listeners of a process hold together.
type Limiter struct {
	start         time.Time
	receiveBuffer int // bytes

	mu       sync.Mutex
	budget   *clientbudget.Budget
	accounts map[*clientbudget.Holder]*Account
}

// Account is what one connection holds.
type Account struct {
	limiter *Limiter
	least   clientbudget.Amount // what it holds while it is idle
	giveWay func(stage clientbudget.Stage) bool
	holder  clientbudget.Holder // under the limiter's lock
}

// New returns a limiter for a process with this memory in bytes and this number of descriptors.
func New(memory int64, descriptors int) *Limiter {
	return &Limiter{start: time.Now(), receiveBuffer: clientbudget.ReceiveBuffer(memory),
		budget: clientbudget.New(clientbudget.LimitFor(memory, descriptors)), accounts: map[*clientbudget.Holder]*Account{}}
}

func (l *Limiter) now() time.Duration { return time.Since(l.start) }

// ReceiveBuffer returns the size in bytes of the receive buffer of a client's connection.
func (l *Limiter) ReceiveBuffer() int { return l.receiveBuffer }

// queue returns what the kernel holds at most for a connection whose bytes are not read.
func (l *Limiter) queue() clientbudget.Amount {
	return clientbudget.Amount{Bytes: clientbudget.QueueBytes(l.receiveBuffer)}
}

// Used returns what the clients hold.
func (l *Limiter) Used() clientbudget.Amount {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Used()
}

// Open adds a new connection, which holds least while it is idle. control connections have room that others do not take. giveWay closes it to make room, or returns false if a
// request has just arrived on it; it is called with the limiter's lock held. Open returns false if there is no room. A nil
// limiter opens nil accounts, which hold whatever they are asked to.
func (l *Limiter) Open(least clientbudget.Amount, control bool, giveWay func(clientbudget.Stage) bool) (account *Account, open bool) {
	if l == nil {
		return nil, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := &Account{limiter: l, least: least, giveWay: giveWay, holder: clientbudget.Holder{Control: control}}
	if !l.makeRoom(&a.holder, least) {
		return nil, false
	}
	l.budget.Open(&a.holder, l.now())
	l.budget.Add(&a.holder, least)
	l.accounts[&a.holder] = a
	return a, true
}

// makeRoom lets other connections give way until there is room for more of a holder. It returns false if there is none. The
// caller holds l.mu.
func (l *Limiter) makeRoom(h *clientbudget.Holder, more clientbudget.Amount) bool {
	for now := l.now(); !l.budget.Fits(h, more); {
		victim := l.budget.Victim(now)
		if victim == nil || victim == h {
			return false
		}
		if !l.accounts[victim].giveWay(victim.Stage()) {
			victim.Touch(now)
			continue
		}
		l.budget.Evict(victim)
		delete(l.accounts, victim)
	}
	return !l.budget.Late(more)
}

// Hold adds to what a connection holds. It returns false if there is no room, or if the connection had to give way.
func (a *Account) Hold(more clientbudget.Amount) bool {
	if a == nil {
		return true
	}
	l := a.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.holder.Evicted() || !l.makeRoom(&a.holder, more) {
		return false
	}
	l.budget.Add(&a.holder, more)
	return true
}

// MarkSurplus records that the client has sent more than the request that is carried out.
func (a *Account) MarkSurplus() {
	if a == nil {
		return
	}
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.holder.MarkSurplus()
}

// HoldUnread adds the receive queue of a connection whose client has sent more than the request that is carried out.
func (a *Account) HoldUnread() bool {
	if a == nil {
		return true
	}
	a.MarkSurplus()
	return a.Hold(a.limiter.queue())
}

// Drop subtracts from what a connection holds.
func (a *Account) Drop(less clientbudget.Amount) {
	if a == nil {
		return
	}
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.limiter.budget.Drop(&a.holder, less)
}

// Idle keeps only what an idle connection holds.
func (a *Account) Idle() {
	if a == nil {
		return
	}
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	if !a.holder.Evicted() {
		a.limiter.budget.Keep(&a.holder, a.least)
	}
	a.holder.Enter(clientbudget.Idle, a.limiter.now())
}

// Close removes the connection. It may be called again.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.limiter.budget.Close(&a.holder)
	delete(a.limiter.accounts, &a.holder)
}

// Stage returns the stage of the connection.
func (a *Account) Stage() clientbudget.Stage {
	if a == nil {
		return clientbudget.Idle
	}
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	return a.holder.Stage()
}

// Enter sets the stage of the connection and returns the one before.
func (a *Account) Enter(stage clientbudget.Stage) (before clientbudget.Stage) {
	if a == nil {
		return clientbudget.Idle
	}
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	before = a.holder.Stage()
	a.holder.Enter(stage, a.limiter.now())
	return before
}

// Moved records that n bytes were received or sent.
func (a *Account) Moved(n int) {
	if a == nil {
		return
	}
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.holder.Moved(n, a.limiter.now())
}
