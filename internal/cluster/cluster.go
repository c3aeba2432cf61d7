// Package cluster connects a broker to the others: it keeps the partial view, spreads records, knows who is alive, and
// drives the rounds of the register. Decisions are in the packages peers, dissemination and register; this one holds
// the connections, the clock and the goroutines.
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

	"gullstair/internal/dissemination"
	"gullstair/internal/journalfile"
	"gullstair/internal/netio"
	"gullstair/internal/peerlink"
	"gullstair/internal/peers"
	"gullstair/internal/register"
	"gullstair/internal/settings"
	"gullstair/internal/voters"
)

// protocolSections is the protocol of brokers that let all disks vote, patch payloads by sections and relay calls.
const protocolSections = 1

// Kinds of records.
const (
	MemberRecord   = 'm'
	InstanceRecord = 'i'
	RegisterRecord = 'r'
)

const (
	registerKey = "control"

	exchangeEvery  = 300 * time.Millisecond // between reconciliations with one random peer
	firstExchanges = 60                     // at most so many after a start
	firstSpacing   = 60 * time.Millisecond  // follow each other so
	pushDelay      = 3 * time.Millisecond   // what is new in this time is pushed together
	pushFanout     = 4                      // peers that a new record is pushed to, or offered
	offerPatience  = 150 * time.Millisecond // for a record that was offered to come by another way, before it is asked for
	callTimeout    = 600 * time.Millisecond
	beatEvery      = time.Second           // a member's record is renewed no more often,
	beatPerMember  = 20 * time.Millisecond // and in a large fleet once in so much for each member
	beatsMissed    = 4                     // renewals after which a member counts as gone
	forgetAfter    = 60 * time.Second      // a member that is gone for longer is forgotten
	mostDropped    = 4096
	seedEvery      = 2 * time.Second
)

// Member is one broker as it tells of itself.
type Member struct {
	Name    string
	IP      string
	Zone    string
	Region  string
	Control string // address for the operator and for heartbeats
	Core    bool   // holds, or may hold, a replica of the register
	Disk    uint64
	Leaving bool
	// Protocol is what its release understands; 0 in those before sections.
	Protocol uint64
}

// Environment is the machine that a broker runs on: its network and its disk.
type Environment struct {
	Network  netio.Network
	OpenDisk func(path string) (journalfile.Disk, error)
}

// Machine is the real machine.
func Machine() Environment { return Environment{Network: netio.Host{}, OpenDisk: journalfile.Dir} }

// Node is this broker's place in the cluster.
type Node struct {
	environment Environment

	settings *settings.Settings
	logger   *log.Logger
	client   *peerlink.Client
	traffic  *peerlink.Traffic
	listener net.Listener
	notes    netio.Datagrams
	paced    *pacer // notes of what instances keep
	onNote   map[NoteKind]func([]byte)
	random   *rand.Rand

	mu        sync.Mutex
	store     *dissemination.Store
	view      *peers.View
	self      Member
	epoch     uint64
	beat      uint64
	heard     map[string]time.Time // when a member's record last advanced, by address
	alive     aliveMembers
	fresh     []dissemination.Record
	pushing   bool
	offers    map[dissemination.ID]dissemination.Version // the newest that were offered here and are being waited for
	onRecord  []func(dissemination.Record)
	started   time.Time
	seeds     []string
	known     register.Known // the newest value that is known to be chosen
	highest   register.Ballot
	proposer  uint64
	proposing chan struct{} // holds the turn to make an attempt
	changed   chan struct{} // closed when known changes

	payloads  payloads
	fetching  atomic.Bool // the register's value is on its way here
	failedAt  time.Time   // when the newest attempt began that found no majority
	contacts  *voters.Contacts
	reviewNow chan struct{} // has the voters looked at now

	exchanged    int // exchanges begun
	neighborTurn int // of the tree, that was picked last for one

	replica  *replica  // nil on a machine without a disk
	founding *founding // the acceptor that decides the first members, while the system starts for the first time
}

