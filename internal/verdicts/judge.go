package verdicts

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
)

// Reasons for the verdict on a store, as given in Seen.Why.
const (
	reasonNone     = "no observer reports a problem"
	reasonFew      = "too few independent observers, or outcomes"
	reasonZone     = "observers of one zone only"
	reasonDenied   = "others see it well"
	reasonTooMany  = "too many holders of its shards would be excluded"
	reasonAgreed   = "observers agree"
	reasonOrder    = "an operator's order"
	reasonUnlisted = "it is not on the list of stores"
)

// evidence summarizes the fresh reports on a store.
type evidence struct {
	kind       Kind
	bad        int // credible observers that see the store bad
	well       int // credible observers that see it well
	slowOrFull int // observers that see it slow or full
	badInRow   int // bad outcomes in a row, summed over the observers that see it bad
	zones      map[string]bool
	newest     float64 // time of the newest outcome that is not Well
	wellAt     float64
}

// collectEvidence summarizes the fresh reports on a store. An observer that reports too many stores as bad is ignored: its own link, host or clock is at fault.
func (c *Core) collectEvidence(store string, badByObserver map[string]int) (e evidence) {
	e.zones, e.newest, e.wellAt = map[string]bool{}, math.Inf(-1), math.Inf(-1)
	born := c.stores[store].Born
	kinds := [Silent + 1]int{}
	for _, by := range slices.Sorted(maps.Keys(c.reports[store])) {
		h := c.reports[store][by]
		switch {
		case c.now-h.outcomeAt > c.rules.Fresh, h.Born < born: // too old, or about an earlier process of the store
		case h.Kind == Throttled: // not a report on a store
		case float64(badByObserver[by]) > max(1, maxBadShare*float64(len(c.stores))):
			c.Counts.Doubted++
		case h.Kind.bad():
			e.bad++
			e.badInRow += h.Row
			e.zones[h.Zone] = true
			kinds[h.Kind]++
			e.newest = max(e.newest, h.outcomeAt)
		case h.Kind == Well:
			e.well++
			e.wellAt = max(e.wellAt, h.outcomeAt)
		default:
			e.slowOrFull++
			kinds[h.Kind]++
			e.newest = max(e.newest, h.outcomeAt)
		}
	}
	for k := Silent; k > Well; k-- {
		if kinds[k] > 0 && (e.kind == 0 || kinds[k] > kinds[e.kind]) && (k.bad() || e.bad == 0) {
			e.kind = k
		}
	}
	return e
}

// countBadByObserver counts for each observer the stores that its fresh reports call bad.
func (c *Core) countBadByObserver() map[string]int {
	if c.badCounts != nil {
		return c.badCounts
	}
	n := map[string]int{}
	c.badCounts = n
	for store, of := range c.reports {
		born := c.stores[store].Born
		for by, h := range of {
			if c.now-h.outcomeAt <= c.rules.Fresh && h.Kind.bad() && h.Born >= born {
				n[by]++
			}
		}
	}
	return n
}

// zoneCount returns the number of known zones of the observers.
func (c *Core) zoneCount() int {
	zones := map[string]bool{c.rules.Zone: true}
	for _, z := range c.zones {
		zones[z] = true
	}
	return len(zones)
}

// evaluate derives the kind of a store from the fresh reports, with the time of the newest outcome and the reason.
func (c *Core) evaluate(store string, badByObserver map[string]int) (Kind, float64, string) {
	e := c.collectEvidence(store, badByObserver)
	switch {
	case e.kind == 0:
		return Well, e.wellAt, reasonNone
	case !e.kind.bad():
		if e.slowOrFull < c.rules.Quorum {
			return Well, e.wellAt, reasonFew
		} else if float64(e.well) > maxWellShare*float64(e.slowOrFull) {
			return Well, e.wellAt, reasonDenied
		}
		return e.kind, e.newest, reasonAgreed
	case e.bad < c.rules.Quorum || e.badInRow < badInRowNeeded:
		c.Counts.Few++
		return Well, e.wellAt, reasonFew
	case len(e.zones) < min(2, c.zoneCount()):
		c.Counts.Few++
		return Well, e.wellAt, reasonZone
	case float64(e.well) > maxWellShare*float64(e.bad) || e.wellAt > e.newest && e.well > 0:
		// Recovery is as fast as failure detection: one observer that has just seen the store well is enough for the others to try it again.
		c.Counts.Denied++
		return Well, e.wellAt, reasonDenied
	}
	return e.kind, e.newest, reasonAgreed
}

// decision is the result of reports and orders for a store before it is applied.
type decision struct {
	Verdict
	outcomeAt float64
	reason    string
}

// decide derives the verdict on a store from reports and orders.
func (c *Core) decide(store string) decision {
	s, listed := c.stores[store]
	d := decision{Verdict{Store: store, Kind: Well}, math.Inf(-1), reasonUnlisted}
	if !listed {
		return d
	}
	badByObserver := c.countBadByObserver()
	d.Kind, d.outcomeAt, d.reason = c.evaluate(store, badByObserver)
	if d.Kind.bad() && !c.mayExclude(s, badByObserver) {
		c.Counts.Wide++
		d.Kind, d.reason = Well, reasonTooMany
	}
	if o, ordered := c.orders.current(store, c.now); ordered {
		d.reason = reasonOrder
		switch o.Do {
		case Drain:
			d.Drain = true
		case Rest:
			d.Kind, d.outcomeAt = Fails, c.now
		case Clear:
			d.Kind, d.outcomeAt = Well, c.now
		}
	}
	return d
}

