package membership

// State is how a member stands. At one incarnation the later one holds, so that news merges alike in any order.
type State uint8

const (
	Alive   State = iota
	Suspect       // it has not answered; it may refute that
	Dead          // it has not answered and not refuted that in time
	Left          // it said that it ends
)

func (s State) String() string {
	if int(s) < len(stateWords) {
		return stateWords[s]
	}
	return "unknown"
}

var stateWords = [...]string{"alive", "suspect", "dead", "left"}

// Member is what is told of a member.
type Member struct {
	Name        string  `json:"name"`
	Addr        string  `json:"addr"`        // where its messages are received
	Boot        uint64  `json:"boot"`        // its process: another number at each start
	Incarnation uint64  `json:"incarnation"` // raised by the member itself, to refute what is said of it
	State       State   `json:"state"`       //
	Weight      float64 `json:"weight"`      // its share of what is divided, against others'
	By          string  `json:"by"`          // who suspects it, or holds it for dead
}

// Living says whether work may be given to it: a suspect still counts.
func (m Member) Living() bool { return m.State <= Suspect }

// supersedes says whether a is later news than b of the same member.
func supersedes(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Boot != b.Boot {
		return a.Boot > b.Boot
	}
	return a.State > b.State
}

// Kind is a message's.
type Kind uint8

const (
	Ping          Kind = iota + 1 // answer me
	Ack                           // the answer
	Relay                         // ping Target for me
	Nack                          // a relay had no answer from the target, but is there itself
	Gossip                        // news alone
	Exchange                      // a page of all that the sender knows; answered alike
	ExchangeReply                 // that answer, and every further page of either
)

// Message goes from one member to another. The carrier vouches for From.
type Message struct {
	Kind   Kind
	Seq    uint32
	From   string
	To     string // whom it is meant for; "" where only the address is known
	Target Member // of a Relay
	News   []Member
	Cargo  []byte // what the layers above send along
}

// Cargo is what the layers above have to send along with messages.
type Cargo interface {
	// Load returns at most room bytes for a message to a member; nil when there is nothing.
	Load(to string, room int) []byte
	// Urgent says whether messages should be sent for its sake alone.
	Urgent() bool
	// Unload takes what came from a member.
	Unload(from string, data []byte)
}

// Timing holds the times in ms and the bounds. Standard gives all of them; a field at 0 is taken from there.
type Timing struct {
	Probe     float64 // one member is probed each so long
	Reply     float64 // a direct answer is awaited for so long, before others are asked to try
	Gossip    float64 // news that waits is sent each so long
	Exchange  float64 // everything is exchanged with one member each so long
	Rejoin    float64 // addresses that should be members' and are not are tried each so long
	Forget    float64 // the dead and those that left are remembered for so long
	Linger    float64 // one that leaves says so for so long
	Relays    int     // members asked to try when no direct answer comes
	Fanout    int     // members that get waiting news each time
	Retell    int     // times the decimal logarithm of the members: how often a piece of news is sent
	Suspicion float64 // times that logarithm and Probe: the least time of a suspicion
	Patience  float64 // times that: the longest, when nobody else suspects
	Room      int     // bytes of a message, as Size counts them
	Most      int     // members that are known at most
}

// Standard is for a local network: a death is seen by all within some seconds.
func Standard() Timing {
	return Timing{Probe: 1000, Reply: 300, Gossip: 200, Exchange: 15000, Rejoin: 3000, Forget: 120000, Linger: 600,
		Relays: 3, Fanout: 3, Retell: 4, Suspicion: 3, Patience: 4, Room: 1200, Most: 1024}
}

// Scaled is Standard with all times multiplied.
func (t Timing) Scaled(by float64) Timing {
	for _, at := range []*float64{&t.Probe, &t.Reply, &t.Gossip, &t.Exchange, &t.Rejoin, &t.Forget, &t.Linger} {
		*at *= by
	}
	return t
}

// Input is a Received, Join or Leave.
type Input any

// Received is a message that came in, with the address it came from.
type Received struct {
	Addr    string
	Message Message
}

// Join names addresses where members should be found. They are tried for as long as nobody living is there.
type Join struct{ Addrs []string }

// Leave begins the end of this member: the others are told for Linger.
type Leave struct{}

// Output is a Send or a Changed.
type Output any

// Send is a message to be sent.
type Send struct {
	Addr    string
	Message Message
}

// Changed says that a member is seen differently: Was is its state before, Known whether it was known.
type Changed struct {
	Member Member
	Was    State
	Known  bool
}

// Counts are kept for the operators.
type Counts struct {
	// probes begun, without any answer, made for others
	Probes  int `json:"probes"`
	Failed  int `json:"failed"`
	Relayed int `json:"relayed"`
	// suspicions begun here, refutations of this member's own
	Suspected int `json:"suspected"`
	Refuted   int `json:"refuted"`
	Conflicts int `json:"conflicts"` // words of another process under this member's name
	Stalls    int `json:"stalls"`    // times this member stood still for longer than a probe may take
	Dropped   int `json:"dropped"`   // news of more members than may be known, or that is impossible
	Sent      int `json:"sent"`
	Received  int `json:"received"`
	Rejoined  int `json:"rejoined"`
}

const (
	healthMost  = 8   // of the score that says how poorly this member does itself
	relaysMost  = 256 // relays open at once
	nackAfter   = 0.8 // of the time that a direct answer has
	memberBytes = 40  // of a member in a message, beside its strings
	headBytes   = 80  // of a message, beside its strings
)

// Size is an upper bound of what a member takes in a message, in bytes.
func Size(m Member) int { return memberBytes + len(m.Name) + len(m.Addr) + len(m.By) }
