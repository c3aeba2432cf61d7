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
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"gullstair/internal/dissemination"
	"gullstair/internal/journalfile"
	"gullstair/internal/netio"
	"gullstair/internal/peerlink"
	"gullstair/internal/peers"
	"gullstair/internal/register"
	"gullstair/internal/settings"
)

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
	pushFanout     = 4                      // peers that a new record is pushed to
	callTimeout    = 600 * time.Millisecond
	beatEvery      = time.Second           // a member's record is renewed no more often,
	beatPerMember  = 20 * time.Millisecond // and in a large fleet once in so much for each member
	beatsMissed    = 4                     // renewals after which a member counts as gone
	forgetAfter    = 60 * time.Second      // a member that is gone for longer is forgotten
	mostDropped    = 4096
	seedEvery      = 2 * time.Second
	unreachedAfter = 1500 * time.Millisecond
)

// Member is one broker as it tells of itself.
type Member struct {
	Name    string
	IP      string
	Zone    string
	Control string // address for the operator and for heartbeats
	Core    bool   // holds, or may hold, a replica of the register
	Disk    uint64
	Leaving bool
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
	listener net.Listener
	notes    netio.Datagrams
	onNote   map[NoteKind]func([]byte)
	random   *rand.Rand

	mu        sync.Mutex
	store     *dissemination.Store
	view      *peers.View
	self      Member
	epoch     uint64
	beat      uint64
	heard     map[string]time.Time // when a member's record last advanced, by address
	fresh     []dissemination.Record
	pushing   bool
	onRecord  []func(dissemination.Record)
	started   time.Time
	seeds     []string
	known     register.Known // the newest value that is known to be chosen
	highest   register.Ballot
	proposer  uint64
	proposing chan struct{} // holds the turn to make an attempt
	changed   chan struct{} // closed when known changes

	replica  *replica  // nil on a machine without a disk
	founding *founding // the acceptor that decides the first members, while the system starts for the first time
	unheard  map[string]time.Time
}

// New opens this broker's place; Run makes it take part.
func New(s *settings.Settings, logger *log.Logger, environment Environment) (*Node, error) {
	n := &Node{settings: s, logger: logger, environment: environment, client: peerlink.NewClient(environment.Network), store: dissemination.New(), heard: map[string]time.Time{},
		proposer: rand.Uint64() | 1, started: time.Now(), changed: make(chan struct{}), seeds: s.SeedIPs(),
		proposing: make(chan struct{}, 1), unheard: map[string]time.Time{}, onNote: map[NoteKind]func([]byte){}}
	n.random = rand.New(rand.NewPCG(n.proposer, 1))
	n.view = peers.New(s.IP, n.proposer)
	n.epoch = uint64(time.Now().UnixNano())
	n.self = Member{Name: s.NodeName, IP: s.IP, Zone: s.Zone, Control: s.ListenControl}
	if s.CountsForQuorum && s.DataDir != "" {
		replica, err := openReplica(s, logger, environment.OpenDisk)
		if err != nil {
			return nil, err
		}
		n.replica = replica
		n.self.Core, n.self.Disk = true, replica.id().Disk
	}
	n.founding = newFounding(s)
	listener, err := environment.Network.Listen(s.PeerAddress(s.IP))
	if err != nil {
		return nil, err
	}
	n.listener = listener
	return n, n.openNotes()
}

// Incarnation tells this process from earlier ones of the same broker.
func (n *Node) Incarnation() uint64 { return n.proposer }

// OnRecord has f called for each record that is new here, of whatever origin. It is called before Run.
func (n *Node) OnRecord(f func(dissemination.Record)) { n.onRecord = append(n.onRecord, f) }

