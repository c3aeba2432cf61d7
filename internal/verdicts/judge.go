package verdicts

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
)

// Reasons why a store is held for well, as Why tells them.
const (
	whyNone    = "nobody holds anything against it"
	whyFew     = "too few independent observers, or outcomes"
	whyZone    = "observers of one zone only"
	whyDenied  = "others see it well"
	whyWide    = "too many holders of its shards would rest"
	whyVerdict = "observers agree"
	whyOrder   = "an operator's order"
	whyGone    = "it is not on the list"
)

// evidence is what the fresh words on a store come to.
type evidence struct {
	kind   Kind
	bad    int // credible observers that see it bad
	well   int // credible observers that see it well, and have since
	load   int // that see it slow or full
	row    int // bad outcomes in a row, of all that see it bad
	zones  map[string]bool
	newest float64 // outcome of those who see it bad
	wellAt float64
}

// weighed looks at a store's fresh words. An observer that condemns more of the stores than it may is not counted: its link, its host or its clock is what is ill.
func (c *Core) weighed(store string, condemned map[string]int) (e evidence) {
	e.zones, e.newest, e.wellAt = map[string]bool{}, math.Inf(-1), math.Inf(-1)
	born := c.stores[store].Born
	kinds := [Silent + 1]int{}
	for _, by := range slices.Sorted(maps.Keys(c.words[store])) {
		h := c.words[store][by]
		switch {
		case c.now-h.at > c.r.Fresh, h.Born < born: // old, or of an earlier process of that name
		case h.Kind == Held: // no word on a store
		case float64(condemned[by]) > max(1, condemning*float64(len(c.stores))):
			c.Counts.Doubted++
		case h.Kind.bad():
			e.bad++
			e.row += h.Row
			e.zones[h.Zone] = true
			kinds[h.Kind]++
			e.newest = max(e.newest, h.at)
		case h.Kind == Well:
			e.well++
			e.wellAt = max(e.wellAt, h.at)
		default:
			e.load++
			kinds[h.Kind]++
			e.newest = max(e.newest, h.at)
		}
	}
	for k := Silent; k > Well; k-- {
		if kinds[k] > 0 && (e.kind == 0 || kinds[k] > kinds[e.kind]) && (k.bad() || e.bad == 0) {
			e.kind = k
		}
	}
	return e
}

// condemned counts for each observer how many stores its fresh words hold for bad.
func (c *Core) condemned() map[string]int {
	if c.guilty != nil {
		return c.guilty
	}
	n := map[string]int{}
	c.guilty = n
	for store, of := range c.words {
		born := c.stores[store].Born
		for by, h := range of {
			if c.now-h.at <= c.r.Fresh && h.Kind.bad() && h.Born >= born {
				n[by]++
			}
		}
	}
	return n
}

// sides is how many zones observers are of, as far as they are known.
func (c *Core) sides() int {
	zones := map[string]bool{c.r.Zone: true}
	for _, z := range c.zones {
		zones[z] = true
	}
	return len(zones)
}

// sound says whether fresh words make a verdict on a store, and why.
func (c *Core) sound(store string, condemned map[string]int) (Kind, float64, string) {
	e := c.weighed(store, condemned)
	switch {
	case e.kind == 0:
		return Well, e.wellAt, whyNone
	case !e.kind.bad():
		if e.load < c.r.Quorum {
			return Well, e.wellAt, whyFew
		} else if float64(e.well) > denying*float64(e.load) {
			return Well, e.wellAt, whyDenied
		}
		return e.kind, e.newest, whyVerdict
	case e.bad < c.r.Quorum || e.row < rowsNeeded:
		c.Counts.Few++
		return Well, e.wellAt, whyFew
	case len(e.zones) < min(2, c.sides()):
		c.Counts.Few++
		return Well, e.wellAt, whyZone
	case float64(e.well) > denying*float64(e.bad) || e.wellAt > e.newest && e.well > 0:
		// Recovery is as quick as failure: one who has just seen it well is enough for the others to try it again.
		c.Counts.Denied++
		return Well, e.wellAt, whyDenied
	}
	return e.kind, e.newest, whyVerdict
}

// decision is what words and orders come to for a store, before anything is said of it.
type decision struct {
	Verdict
	at  float64
	why string
}

// decide comes to a verdict on a store.
func (c *Core) decide(store string) decision {
	s, listed := c.stores[store]
	d := decision{Verdict{Store: store, Kind: Well}, math.Inf(-1), whyGone}
	if !listed {
		return d
	}
	condemned := c.condemned()
	d.Kind, d.at, d.why = c.sound(store, condemned)
	if d.Kind.bad() && !c.roomToRest(s, condemned) {
		c.Counts.Wide++
		d.Kind, d.why = Well, whyWide
	}
	if o, ordered := c.orders.of(store, c.now); ordered {
		d.why = whyOrder
		switch o.Do {
		case Drain:
			d.Drain = true
		case Rest:
			d.Kind, d.at = Fails, c.now
		case Clear:
			d.Kind, d.at = Well, c.now
		}
	}
	return d
}

