package trial

import (
	"fmt"
	"math"
	"slices"

	"gullstair/internal/verdicts"
	"gullstair/internal/virtual"
)

// VerdictRules are of a Verdicts world. Times in ms.
type VerdictRules struct {
	Members, Stores int
	Zones           int     // members and stores are spread over them in turn
	Sets            int     // stores of one set hold the same shards
	Rate            float64 // scans a second at each member; each goes to a store by chance
	Drift           float64 // of the members' clocks, at both ends of it
	Words           verdicts.Rules
	Weather         virtual.Weather
	Alone           bool // nobody tells anybody
}

// Verdicts is a world of members that come to verdicts on stores. What a store does to whom is set by who plays it; members send it parts unless they rest it by a verdict
// or since it has just failed them. It judges what members go by: how old, how wide, and whose orders.
type Verdicts struct {
	Rules  VerdictRules
	Net    *virtual.Net
	Faults []string
	Sent   int // parts that went out,
	Lost   int // and that were lost to a store that failed
	Wrong  int // parts that were kept from a store though it did well by this member, by others' word
	// Ails says whether a store fails a member's part now.
	Ails func(member, store int) bool
	// Quiet says whether no scans come to a member; nil: to all.
	Quiet func(member int) bool

	members []*knower
	rates   []float64
	born    []float64 // of the stores' processes, true time
	boots   uint64
	lastBad [][]float64 // true time of the newest failure of a store at a member
	orders  map[string][]given
}

// given is an order as it was given, by true time.
type given struct {
	o        verdicts.Set
	at, upto float64
}

type knower struct {
	w    *Verdicts
	i    int
	core *verdicts.Core
	in   []verdicts.Input
	goes map[string]verdicts.Verdict // by what it goes
	own  []float64                   // up to when it rests a store by its own word
	// liar tells the contrary of what it sees.
	liar bool
}

// NewVerdicts makes a world with all members running.
func NewVerdicts(seed uint64, r VerdictRules) *Verdicts {
	w := &Verdicts{Rules: r, Net: virtual.New(seed, r.Weather), members: make([]*knower, r.Members), rates: make([]float64, r.Members), born: make([]float64, r.Stores),
		Ails: func(int, int) bool { return false }, orders: map[string][]given{}}
	for i := range r.Members {
		w.rates[i] = 1 + r.Drift*(float64(w.Net.Chance().IntN(3))-1)
		w.lastBad = append(w.lastBad, slices.Repeat([]float64{math.Inf(-1)}, r.Stores))
	}
	for i := range r.Members {
		w.Start(i)
	}
	return w
}

func storeName(i int) string { return fmt.Sprintf("s-%04d", i) }

func (w *Verdicts) clock(i int) float64 { return 1e6 + w.Net.Now()*w.rates[i] }

// Start starts a member that knows nothing.
func (w *Verdicts) Start(i int) {
	w.Kill(i)
	w.boots++
	r := w.Rules.Words
	r.Self, r.Zone, r.Run = Name(i), fmt.Sprint("zone-", i%w.Rules.Zones), w.boots
	k := &knower{w: w, i: i, core: verdicts.New(r, w.Net.Chance().Float64), goes: map[string]verdicts.Verdict{}, own: make([]float64, w.Rules.Stores)}
	w.members[i] = k
	k.in = append(k.in, w.list(), w.view(i))
	w.Net.Start(Name(i), k, w.clock(i), w.rates[i])
	w.ask(k)
}

// Kill ends one without a word.
func (w *Verdicts) Kill(i int) {
	w.Net.Kill(Name(i))
	w.members[i] = nil
}

func (w *Verdicts) view(i int) (v verdicts.View) {
	for j := range w.Rules.Members {
		if j != i {
			v.Living = append(v.Living, verdicts.Member{Name: Name(j)})
		}
	}
	return v
}

func (w *Verdicts) list() (s verdicts.Stores) {
	for i := range w.Rules.Stores {
		s.All = append(s.All, verdicts.Store{Name: storeName(i), Set: i % w.Rules.Sets, Born: w.born[i], Ready: true})
	}
	return s
}

// Reborn has a store come back as another process under its name, and all that run told so.
func (w *Verdicts) Reborn(i int) {
	w.born[i] = w.Net.Now() + 1
	for j, k := range w.members {
		w.lastBad[j][i] = math.Inf(-1)
		if k != nil {
			k.give(w.list())
		}
	}
}

// Order has an operator order something at a member.
func (w *Verdicts) Order(i int, o verdicts.Set) {
	if k := w.members[i]; k != nil && !w.Net.Paused(Name(i)) {
		w.orders[o.Store] = append(w.orders[o.Store], given{o, w.Net.Now(), w.Net.Now() + o.For})
		k.give(o)
	}
}