// Run takes part until the context ends.
func (n *Node) Run(ctx context.Context) {
	go func() {
		if err := peerlink.Serve(n.listener, n.handle); err != nil {
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

// exchanges reconciles with one peer after another. Until it knows the register's value it does so in quick succession
// and with several at a time: some may not be back yet.
func (n *Node) exchanges(ctx context.Context) {
	for range firstExchanges {
		if n.founded() || ctx.Err() != nil {
			break
		}
		go n.exchange(ctx)
		time.Sleep(firstSpacing)
	}
	n.every(ctx, exchangeEvery, n.exchange)
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

// beats renews this broker's own record.
func (n *Node) beats(ctx context.Context) {
	n.renew()
	for {
		n.mu.Lock()
		interval := max(beatEvery, time.Duration(len(n.heard))*beatPerMember)
		n.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
			n.renew()
			n.expire(interval)
		}
	}
}

func (n *Node) renew() {
	n.mu.Lock()
	n.beat++
	record := dissemination.Record{Kind: MemberRecord, Key: n.self.IP, Version: dissemination.Version{Epoch: n.epoch, Sequence: n.beat},
		Body: n.self}
	n.store.Put(record)
	n.mu.Unlock()
}

// Leave tells the others that this broker is about to end.
func (n *Node) Leave() {
	n.mu.Lock()
	n.self.Leaving = true
	n.beat++
	record := dissemination.Record{Kind: MemberRecord, Key: n.self.IP, Version: dissemination.Version{Epoch: n.epoch, Sequence: n.beat},
		Body: n.self}
	n.mu.Unlock()
	n.Publish(record)
}

// expire forgets members that have long been gone.
func (n *Node) expire(interval time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for ip, at := range n.heard {
		if time.Since(at) > max(forgetAfter, 10*interval) {
			delete(n.heard, ip)
			n.store.Drop(dissemination.ID{Kind: MemberRecord, Key: ip})
			n.view.Remove(ip)
		}
	}
	n.store.ForgetDropped(mostDropped)
}

// Members returns the brokers that are alive as far as this one knows, itself among them, by address.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	limit := beatsMissed * max(beatEvery, time.Duration(len(n.heard))*beatPerMember)
	members := []Member{n.self}
	for _, r := range n.store.Of(MemberRecord) {
		at, heard := n.heard[r.Key]
		if r.Key == n.self.IP || !heard || time.Since(at) > limit {
			continue
		}
		if member, ok := r.Body.(Member); ok && !member.Leaving {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return bytes.Compare([]byte(a.IP), []byte(b.IP)) })
	return members
}

// Records returns all records of a kind.
func (n *Node) Records(kind byte) []dissemination.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.store.Of(kind)
}

// Publish puts a record in and spreads it.
func (n *Node) Publish(r dissemination.Record) { n.take([]dissemination.Record{r}, "") }

// Drop forgets a record here.
func (n *Node) Drop(id dissemination.ID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.store.Drop(id)
}

// PublishEverywhere spreads a record and waits until all members that are alive have it, or the context ends. It
// returns how many of how many have confirmed it.
func (n *Node) PublishEverywhere(ctx context.Context, r dissemination.Record) (confirmed, members int) {
	n.Publish(r)
	all := n.Members()
	results := make(chan bool, len(all))
	calls := 0
	for _, member := range all {
		if member.IP == n.self.IP {
			continue
		}
		calls++
		go func() {
			_, err := n.client.Call(ctx, n.settings.PeerAddress(member.IP), peerlink.Message{Records: &peerlink.Records{From: n.self.IP,
				Records: []dissemination.Record{r}}})
			results <- err == nil
		}()
	}
	for range calls {
		select {
		case ok := <-results:
			if ok {
				confirmed++
			}
		case <-ctx.Done():
			return confirmed, calls
		}
	}
	return confirmed, calls
}

// take puts records in that may be new and passes on those that are.
func (n *Node) take(records []dissemination.Record, from string) {
	n.mu.Lock()
	var news []dissemination.Record
	for _, r := range records {
		if r.Kind == MemberRecord && r.Key == n.self.IP && from != "" {
			n.refute(r)
			continue
		}
		if !n.store.Put(r) {
			continue
		}
		news = append(news, r)
		switch r.Kind {
		case MemberRecord:
			n.heard[r.Key] = time.Now()
			n.view.Add(r.Key)
		case RegisterRecord:
			n.learn(r)
		}
	}
	n.queue(news)
	n.mu.Unlock()
	for _, r := range news {
		for _, f := range n.onRecord {
			f(r)
		}
	}
}

// refute outdoes a record of this broker's address that an earlier process left behind.
func (n *Node) refute(r dissemination.Record) {
	if r.Version.Epoch > n.epoch {
		n.epoch = r.Version.Epoch + 1
		n.beat++
	}
}

// queue has new records pushed soon. Renewals of members travel by reconciliation alone.
func (n *Node) queue(news []dissemination.Record) {
	for _, r := range news {
		if r.Kind != MemberRecord || n.isNews(r) {
			n.fresh = append(n.fresh, r)
		}
	}
	if len(n.fresh) > 0 && !n.pushing {
		n.pushing = true
		time.AfterFunc(pushDelay, n.push)
	}
}

// isNews says whether a member's record is its first, or its farewell.
func (n *Node) isNews(r dissemination.Record) bool {
	member, ok := r.Body.(Member)
	return r.Version.Sequence <= 2 || ok && member.Leaving
}

func (n *Node) push() {
	n.mu.Lock()
	records := n.fresh
	n.fresh, n.pushing = nil, false
	targets := n.view.Pick(pushFanout)
	n.mu.Unlock()
	for _, ip := range targets {
		go n.call(ip, peerlink.Message{Records: &peerlink.Records{From: n.self.IP, Records: records}})
	}
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

// exchange reconciles with one random peer, or with a seed while the view is empty.
func (n *Node) exchange(context.Context) {
	n.mu.Lock()
	peer := ""
	if picked := n.view.Pick(1); len(picked) == 1 {
		peer = picked[0]
	}
	if peer == "" || n.random.IntN(16) == 0 {
		if seeds := n.otherSeeds(); len(seeds) > 0 {
			peer = seeds[n.random.IntN(len(seeds))]
		}
	}
	if peer == "" {
		n.mu.Unlock()
		return
	}
	mine := n.store.Digest()
	sample := n.view.Sample()
	n.mu.Unlock()
	reply, err := n.call(peer, peerlink.Message{Digest: &peerlink.Digest{From: n.self.IP, Digest: mine, View: sample}})
	if err != nil || reply.Headings == nil {
		n.missed(peer)
		return
	}
	n.mu.Lock()
	n.view.Add(peer)
	n.view.Merge(reply.Headings.View)
	newer, wanted := n.store.Compare(reply.Headings.Digest, reply.Headings.Headings)
	n.mu.Unlock()
	if len(newer) == 0 && len(wanted) == 0 {
		return
	}
	answer, err := n.call(peer, peerlink.Message{Records: &peerlink.Records{From: n.self.IP, Records: newer, Wanted: wanted}})
	if err == nil && answer.Records != nil {
		n.take(answer.Records.Records, peer)
	}
}

func (n *Node) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(n.seeds), func(ip string) bool { return ip == n.self.IP })
}