// judge comes to verdicts on all stores of which something has changed, and on those that hold the same shards, since one may take another's place among those that rest. Those
// that are well again go first: at no moment do more rest than may.
func (c *Core) judge() {
	c.guilty = nil
	sets := map[int]bool{}
	for store := range c.dirty {
		if s, listed := c.stores[store]; listed {
			sets[s.Set] = true
		}
	}
	for store := range c.states {
		if s, listed := c.stores[store]; listed && sets[s.Set] {
			c.dirty[store] = true
		}
	}
	var bad []decision
	for _, store := range slices.Sorted(maps.Keys(c.dirty)) {
		if d := c.decide(store); d.Kind.bad() {
			bad = append(bad, d)
		} else {
			c.goBy(d)
		}
	}
	clear(c.dirty)
	for _, d := range bad {
		c.goBy(d)
	}
}

// goBy goes by a decision from now on, and says so if it is another one, or if a bad one is to be told again.
func (c *Core) goBy(d decision) {
	was := c.states[d.Store]
	if was == nil {
		if d.Kind == Well && !d.Drain {
			return
		}
		was = &state{Verdict: Verdict{Store: d.Store, Kind: Well}}
		c.states[d.Store] = was
	}
	was.why = d.why
	changed := was.Kind != d.Kind || was.Drain != d.Drain
	if changed || d.Kind > Well && c.now >= was.next {
		if changed && d.Kind > Well {
			c.Counts.Used++
		}
		if d.Age = max(0, c.now-d.at); d.Kind == Well {
			d.Age = 0 // what it rested on is over now
		}
		d.Was = was.Kind
		was.Verdict, was.at, was.next = d.Verdict, d.at, c.now+Repeat
		c.out = append(c.out, d.Verdict)
	}
	if d.Kind == Well && !d.Drain {
		delete(c.states, d.Store)
	}
}

// roomToRest says whether one more holder may rest by others' word: of the stores that hold the same shards at most the stated share, and never the last
// one. Where more are held for bad, those with the most observers against them go first, then by name: all brokers choose the same ones.
func (c *Core) roomToRest(s Store, condemned map[string]int) bool {
	holders := 0
	type candidate struct {
		name string
		bad  int
	}
	var all []candidate
	for name, o := range c.stores {
		if o.Set != s.Set || !o.Ready {
			continue
		}
		holders++
		if kind, _, _ := c.sound(name, condemned); kind.bad() {
			all = append(all, candidate{name, c.weighed(name, condemned).bad})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Or(cmp.Compare(b.bad, a.bad), cmp.Compare(a.name, b.name)) })
	most := min(int(c.r.Widest*float64(holders)+1e-9), holders-1)
	at := slices.IndexFunc(all, func(x candidate) bool { return x.name == s.Name })
	return at >= 0 && at < most
}

// Seen is what is seen of a store that somebody holds something against, or that an operator has a word on.
type Seen struct {
	Store  string  `json:"store"`
	Kind   string  `json:"kind"` // what this broker goes by
	Why    string  `json:"why"`
	Age    float64 `json:"age"` // ms since the newest outcome under it
	Order  *Order  `json:"order,omitempty"`
	Told   int     `json:"told"`   // members that are known to know the order
	Not    int     `json:"not"`    // members of which that is unknown
	Unseen int     `json:"unseen"` // observers whose words on it are too old to count
	Words  []Word  `json:"words"`  // fresh ones, with their ages now
	Wanted int     `json:"wanted"` // independent observers that a verdict needs
	Zones  int     `json:"zones"`  // of so many zones
}

// Seen lists what is seen of all stores, by name.
func (c *Core) Seen() (all []Seen) {
	names := map[string]bool{}
	for store := range c.words {
		if !strings.HasPrefix(store, tenantMark) {
			names[store] = true
		}
	}
	for store := range c.states {
		names[store] = true
	}
	for _, o := range c.orders.told(c.now) {
		names[o.Store] = true
	}
	counts := c.Counts // looking is not judging
	defer func() { c.Counts = counts }()
	c.guilty = nil
	condemned := c.condemned()
	for _, store := range slices.Sorted(maps.Keys(names)) {
		s := Seen{Store: store, Kind: Well.String(), Wanted: c.r.Quorum, Zones: min(2, c.sides())}
		_, at, why := c.sound(store, condemned)
		s.Why = why
		if st := c.states[store]; st != nil {
			s.Kind, s.Why, at = st.Kind.String(), st.why, st.at
		}
		if !math.IsInf(at, 0) {
			s.Age = max(0, c.now-at)
		}
		if _, listed := c.stores[store]; !listed {
			s.Why = whyGone
		}
		if o, ordered := c.orders.of(store, c.now); ordered {
			s.Order, s.Why = &o, whyOrder
			if o.Do == Drain {
				s.Kind = "drained"
			}
			all := map[string]bool{}
			for _, m := range c.living {
				all[m.Name] = true
			}
			for _, name := range c.r.Roster { // one that is cut off is not seen to live, and goes on all the same
				all[name] = true
			}
			delete(all, c.r.Self)
			for name := range all {
				if c.orders.known[name][store] >= o.Version {
					s.Told++
				} else {
					s.Not++
				}
			}
		}
		for _, by := range slices.Sorted(maps.Keys(c.words[store])) {
			if h := c.words[store][by]; c.now-h.at <= c.r.Fresh {
				s.Words = append(s.Words, c.spoken([]*held{h})...)
			} else {
				s.Unseen++
			}
		}
		if s.Kind != Well.String() || s.Order != nil || slices.ContainsFunc(s.Words, func(w Word) bool { return w.Kind > Well }) {
			all = append(all, s)
		}
	}
	return all
}
