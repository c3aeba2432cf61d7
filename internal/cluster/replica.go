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
	empty    bool // whether the disk was empty at startup
	packing  Packing
}

// saved is a record of the log: either the whole state or a promise alone.
type saved struct {
	Disk     uint64
	Promise  bool
	Promised register.Ballot
	State    register.State
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
	r := &replica{turn: make(chan struct{}, 1), store: store, logger: logger, empty: errors.Is(err, slots.ErrEmpty), packing: packing}
	if err == nil {
		err = r.restore(contents)
	}
	if err != nil {
		r.acceptor.State = register.State{}
		r.acceptor.Self.Disk = rand.Uint64() | 1
	}
	if err != nil && !r.empty {
		logger.Error().Err(err).Msg("the replica's disk has lost something; the replica starts empty, with a new identity")
	}
	r.acceptor.Self.Address = s.IP
	r.acceptor.Persist = r.persist
	r.turn <- struct{}{}
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
			r.acceptor.State = record.State
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
	record := saved{Disk: r.acceptor.Self.Disk, Promise: true, Promised: next.Promised}
	if checkpoint := r.store.NeedsCheckpoint(); checkpoint || next.Accepted != r.acceptor.State.Accepted {
		next.Value.Payload = r.packing.Pack(next.Value.Payload)
		record = saved{Disk: r.acceptor.Self.Disk, State: next}
		if checkpoint {
			return r.checkpoint(record)
		}
	}
	if err := r.store.Append(encode(record)); err != nil {
		r.logger.Warn().Err(err).Msg("the replica's disk refuses a write")
		return err
	}
	return nil
}

func (r *replica) checkpoint(record saved) error {
	if err := r.store.Checkpoint(encode(record)); err != nil {
		r.logger.Warn().Err(err).Msg("the replica's disk refuses a checkpoint")
		return err
	}
	return nil
}

// mark writes the replica's identity to an empty disk, so that a later process can tell that it is not the first one.
func (r *replica) mark() error {
	err := errBusy
	r.use(func(a *register.Acceptor) { err = a.Persist(a.State) })
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