// New opens this broker's place; Run makes it take part. packing is how the register's payload is written.
func New(s *settings.Settings, logger *log.Logger, environment Environment, packing Packing) (*Node, error) {
	n := &Node{settings: s, logger: logger, environment: environment, traffic: &peerlink.Traffic{}, store: dissemination.New(), heard: map[string]time.Time{},
		proposer: rand.Uint64() | 1, started: time.Now(), changed: make(chan struct{}), seeds: s.SeedIPs(),
		proposing: make(chan struct{}, 1), contacts: voters.NewContacts(s.Bounds.CatchUp), reviewNow: make(chan struct{}, 1), onNote: map[NoteKind]func([]byte){},
		offers: map[dissemination.ID]dissemination.Version{}, paced: newPacer(s.LinkMbps), payloads: payloads{packing: packing}}
	n.client = peerlink.NewClient(environment.Network, n.traffic)
	n.random = rand.New(rand.NewPCG(n.proposer, 1))
	n.view = peers.New(s.IP, n.proposer)
	n.epoch = uint64(time.Now().UnixNano())
	n.self = Member{Name: s.NodeName, IP: s.IP, Zone: s.Zone, Region: s.Region, Control: s.ListenControl, Protocol: protocolSections}
	if s.CountsForQuorum && s.DataDir != "" {
		replica, err := openReplica(s, logger, environment.OpenDisk, packing)
		if err != nil {
			return nil, err
		}
		n.replica = replica
		n.self.Core, n.self.Disk = true, replica.id().Disk
	}
	n.founding = newFounding(s)
	if s.Bootstrap && n.replica == nil {
		n.founding.activate()
	}
	listener, err := environment.Network.Listen(s.PeerAddress(s.IP))
	if err != nil {
		return nil, err
	}
	n.listener = listener
	return n, n.openNotes()
}

// Incarnation tells this process from earlier ones of the same broker.
func (n *Node) Incarnation() uint64 { return n.proposer }

// Traffic counts what this broker and the others have sent each other since its start, apart from notes.
func (n *Node) Traffic() []peerlink.Count { return n.traffic.Counts() }

// OnRecord has f called for each record that is new here, of whatever origin. It is called before Run.
func (n *Node) OnRecord(f func(dissemination.Record)) { n.onRecord = append(n.onRecord, f) }

// Replica says what this machine's replica is and the sequence of the value that it holds; false: there is none here.
func (n *Node) Replica() (replica register.Replica, sequence uint64, has bool) {
	if n.replica == nil {
		return register.Replica{}, 0, false
	}
	return n.replica.id(), n.replica.accepted().Value.Sequence, true
}

// Run takes part until the context ends.
func (n *Node) Run(ctx context.Context) {
	go func() {
		if err := peerlink.Serve(n.listener, n.traffic, n.handle); err != nil {
			n.logger.Error().Err(err).Msg("serving peers ended")
		}
	}()
	go n.exchanges(ctx)
	go n.takeNotes(ctx)
	go n.beats(ctx)
	go n.keepRegister(ctx)
	<-ctx.Done()
	n.listener.Close()
	n.client.Close()
}

// every calls f again and again, at intervals that vary by a fifth.
func (n *Node) every(ctx context.Context, interval time.Duration, f func(context.Context)) {
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

// SetSeeds takes other seeds, after the settings have changed.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seeds = seeds
}

// call makes one call; a peer that does not answer gets a new connection next time.
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

// handle answers a peer's call.
func (n *Node) handle(m *peerlink.Message) *peerlink.Message {
	switch {
	case m.Relay != nil:
		return n.answerRelay(m)
	case m.Digest != nil:
		return n.answerDigest(m.Digest)
	case m.Records != nil:
		n.take(m.Records.Records, m.Records.From)
		n.consider(m.Records.Offered, m.Records.From)
		return n.give(m.Records.Wanted, m.Has)
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
