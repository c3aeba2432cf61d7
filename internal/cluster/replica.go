package cluster

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"gullstair/internal/journalfile"
	"gullstair/internal/register"
	"gullstair/internal/settings"
	"gullstair/internal/slots"
)

// diskBusyTimeout is how long a call waits for a disk that is busy with another call, or does not answer.
const diskBusyTimeout = 300 * time.Millisecond

// replica is this machine's acceptor with its durable state. One call at a time uses it; other calls give up after
// diskBusyTimeout, so a disk that hangs does not block them.
type replica struct {
	turn     chan struct{}
	acceptor register.Acceptor
	store    *slots.Store
	logger   *log.Logger
	packing  Packing
	founding *foundingState // its part in founding the register; nil: none, or the register is founded
	marked   bool           // founding is on the disk
	seeds    []string       // those of founding when the disk was opened
}

// saved is a record of the log: either the whole state or a promise alone. Earlier releases do not know Founding.
type saved struct {
	Disk     uint64
	Promise  bool
	Promised register.Ballot
	State    register.State
	Founding *foundingState
}

func openReplica(s *settings.Settings, logger *log.Logger, open func(string) (journalfile.Disk, error), packing Packing) (*replica, error) {
	disk, err := open(s.DataDir)
	if err != nil {
		return nil, errors.Wrap(err, "data directory")
	}
	store, contents, err := slots.Open(disk)
	if store == nil {
		return nil, errors.Wrap(err, "open the register's replica")
	}
	r := &replica{turn: make(chan struct{}, 1), store: store, logger: logger, packing: packing}
	if err == nil {
		err = r.restore(contents)
	}
	empty := errors.Is(err, slots.ErrEmpty)
	if err != nil {
		r.acceptor.State, r.founding = register.State{}, nil
		r.acceptor.Self.Disk = rand.Uint64() | 1
	}
	if err != nil && !empty {
		logger.Error().Err(err).Msg("the replica's disk has lost something; the replica starts empty, with a new identity")
	}
	r.acceptor.Self.Address = s.IP
	r.acceptor.Persist = r.persist
	r.marked = r.founding != nil
	r.turn <- struct{}{}
	if empty && s.Bootstrap {
		r.founding = &foundingState{Seeds: s.SeedIPs()}
		_ = r.mark() // logged; tried again once the broker runs
	}
	if r.founding != nil {
		r.seeds = r.founding.Seeds
	}
	return r, nil
}

// restore rebuilds the state from the checkpoint and the log records after it. After an error the replica must begin anew.
func (r *replica) restore(contents slots.Contents) error {
	for i, body := range append([][]byte{contents.State}, contents.Records...) {
		record := saved{}
		if err := decode(body, &record); err != nil {
			return errors.Wrapf(err, "record %d of the register's replica", i)
		}
		if record.Disk == 0 {
			return errors.Newf("record %d of the register's replica has no identity", i)
		}
		r.acceptor.Self.Disk = record.Disk
		if record.Promise {
			r.acceptor.State.Promised = record.Promised
		} else {
			r.acceptor.State, r.founding = record.State, record.Founding
		}
	}
	payload, err := r.packing.Unpack(r.acceptor.State.Value.Payload)
	if err != nil {
		return errors.Wrap(err, "unpack the payload of the register's replica")
	}
	r.acceptor.State.Value.Payload = payload
	return nil
}

// persist writes a state to the disk. The acceptor calls it before it answers.
func (r *replica) persist(next register.State) error {
	if next.Accepted == r.acceptor.State.Accepted {
		promise := encode(saved{Disk: r.acceptor.Self.Disk, Promise: true, Promised: next.Promised})
		if r.store.Fits(len(promise)) {
			return r.logged("a write", r.store.Append(promise))
		}
	}
	return r.writeWhole(r.wholeRecord(next, r.founding))
}

// wholeRecord returns a record of the whole state. Its part in founding the register is over once the replica holds a value.
func (r *replica) wholeRecord(state register.State, founding *foundingState) saved {
	if state.Accepted != (register.Ballot{}) {
		founding = nil
	}
	state.Value.Payload = r.packing.Pack(state.Value.Payload)
	return saved{Disk: r.acceptor.Self.Disk, State: state, Founding: founding}
}

// writeWhole appends a record of the whole state to the log, or starts a new log with it.
func (r *replica) writeWhole(record saved) error {
	body := encode(record)
	if r.store.Fits(len(body)) {
		return r.logged("a write", r.store.Append(body))
	}
	return r.logged("a checkpoint", r.store.Checkpoint(body))
}

// logged logs an error of the disk, and returns it.
func (r *replica) logged(what string, err error) error {
	if err != nil {
		r.logger.Warn().Err(err).Msg("the replica's disk refuses " + what)
	}
	return err
}

func (r *replica) id() register.Replica { return r.acceptor.Self }

// use runs f with the acceptor, or returns false if the acceptor stays busy.
func (r *replica) use(f func(*register.Acceptor)) bool {
	select {
	case <-r.turn:
	case <-time.After(diskBusyTimeout):
		return false
	}
	defer func() { r.turn <- struct{}{} }()
	f(&r.acceptor)
	return true
}

func (r *replica) prepare(m register.Prepare) (answer register.Promise) {
	answer.Foreign = true
	r.use(func(a *register.Acceptor) { answer = a.Prepare(m) })
	return answer
}

func (r *replica) accept(m register.Accept) (answer register.Accepted) {
	answer.Foreign = true
	r.use(func(a *register.Acceptor) { answer = a.Accept(m) })
	return answer
}

// learn stores a value that is known to be chosen.
func (r *replica) learn(known register.Known) error {
	err := errBusy
	r.use(func(a *register.Acceptor) { err = a.Learn(known) })
	return err
}

// accepted returns the value that this replica accepted last.
func (r *replica) accepted() (known register.Known) {
	r.use(func(a *register.Acceptor) { known = register.Known{Ballot: a.State.Accepted, Value: a.State.Value} })
	return known
}

// acceptor handles the messages of a round, on a disk or in memory.
type acceptor interface {
	prepare(register.Prepare) register.Promise
	accept(register.Accept) register.Accepted
}

// errTakesPart means that the replica holds a value, or takes part in the founding already.
var errTakesPart = errors.New("the replica takes part already")

// errBusy means that the disk is busy with another call.
var errBusy = errors.New("the replica's disk is busy")

// absentAcceptor rejects messages to replicas that this machine does not have.
type absentAcceptor struct{}

func (absentAcceptor) prepare(register.Prepare) register.Promise {
	return register.Promise{Foreign: true}
}
func (absentAcceptor) accept(register.Accept) register.Accepted {
	return register.Accepted{Foreign: true}
}

// acceptor returns the acceptor that a message is addressed to.
func (n *Node) acceptor(to register.Replica) acceptor {
	if to.Disk == foundingDisk {
		return n.founding
	}
	if n.replica == nil {
		return absentAcceptor{}
	}
	return n.replica
}
