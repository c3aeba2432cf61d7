package simulation

import (
	"fmt"
	"math"
	"slices"

	"gullstair/internal/verdicts"
	"gullstair/internal/virtual"
)

// VerdictRules configures a VerdictWorld. Times are in ms.
type VerdictRules struct {
	Members, Stores int
	Zones           int     // members and stores are assigned to zones round robin
	Sets            int     // replica sets; the stores of a set hold the same shards
	Rate            float64 // scans per second at each member; each goes to a random store
	Drift           float64 // members' clocks run at both ends of this drift
	Words           verdicts.Rules
	Network         virtual.Conditions
	Alone           bool // members exchange no messages
}

// VerdictWorld simulates members that reach verdicts on stores. The caller sets which stores fail which members. A member sends parts of scans to a store
// unless a verdict excludes the store or the store has just failed the member. The world checks the applied verdicts: the age of their evidence, the share of
// stores that they exclude, and operators' orders.
type VerdictWorld struct {
	Rules    VerdictRules
	Net      *virtual.Net
	Faults   []string
	Sent     int // parts sent
	Lost     int // parts sent to a store that failed them
	Withheld int // parts withheld by a verdict from a store that would have served this member
	// Fails reports whether a store currently fails a member's parts.
	Fails func(member, store int) bool
	// NoTraffic reports whether no scans arrive at a member. If nil, they arrive at all members.
	NoTraffic func(member int) bool

	members     []*verdictNode
	rates       []float64
	startedAt   []float64 // start of each store's process in true time
	boots       uint64
	lastFailure [][]float64 // true time of the last failure, by member and store
	orders      map[string][]timedOrder
}

// timedOrder is an operator's order with its true start and end.
type timedOrder struct {
	order     verdicts.Set
	at, until float64
}

type verdictNode struct {
	w          *VerdictWorld
	i          int
	core       *verdicts.Core
	inbox      []verdicts.Input
	applied    map[string]verdicts.Verdict // applied verdicts by store
	avoidUntil []float64                   // by store: until when the member avoids it after a failure of its own
	// inverted makes the member report the opposite of each outcome.
	inverted bool
}

// NewVerdictWorld creates a world with all members running.
func NewVerdictWorld(seed uint64, r VerdictRules) *VerdictWorld {
	w := &VerdictWorld{Rules: r, Net: virtual.New(seed, r.Network), members: make([]*verdictNode, r.Members), rates: make([]float64, r.Members), startedAt: make([]float64, r.Stores),
		Fails: func(int, int) bool { return false }, orders: map[string][]timedOrder{}}
	for i := range r.Members {
		w.rates[i] = 1 + r.Drift*(float64(w.Net.Rand().IntN(3))-1)
		w.lastFailure = append(w.lastFailure, slices.Repeat([]float64{math.Inf(-1)}, r.Stores))
	}
	for i := range r.Members {
		w.Start(i)
	}
	return w
}

func storeName(i int) string { return fmt.Sprintf("s-%04d", i) }

func (w *VerdictWorld) clock(i int) float64 { return 1e6 + w.Net.Now()*w.rates[i] }

// Start starts a member without any state.
func (w *VerdictWorld) Start(i int) {
	w.Kill(i)
	w.boots++
	r := w.Rules.Words
	r.Self, r.Zone, r.Run = Name(i), fmt.Sprint("zone-", i%w.Rules.Zones), w.boots
	k := &verdictNode{w: w, i: i, core: verdicts.New(r, w.Net.Rand().Float64), applied: map[string]verdicts.Verdict{}, avoidUntil: make([]float64, w.Rules.Stores)}
	w.members[i] = k
	k.inbox = append(k.inbox, w.list(), w.view(i))
	w.Net.Start(Name(i), k, w.clock(i), w.rates[i])
	w.scheduleScans(k)
}

// Kill ends a member without an announcement.
func (w *VerdictWorld) Kill(i int) {
	w.Net.Kill(Name(i))
	w.members[i] = nil
}

func (w *VerdictWorld) view(i int) (v verdicts.View) {
	for j := range w.Rules.Members {
		if j != i {
			v.Living = append(v.Living, verdicts.Member{Name: Name(j)})
		}
	}
	return v
}

func (w *VerdictWorld) list() (s verdicts.Stores) {
	for i := range w.Rules.Stores {
		s.All = append(s.All, verdicts.Store{Name: storeName(i), Set: i % w.Rules.Sets, Born: w.startedAt[i], Ready: true})
	}
	return s
}

// ReplaceStore replaces a store by a new process of the same name and notifies all running members.
func (w *VerdictWorld) ReplaceStore(i int) {
	w.startedAt[i] = w.Net.Now() + 1
	for j, k := range w.members {
		w.lastFailure[j][i] = math.Inf(-1)
		if k != nil {
			k.input(w.list())
		}
	}
}

// Order has an operator give an order at a member.
func (w *VerdictWorld) Order(i int, o verdicts.Set) {
	if k := w.members[i]; k != nil && !w.Net.Paused(Name(i)) {
		w.orders[o.Store] = append(w.orders[o.Store], timedOrder{o, w.Net.Now(), w.Net.Now() + o.For})
		k.input(o)
	}
}

func (k *verdictNode) input(in verdicts.Input) {
	k.inbox = append(k.inbox, in)
	k.w.Net.Wake(Name(k.i))
}