// updateVerdicts re-evaluates all changed stores, and those that hold the same shards, since one may replace another among the excluded ones. Recovered stores come first,
// so that the bound on excluded stores holds at every moment.
func (c *Core) updateVerdicts() {
	c.badCounts = nil
	sets := map[int]bool{}
	for store := range c.dirty {
		if s, listed := c.stores[store]; listed {
			sets[s.Set] = true
		}
	}
	for store := range c.current {
		if s, listed := c.stores[store]; listed && sets[s.Set] {
			c.dirty[store] = true
		}
	}
	var bad []decision
	for _, store := range slices.Sorted(maps.Keys(c.dirty)) {
		if d := c.decide(store); d.Kind.bad() {
			bad = append(bad, d)
		} else {
			c.applyDecision(d)
		}
	}
	clear(c.dirty)
	for _, d := range bad {
		c.applyDecision(d)
	}
}

// applyDecision puts a decision into force, and outputs it if it has changed or is due for repetition.
func (c *Core) applyDecision(d decision) {
	was := c.current[d.Store]
	if was == nil {
		if d.Kind == Well && !d.Drain {
			return
		}
		was = &currentVerdict{Verdict: Verdict{Store: d.Store, Kind: Well}}
		c.current[d.Store] = was
	}
	was.reason = d.reason
	changed := was.Kind != d.Kind || was.Drain != d.Drain
	if changed || d.Kind > Well && c.now >= was.repeatAt {
		if changed && d.Kind > Well {
			c.Counts.Used++
		}
		if d.Age = max(0, c.now-d.outcomeAt); d.Kind == Well {
			d.Age = 0 // the evidence for the earlier verdict is obsolete
		}
		d.Was = was.Kind
		was.Verdict, was.outcomeAt, was.repeatAt = d.Verdict, d.outcomeAt, c.now+Repeat
		c.out = append(c.out, d.Verdict)
	}
	if d.Kind == Well && !d.Drain {
		delete(c.current, d.Store)
	}
}

// mayExclude reports whether a store may be excluded by reports: of the stores that hold the same shards at most the configured share, and never the last
// one. If more are bad, those with the most observers against them come first, then by name, so that all brokers choose the same ones.
func (c *Core) mayExclude(s Store, badByObserver map[string]int) bool {
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
		if kind, _, _ := c.evaluate(name, badByObserver); kind.bad() {
			all = append(all, candidate{name, c.collectEvidence(name, badByObserver).bad})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Or(cmp.Compare(b.bad, a.bad), cmp.Compare(a.name, b.name)) })
	most := min(int(c.rules.Widest*float64(holders)+1e-9), holders-1)
	at := slices.IndexFunc(all, func(x candidate) bool { return x.name == s.Name })
	return at >= 0 && at < most
}

// Seen is the state, for operators, of a store that some observer reports as not Well or that has an operator's order.
type Seen struct {
	Store  string   `json:"store"`
	Kind   string   `json:"kind"` // kind in force at this broker
	Why    string   `json:"why"`
	Age    float64  `json:"age"` // ms since the newest outcome that supports it
	Order  *Order   `json:"order,omitempty"`
	Told   int      `json:"told"`   // members known to have the order
	Not    int      `json:"not"`    // members not known to have the order
	Unseen int      `json:"unseen"` // observers whose reports on it are too old to count
	Words  []Report `json:"words"`  // fresh reports, with their current ages
	Wanted int      `json:"wanted"` // independent observers needed for a verdict
	Zones  int      `json:"zones"`  // number of zones that these observers must come from
}

// Seen lists the state of all such stores, sorted by name.
func (c *Core) Seen() (all []Seen) {
	names := map[string]bool{}
	for store := range c.reports {
		if !strings.HasPrefix(store, tenantPrefix) {
			names[store] = true
		}
	}
	for store := range c.current {
		names[store] = true
	}
	for _, o := range c.orders.list(c.now) {
		names[o.Store] = true
	}
	counts := c.Counts // reading the state does not change the counters
	defer func() { c.Counts = counts }()
	c.badCounts = nil
	badByObserver := c.countBadByObserver()
	for _, store := range slices.Sorted(maps.Keys(names)) {
		s := Seen{Store: store, Kind: Well.String(), Wanted: c.rules.Quorum, Zones: min(2, c.zoneCount())}
		_, at, why := c.evaluate(store, badByObserver)
		s.Why = why
		if st := c.current[store]; st != nil {
			s.Kind, s.Why, at = st.Kind.String(), st.reason, st.outcomeAt
		}
		if !math.IsInf(at, 0) {
			s.Age = max(0, c.now-at)
		}
		if _, listed := c.stores[store]; !listed {
			s.Why = reasonUnlisted
		}
		if o, ordered := c.orders.current(store, c.now); ordered {
			s.Order, s.Why = &o, reasonOrder
			if o.Do == Drain {
				s.Kind = "drained"
			}
			members := map[string]bool{}
			for _, m := range c.alive {
				members[m.Name] = true
			}
			for _, name := range c.rules.Roster { // a partitioned member does not appear alive, but still runs
				members[name] = true
			}
			delete(members, c.rules.Self)
			for name := range members {
				if c.orders.known[name][store] >= o.Version {
					s.Told++
				} else {
					s.Not++
				}
			}
		}
		for _, by := range slices.Sorted(maps.Keys(c.reports[store])) {
			if h := c.reports[store][by]; c.now-h.outcomeAt <= c.rules.Fresh {
				s.Words = append(s.Words, c.withAges([]*storedReport{h})...)
			} else {
				s.Unseen++
			}
		}
		if s.Kind != Well.String() || s.Order != nil || slices.ContainsFunc(s.Words, func(w Report) bool { return w.Kind > Well }) {
			all = append(all, s)
		}
	}
	return all
}