func (k *knower) give(in verdicts.Input) {
	k.in = append(k.in, in)
	k.w.Net.Poke(Name(k.i))
}

// ask has scans come to a member by chance.
func (w *Verdicts) ask(k *knower) {
	w.Net.After(w.Net.Chance().ExpFloat64()*1000/w.Rules.Rate, func() {
		if w.members[k.i] != k {
			return
		}
		if !w.Net.Paused(Name(k.i)) && (w.Quiet == nil || !w.Quiet(k.i)) {
			w.part(k, w.Net.Chance().IntN(w.Rules.Stores))
		}
		w.ask(k)
	})
}

const ownRest = 1000.0 // ms for which a member rests a store that has just failed it

// part sends one to a store, unless it rests.
func (w *Verdicts) part(k *knower, store int) {
	name, now := storeName(store), w.Net.Now()
	v := k.goes[name]
	bad := w.Ails(k.i, store)
	switch {
	case now < k.own[store]:
		return
	case v.Drain:
		return
	case v.Kind >= verdicts.Fails:
		if !bad {
			w.Wrong++
		}
		return
	}
	w.Sent++
	kind := verdicts.Well
	if bad {
		w.Lost++
		kind = verdicts.Fails
		k.own[store] = now + ownRest
		w.lastBad[k.i][store] = now
	}
	if k.liar {
		kind = verdicts.Well + verdicts.Fails - kind
	}
	k.give(verdicts.Saw{Store: name, Kind: kind})
}

func (k *knower) Due() float64 { return k.core.Due() }

func (k *knower) Step(now float64, in []virtual.Packet) (out []virtual.Packet) {
	inputs := k.in
	k.in = nil
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
			k.goes[v.Store] = v
			k.w.judge(k, v)
		}
	}
	return out
}

// messageSize is about what a message takes on the wire.
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

func (w *Verdicts) fault(format string, args ...any) {
	if len(w.Faults) < 10 {
		w.Faults = append(w.Faults, fmt.Sprintf("%.0f ms: ", w.Net.Now())+fmt.Sprintf(format, args...))
	}
}

// judge looks at a verdict that a member goes by from now on: what it rests on may not be older than Fresh by any clock, as many observers as a verdict needs must have seen the
// store fail since, and of no set may more rest than the stated share.
func (w *Verdicts) judge(k *knower, v verdicts.Verdict) {
	if v.Kind < verdicts.Fails || w.ordered(v.Store) {
		return
	}
	way := 4 * (w.Rules.Weather.Delay + w.Rules.Weather.Jitter) // the time on the way is in no age, and words pass from member to member
	fresh := w.Rules.Words.Fresh*(1+3*w.Rules.Drift) + 300 + way
	saw, newest := 0, math.Inf(-1)
	for j := range w.Rules.Members {
		for s := range w.Rules.Stores {
			if storeName(s) == v.Store && w.Net.Now()-w.lastBad[j][s] <= fresh {
				saw++
				newest = max(newest, w.lastBad[j][s])
			}
		}
	}
	if saw < w.Rules.Words.Quorum {
		w.fault("%s rests %s, which %d members have seen failing lately", Name(k.i), v.Store, saw)
	}
	// What it is told is the age of the newest outcome; on the way ages only grow, by clocks that may be wrong.
	if true1 := w.Net.Now() - newest; saw > 0 && v.Age*(1+3*w.Rules.Drift)+50+way < true1 {
		w.fault("%s is told that %s failed %.0f ms ago, it was %.0f", Name(k.i), v.Store, v.Age, true1)
	}
	resting, all := map[int]int{}, map[int]int{}
	for s := range w.Rules.Stores {
		all[s%w.Rules.Sets]++
		if g := k.goes[storeName(s)]; g.Kind >= verdicts.Fails && !w.ordered(storeName(s)) {
			resting[s%w.Rules.Sets]++
		}
	}
	for set, n := range resting {
		if most := min(int(w.Rules.Words.Widest*float64(all[set])+1e-9), all[set]-1); n > most {
			w.fault("%s rests %d of the %d stores of set %d by others' word", Name(k.i), n, all[set], set)
		}
	}
}

func (w *Verdicts) ordered(store string) bool { return len(w.orders[store]) > 0 }

// Goes is what a member goes by for a store.
func (w *Verdicts) Goes(i, store int) verdicts.Verdict {
	if k := w.members[i]; k != nil {
		return k.goes[storeName(store)]
	}
	return verdicts.Verdict{}
}

// Resting counts the members that rest a store by a verdict.
func (w *Verdicts) Resting(store int) (n int) {
	for i := range w.members {
		if w.Goes(i, store).Kind >= verdicts.Fails {
			n++
		}
	}
	return n
}