// missed takes a peer that does not answer out of the view, unless hardly anyone is left.
func (n *Node) missed(peer string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view.Len() > 3 {
		n.view.Remove(peer)
	}
}

// handle answers a peer's call.
func (n *Node) handle(m *peerlink.Message) *peerlink.Message {
	switch {
	case m.Digest != nil:
		return n.answerDigest(m.Digest)
	case m.Records != nil:
		n.take(m.Records.Records, m.Records.From)
		n.mu.Lock()
		defer n.mu.Unlock()
		return &peerlink.Message{Records: &peerlink.Records{From: n.self.IP, Records: n.store.Take(m.Records.Wanted)}}
	case m.Prepare != nil:
		promise := n.acceptor(m.Prepare.To).prepare(*m.Prepare)
		return &peerlink.Message{Promise: &promise}
	case m.Accept != nil:
		accepted := n.acceptor(m.Accept.To).accept(*m.Accept)
		return &peerlink.Message{Accepted: &accepted}
	case m.Found != nil:
		return n.answerFound(m.Found)
	}
	return nil
}

func (n *Node) answerDigest(m *peerlink.Digest) *peerlink.Message {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.Add(m.From)
	n.view.Merge(m.View)
	return &peerlink.Message{Headings: &peerlink.Headings{Digest: n.store.Digest(), Headings: n.store.Headings(m.Digest),
		View: n.view.Sample()}}
}

func init() {
	gob.RegisterName("m", Member{})
	gob.RegisterName("r", register.Known{})
}

func encode(v any) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		panic(err) // the types are fixed
	}
	return b.Bytes()
}

func decode(body []byte, v any) error { return gob.NewDecoder(bytes.NewReader(body)).Decode(v) }
