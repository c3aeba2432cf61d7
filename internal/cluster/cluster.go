// Package cluster connects a broker to the other brokers. It keeps the partial view of the fleet, disseminates
// records, detects which brokers are alive, and runs the consensus rounds of the register. The algorithms are in the
// packages peersampling, dissemination and register, which do no I/O; this package holds the connections, the clock and the
// goroutines.
package cluster

import (
	"bytes"
	"context"
	"encoding/gob"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"gullstair/internal/clientlimit"
	"gullstair/internal/dissemination"
	"gullstair/internal/journalfile"
	"gullstair/internal/lifecycle"
	"gullstair/internal/netio"
	"gullstair/internal/peerlink"
	"gullstair/internal/peersampling"
	"gullstair/internal/register"
	"gullstair/internal/settings"
	"gullstair/internal/voters"
)

// protocolSections is the protocol number of brokers whose releases let every disk vote, patch payloads by sections
// and relay calls.
const protocolSections = 1

// Kinds of records.
const (
	MemberRecord   = 'm'
	InstanceRecord = 'i'
	RegisterRecord = 'r'
)

const (
	registerKey = "control"

	exchangeInterval       = 300 * time.Millisecond // interval between reconciliations with one random peer
	startupExchanges       = 60                     // maximum number of exchanges right after a start
	startupSpacing         = 60 * time.Millisecond  // interval between the exchanges right after a start
	pushDelay              = 3 * time.Millisecond   // records that arrive within this time are pushed together
	pushFanout             = 4                      // number of peers that a new record is pushed or offered to
	offerGrace             = 150 * time.Millisecond // time for an offered record to arrive by another way before it is fetched
	callTimeout            = 600 * time.Millisecond
	renewInterval          = time.Second           // minimum interval between renewals of a member's record
	renewIntervalPerMember = 20 * time.Millisecond // in a large fleet the interval is this much per member instead
	maxMissedRenewals      = 4                     // number of missed renewals after which a member counts as gone
	forgetAfter            = 60 * time.Second      // a member that has been gone for longer is removed
	maxDropped             = 4096
	seedInterval           = 2 * time.Second
)

// Member is what a broker publishes about itself.
type Member struct {
	Name    string
	IP      string
	Zone    string
	Region  string
	Control string // address for the operator and for heartbeats
	Core    bool   // whether it holds, or may hold, a replica of the register
	Disk    uint64
	Leaving bool
	// Protocol is the protocol number of its release, 0 in releases before protocolSections.
	Protocol uint64
}

// Environment provides the network and the disk of the machine that a broker runs on. Tests replace it.
type Environment struct {
	Network  netio.Network
	OpenDisk func(path string) (journalfile.Disk, error)
	// LockDisk locks a directory for this process until it ends; nil: no other process uses the machine's disk.
	LockDisk func(path string) error
}

// HostEnvironment returns the environment of the real machine.
func HostEnvironment() Environment {
	return Environment{Network: netio.Host{}, OpenDisk: journalfile.Dir, LockDisk: journalfile.Lock}
}

// Node is a broker's endpoint in the cluster.
type Node struct {
	environment Environment

	settings     *settings.Settings
	logger       *log.Logger
	client       *peerlink.Client
	traffic      *peerlink.Traffic
	listener     net.Listener
	limiter      *clientlimit.Limiter // of what connections of other brokers hold; nil: not bounded
	noteSocket   netio.Datagrams
	pacer        *pacer // rate limiter for notes of cached prefixes
	noteHandlers map[NoteKind]func([]byte)
	random       *rand.Rand

	mu             sync.Mutex
	store          *dissemination.Store
	view           *peersampling.View
	self           Member
	epoch          uint64
	sequence       uint64
	lastUpdate     map[string]time.Time // when each member's record last advanced, by address
	alive          aliveMembers
	pendingPush    []dissemination.Record
	pushScheduled  bool
	pendingOffers  map[dissemination.ID]dissemination.Version // newest version of each offered record whose fetch is scheduled
	recordHandlers []func(dissemination.Record)
	storeRecords   func(context.Context, []dissemination.Record) error // nil if there is no disk for records
	started        time.Time
	seeds          []string
	known          register.Known // the newest value known to be chosen
	highestBallot  register.Ballot
	proposerID     uint64
	proposalTurn   chan struct{} // semaphore: one attempt at a time
	knownChanged   chan struct{} // closed when known changes

	payloads          payloads
	fetchingRegister  atomic.Bool // a fetch of the register's value is in progress
	lastFailedAttempt time.Time   // start of the newest attempt that found no quorum
	contacts          *voters.FailureDetector
	reviewRequested   chan struct{} // triggers a review of the voters at once

	exchangeCount int // number of exchanges started
	neighborTurn  int // counts neighbor exchanges and selects the next neighbor

	replica      *replica          // nil on a machine without a disk
	diskLocked   bool              // it is locked, or need not be
	diskUnlocked bool              // its file system has no locks
	founding     *foundingAcceptor // acceptor that decides the first members when the system starts for the first time
}