// scheduleScans lets scans arrive at a member at random.
func (w *VerdictWorld) scheduleScans(k *verdictNode) {
	w.Net.After(w.Net.Rand().ExpFloat64()*1000/w.Rules.Rate, func() {
		if w.members[k.i] != k {
			return
		}
		if !w.Net.Paused(Name(k.i)) && (w.NoTraffic == nil || !w.NoTraffic(k.i)) {
			w.sendPart(k, w.Net.Rand().IntN(w.Rules.Stores))
		}
		w.scheduleScans(k)
	})
}

const avoidDuration = 1000.0 // ms for which a member avoids a store that has just failed it

// sendPart sends one part to a store unless the member avoids the store.
func (w *VerdictWorld) sendPart(k *verdictNode, store int) {
	name, now := storeName(store), w.Net.Now()
	v := k.applied[name]
	bad := w.Fails(k.i, store)
	switch {
	case now < k.avoidUntil[store]:
		return
	case v.Drain:
		return
	case v.Kind >= verdicts.Fails:
		if !bad {
			w.Withheld++
		}
		return
	}
	w.Sent++
	kind := verdicts.Well
	if bad {
		w.Lost++
		kind = verdicts.Fails
		k.avoidUntil[store] = now + avoidDuration
		w.lastFailure[k.i][store] = now
	}
	if k.inverted {
		kind = verdicts.Well + verdicts.Fails - kind
	}
	k.input(verdicts.Outcome{Store: name, Kind: kind})
}

func (k *verdictNode) Due() float64 { return k.core.Due() }

func (k *verdictNode) Step(now float64, in []virtual.Packet) (out []virtual.Packet) {
	inputs := k.inbox
	k.inbox = nil
	for _, p := range in {
		inputs = append(inputs, verdicts.Received{From: p.From, Message: p.Data.(verdicts.Message)})
	}
	for _, o := range k.core.Step(now, inputs) {
		switch v := o.(type) {
		case verdicts.Send:
			if !k.w.Rules.Alone {
				out = append(out, virtual.Packet{To: v.To, Data: v.Message, Size: messageSize(v.Message)})
			}
		case verdicts.Verdict:
			k.applied[v.Store] = v
			k.w.checkVerdict(k, v)
		}
	}
	return out
}

// messageSize estimates the encoded size of a message.
func messageSize(m verdicts.Message) int {
	n := 60
	for _, w := range m.Words {
		n += 40 + len(w.Store) + len(w.Observer)
	}
	for _, o := range m.Orders {
		n += 40 + len(o.Store) + len(o.Reason)
	}
	return n + 16*len(m.Known)
}

func (w *VerdictWorld) fault(format string, args ...any) {
	if len(w.Faults) < 10 {
		w.Faults = append(w.Faults, fmt.Sprintf("%.0f ms: ", w.Net.Now())+fmt.Sprintf(format, args...))
	}
}

// checkVerdict checks a verdict that a member starts to apply: its evidence is no older than Fresh by any clock, a quorum of observers saw the store fail
// within that time, and the member excludes no more than the configured share of each replica set.
func (w *VerdictWorld) checkVerdict(k *verdictNode, v verdicts.Verdict) {
	if v.Kind < verdicts.Fails || w.ordered(v.Store) {
		return
	}
	transit := 4 * (w.Rules.Network.Delay + w.Rules.Network.Jitter) // ages do not include transit time, and reports pass from member to member
	fresh := w.Rules.Words.Fresh*(1+3*w.Rules.Drift) + 300 + transit
	saw, newest := 0, math.Inf(-1)
	for j := range w.Rules.Members {
		for s := range w.Rules.Stores {
			if storeName(s) == v.Store && w.Net.Now()-w.lastFailure[j][s] <= fresh {
				saw++
				newest = max(newest, w.lastFailure[j][s])
			}
		}
	}
	if saw < w.Rules.Words.Quorum {
		w.fault("%s excludes %s, which only %d members saw fail lately", Name(k.i), v.Store, saw)
	}
	// A verdict carries the age of the newest outcome. Ages grow on the way by clocks that may drift.
	if actualAge := w.Net.Now() - newest; saw > 0 && v.Age*(1+3*w.Rules.Drift)+50+transit < actualAge {
		w.fault("the verdict of %s says that %s failed %.0f ms ago, but it was %.0f ms", Name(k.i), v.Store, v.Age, actualAge)
	}
	excluded, all := map[int]int{}, map[int]int{}
	for s := range w.Rules.Stores {
		all[s%w.Rules.Sets]++
		if g := k.applied[storeName(s)]; g.Kind >= verdicts.Fails && !w.ordered(storeName(s)) {
			excluded[s%w.Rules.Sets]++
		}
	}
	for set, n := range excluded {
		if most := min(int(w.Rules.Words.Widest*float64(all[set])+1e-9), all[set]-1); n > most {
			w.fault("%s excludes %d of the %d stores of set %d by verdicts", Name(k.i), n, all[set], set)
		}
	}
}

func (w *VerdictWorld) ordered(store string) bool { return len(w.orders[store]) > 0 }

// Applied returns the verdict that a member applies to a store.
func (w *VerdictWorld) Applied(i, store int) verdicts.Verdict {
	if k := w.members[i]; k != nil {
		return k.applied[storeName(store)]
	}
	return verdicts.Verdict{}
}

// Excluding returns the number of members that exclude a store by a verdict.
func (w *VerdictWorld) Excluding(store int) (n int) {
	for i := range w.members {
		if w.Applied(i, store).Kind >= verdicts.Fails {
			n++
		}
	}
	return n
}
