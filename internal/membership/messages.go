package membership

// State is the state of a member. Within one incarnation the higher state wins, so the result of merging updates does
// not depend on their order.
type State uint8

const (
	Alive   State = iota
	Suspect       // a probe failed; the member may refute the suspicion
	Dead          // the suspicion expired without a refutation
	Left          // it announced its shutdown
)

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// Member is a member as it appears in messages.
type Member struct {
	Name        string  `json:"name"`
	Addr        string  `json:"addr"`        // address at which it receives messages
	Boot        uint64  `json:"boot"`        // number of its process; differs at each start
	Incarnation uint64  `json:"incarnation"` // raised by the member itself to refute a suspicion
	State       State   `json:"state"`       // in this incarnation
	Weight      float64 `json:"weight"`      // its relative share of divided work
	By          string  `json:"by"`          // member that suspects it or declared it dead
}

// Living reports whether the member may get work; a suspect still may.
func (m Member) Living() bool { return m.State <= Suspect }

// supersedes reports whether update a overrides update b of the same member.
func supersedes(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Boot != b.Boot {
		return a.Boot > b.Boot
	}
	return a.State > b.State
}

// Kind is the type of a message.
type Kind uint8

const (
	Ping          Kind = iota + 1 // direct probe; the receiver answers with Ack
	Ack                           // answer to a Ping
	Relay                         // request to ping Target on behalf of the sender
	Nack                          // the relay is reachable but has no answer from the target
	Gossip                        // updates only
	Exchange                      // first page of the sender's full state; the receiver answers with its own
	ExchangeReply                 // the answer, and every further page in both directions
)

// Message is sent from one member to another. The transport authenticates From.
type Message struct {
	Kind   Kind
	Seq    uint32
	From   string
	To     string // name of the receiver; "" if only the address is known
	Target Member // member to probe, in a Relay
	News   []Member
	Cargo  []byte // data of the layers above, piggybacked
}

// Cargo supplies and receives data of the layers above that is piggybacked on messages.
type Cargo interface {
	// Load returns at most maxBytes bytes for a message to a member, or nil if there is nothing to send.
	Load(to string, maxBytes int) []byte
	// Urgent reports whether to send messages even if there are no membership updates.
	Urgent() bool
	// Unload processes data received from a member.
	Unload(from string, data []byte)
}

// Timing holds the intervals and timeouts, in ms, and the limits. A field that is 0 takes its value from Standard.
type Timing struct {
	ProbeInterval    float64 // interval between probes
	ProbeTimeout     float64 // timeout of a direct probe, after which relays are requested
	Gossip           float64 // interval between gossip messages while updates are queued
	Exchange         float64 // interval between full state exchanges
	RejoinInterval   float64 // interval between attempts to rejoin addresses without a live member
	DeadRetention    float64 // how long dead members and those that left are kept
	LeaveDuration    float64 // how long a leaving member announces it
	IndirectProbes   int     // members that probe indirectly when a direct probe fails
	Fanout           int     // members that receive queued updates per gossip interval
	RetransmitMult   int     // times log10 of the member count: transmissions of each update
	SuspicionMult    float64 // times that logarithm and ProbeInterval: minimum suspicion timeout
	MaxSuspicionMult float64 // times that minimum: maximum suspicion timeout, with a single accuser
	MaxMessageBytes  int     // maximum message size in bytes, as Size counts it
	MaxMembers       int     // maximum number of known members
}

// Standard returns the timing for a local network: all members detect a failure within seconds.
func Standard() Timing {
	return Timing{ProbeInterval: 1000, ProbeTimeout: 300, Gossip: 200, Exchange: 15000, RejoinInterval: 3000, DeadRetention: 120000, LeaveDuration: 600,
		IndirectProbes: 3, Fanout: 3, RetransmitMult: 4, SuspicionMult: 3, MaxSuspicionMult: 4, MaxMessageBytes: 1200, MaxMembers: 1024}
}

// Scaled returns t with all intervals and timeouts multiplied by a factor.
func (t Timing) Scaled(by float64) Timing {
	for _, at := range []*float64{&t.ProbeInterval, &t.ProbeTimeout, &t.Gossip, &t.Exchange, &t.RejoinInterval, &t.DeadRetention, &t.LeaveDuration} {
		*at *= by
	}
	return t
}

// Input is a Received, Join or Leave.
type Input any

// Received is a received message and the address of its sender.
type Received struct {
	Addr    string
	Message Message
}

// Join sets the seed addresses. An address is retried as long as no live member has it.
type Join struct{ Addrs []string }

// Leave starts the shutdown of this member, which it announces to the others for Timing.LeaveDuration.
type Leave struct{}

// Output is a Send or a Changed.
type Output any

// Send is a message to be sent.
type Send struct {
	Addr    string
	Message Message
}

// Changed reports a state change of a member. Was is its previous state, Known whether it was known before.
type Changed struct {
	Member Member
	Was    State
	Known  bool
}

// Counts are the failure detector's metrics.
type Counts struct {
	// Probes started, probes without any answer, and probes relayed for others.
	Probes  int `json:"probes"`
	Failed  int `json:"failed"`
	Relayed int `json:"relayed"`
	// Suspicions started here, and suspicions of this member that it refuted.
	Suspected int `json:"suspected"`
	Refuted   int `json:"refuted"`
	Conflicts int `json:"conflicts"` // messages or updates of another process with this member's name
	Stalls    int `json:"stalls"`    // pauses of this process longer than the probe timeout
	Dropped   int `json:"dropped"`   // invalid updates, and updates and relays over the limit
	Sent      int `json:"sent"`
	Received  int `json:"received"`
	Rejoined  int `json:"rejoined"`
}

const (
	maxHealth        = 8   // worst local health score
	maxRelays        = 256 // concurrent relays
	nackTimeoutRatio = 0.8 // fraction of the direct probe's timeout
	memberBytes      = 40  // encoded size of a member without its strings
	headerBytes      = 80  // encoded size of a message header without its strings
)

// Size returns an upper bound of the encoded size of a member in a message, in bytes.
func Size(m Member) int { return memberBytes + len(m.Name) + len(m.Addr) + len(m.By) }