// New creates a node and opens its replica, for which it waits as long as the disk may still become usable; Run starts the
// node. packing defines how the register's payload is written.
func New(ctx context.Context, s *settings.Settings, logger *log.Logger, environment Environment, packing Packing) (*Node, *lifecycle.Failure) {
	n := &Node{settings: s, logger: logger, environment: environment, traffic: &peerlink.Traffic{}, store: dissemination.New(), lastUpdate: map[string]time.Time{},
		proposerID: rand.Uint64() | 1, started: time.Now(), knownChanged: make(chan struct{}), seeds: s.SeedIPs(),
		proposalTurn: make(chan struct{}, 1), contacts: voters.NewFailureDetector(s.Bounds.CatchUp), reviewRequested: make(chan struct{}, 1), noteHandlers: map[NoteKind]func([]byte){},
		pendingOffers: map[dissemination.ID]dissemination.Version{}, pacer: newPacer(s.LinkMbps), payloads: payloads{packing: packing}}
	n.client = peerlink.NewClient(environment.Network, n.traffic)
	n.random = rand.New(rand.NewPCG(n.proposerID, 1))
	n.view = peersampling.New(s.IP, n.proposerID)
	n.epoch = uint64(time.Now().UnixNano())
	n.self = Member{Name: s.NodeName, IP: s.IP, Zone: s.Zone, Region: s.Region, Control: s.ListenControl, Protocol: protocolSections}
	if failure := n.openReplica(ctx); failure != nil {
		return nil, failure
	}
	return n, nil
}

// Use sets the sockets for the other brokers' calls and notes. It must be called before Run.
func (n *Node) Use(listener net.Listener, notes netio.Datagrams) {
	n.listener, n.noteSocket = listener, notes
}

// DiskLocked reports whether no other process can use this machine's disk.
func (n *Node) DiskLocked() bool { return !n.diskUnlocked }

// Incarnation returns a number that distinguishes this process from earlier processes of the same broker.
func (n *Node) Incarnation() uint64 { return n.proposerID }

// Traffic returns the messages and bytes exchanged with other brokers since the start, without notes.
func (n *Node) Traffic() []peerlink.Count { return n.traffic.Counts() }

// OnRecord registers f to be called for each new record, including this broker's own. It must be called before Run.
func (n *Node) OnRecord(f func(dissemination.Record)) { n.recordHandlers = append(n.recordHandlers, f) }

// LimitPeers sets the limiter of what connections of other brokers hold. It must be called before Run.
func (n *Node) LimitPeers(limiter *clientlimit.Limiter) { n.limiter = limiter }

// Replica returns the identity of this machine's replica and the sequence of the value that it holds, or false if the
// machine has no replica.
func (n *Node) Replica() (replica register.Replica, sequence uint64, has bool) {
	if n.replica == nil {
		return register.Replica{}, 0, false
	}
	return n.replica.id(), n.replica.accepted().Value.Sequence, true
}

// Run starts the node and blocks until the context ends, or until it cannot serve the other brokers.
func (n *Node) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	lifecycle.Go(func() {
		accepting := netio.Persistent(n.listener, func(err error) { n.logger.Warn().Err(err).Msg("cannot accept a peer") })
		if err := peerlink.Serve(accepting, n.traffic, n.limiter, n.handle); err != nil {
			failed <- err
		}
	})
	lifecycle.Go(func() { n.exchangeLoop(ctx) })
	lifecycle.Go(func() { n.receiveNotes(ctx) })
	lifecycle.Go(func() { n.renewLoop(ctx) })
	lifecycle.Go(func() { n.runReplica(ctx) })
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	n.listener.Close()
	n.client.Close()
	return err
}

// repeat calls f until the context ends. Each interval is drawn from 90 % to 110 % of the given one.
func (n *Node) repeat(ctx context.Context, interval time.Duration, f func(context.Context)) {
	for {
		wait := time.Duration(float64(interval) * (0.9 + 0.2*rand.Float64()))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
			f(ctx)
		}
	}
}

// SetSeeds replaces the seeds after a change of the settings.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seeds = seeds
}

// call makes one call. After an error it closes the connection, so that the next call opens a new one.
func (n *Node) call(ip string, m peerlink.Message) (*peerlink.Message, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	address := n.settings.PeerAddress(ip)
	reply, err := n.client.Call(ctx, address, m)
	if err != nil {
		n.client.Reset(address)
	}
	return reply, err
}

// handle dispatches a peer's call and returns the reply.
func (n *Node) handle(m *peerlink.Message) *peerlink.Message {
	switch {
	case m.Relay != nil:
		return n.answerRelay(m)
	case m.Digest != nil:
		return n.answerDigest(m.Digest)
	case m.Records != nil:
		return n.answerRecords(m)
	case m.Prepare != nil:
		return n.answerPrepare(*m.Prepare, m.Has)
	case m.Accept != nil:
		return n.answerAccept(*m.Accept)
	case m.Delta != nil:
		return n.answerDelta(m.Delta)
	case m.Patched != nil:
		return &peerlink.Message{Lacks: true}
	case m.Announced != nil:
		return n.answerAnnounced(m.Announced)
	case m.Found != nil:
		return n.answerFound(m.Found)
	case m.Survey != nil:
		return n.answerSurvey(m.Survey)
	}
	return nil
}

func init() {
	dissemination.RegisterBody("m", Member{})
	dissemination.RegisterBody("r", register.Known{})
}

func encode(v any) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		panic(err) // the types are fixed
	}
	return b.Bytes()
}

func decode(body []byte, v any) error { return gob.NewDecoder(bytes.NewReader(body)).Decode(v) }
