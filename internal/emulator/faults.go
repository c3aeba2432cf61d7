package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"gullstair/logic"
)

// Fault is something that goes wrong for a while. Its targets are named, or drawn by the seed when it begins.
type Fault struct {
	Kind    string
	At, For float64  // ms
	Share   float64  // of the stores or brokers that it strikes
	Size    float64  // how bad: see Faults
	Zone    string   // of zone_cut and one_way_loss
	Stores  []string // named targets

	chance *rand.Rand // its own
}

// Faults names all kinds, with what Size means.
var Faults = map[string]string{
	"die":              "stores' processes die, connections are reset; they come back cold",
	"vanish":           "stores' machines are gone without a sign; they come back cold",
	"zone_cut":         "a zone and the others hear nothing of each other",
	"one_way_loss":     "what a zone sends to the others is lost; size: share",
	"one_sided":        "some brokers (share) get no answer from half of the stores; size: share of the answers lost",
	"release":          "stores (share) are replaced in batches by cold successors; size: share of a batch",
	"mute":             "stores take connections and parts and never answer",
	"late":             "stores answer only after their broker has stopped waiting",
	"slow":             "stores are slow; size: times",
	"neighbour":        "another program takes cores of stores; size: share",
	"fails":            "stores fail parts at once; size: share",
	"resets":           "stores break the connection at parts; size: share",
	"refuses":          "stores take no new connection",
	"spoils":           "stores' answers can't be read; size: share",
	"lies":             "load reports are false; size: times the truth",
	"frozen":           "load reports are not refreshed",
	"stale_list":       "the list comes later; size: ms",
	"silent_discovery": "discovery says nothing",
	"hot_key":          "one shard is asked for by a share of the scans; size: share",
	"traffic":          "more scans; size: times",
	"abuse":            "one tenant asks for too much; size: times the whole traffic",
	"broker_kill":      "brokers are killed and come back with their last list",
	"broker_pause":     "brokers stand still",
	"broker_split":     "some brokers (share) and the others hear nothing of each other",
	"broker_one_way":   "what some brokers (share) tell the others is lost",
	"broker_loss":      "what brokers tell each other is lost; size: share",
}

// Plan has a fault happen. What can't be is an error that says why.
func (w *World) Plan(f Fault) error {
	if _, known := Faults[f.Kind]; !known {
		return fmt.Errorf("no such fault: %q", f.Kind)
	}
	for _, name := range f.Stores {
		if _, known := w.byHost[name]; !known {
			return fmt.Errorf("no such store: %q", name)
		}
	}
	if (f.Kind == "zone_cut" || f.Kind == "one_way_loss") && f.Zone != "" && !slices.Contains(w.Fleet.Zones, f.Zone) {
		return fmt.Errorf("no such zone: %q", f.Zone)
	}
	w.strikes++
	f.chance = rand.New(rand.NewPCG(w.seed, 0xfa0170+w.strikes))
	w.q.push(f.At, func() {
		n := len(w.Notes)
		undo := w.strike(f)
		w.Notes = append(w.Notes, "")
		copy(w.Notes[n+1:], w.Notes[n:])
		w.Notes[n] = fmt.Sprintf("%7.2f s  %s begins", w.now/1000, f.Kind)
		if undo != nil {
			w.at(f.For, func() {
				undo()
				w.Notes = append(w.Notes, fmt.Sprintf("%7.2f s  %s ends", w.now/1000, f.Kind))
			})
		}
	})
	return nil
}

// targets are the stores that a fault strikes, in order.
func (w *World) targets(f Fault) []int {
	var all []int
	for _, name := range f.Stores {
		all = append(all, w.byHost[name])
	}
	if len(all) > 0 {
		return all
	}
	for i, s := range w.Stores {
		if s.Up() && w.states[i].Readiness == logic.Ready {
			all = append(all, i)
		}
	}
	f.chance.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), int(math.Ceil(f.Share*float64(len(all)))))]
	slices.Sort(all)
	return all
}

func (w *World) brokers(f Fault) []*seat {
	all := slices.Clone(w.seats)
	f.chance.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), int(math.Ceil(f.Share*float64(len(all)))))]
	slices.SortFunc(all, func(a, b *seat) int { return a.n - b.n })
	return all
}

// strike begins a fault and returns how it ends; nil: it ends by itself.
func (w *World) strike(f Fault) func() {
	ail := func(set func(a *Ails, on bool)) func() {
		struck := w.targets(f)
		w.note(struck)
		for _, i := range struck {
			set(&w.Stores[i].Ails, true)
		}
		return func() {
			for _, i := range struck {
				set(&w.Stores[i].Ails, false)
			}
		}
	}
	size := func(on bool) float64 {
		if on {
			return f.Size
		}
		return 0
	}
	switch f.Kind {
	case "die", "vanish":
		return w.die(f)
	case "mute":
		return ail(func(a *Ails, on bool) { a.Mute = on })
	case "late":
		return ail(func(a *Ails, on bool) { a.Late = on })
	case "slow":
		return ail(func(a *Ails, on bool) { a.Slow = size(on) })
	case "neighbour":
		return ail(func(a *Ails, on bool) { a.Taken = size(on) })
	case "fails":
		return ail(func(a *Ails, on bool) { a.Fails = size(on) })
	case "resets":
		return ail(func(a *Ails, on bool) { a.Resets = size(on) })
	case "refuses":
		return ail(func(a *Ails, on bool) { a.Refuses = on })
	case "spoils":
		return ail(func(a *Ails, on bool) { a.Spoils = size(on) })
	case "lies":
		return ail(func(a *Ails, on bool) { a.Lies = size(on) })
	case "frozen":
		return ail(func(a *Ails, on bool) { a.Frozen = on })
	case "zone_cut", "one_way_loss":
		return w.apart(f)
	case "one_sided":
		return w.oneSided(f)
	case "release":
		w.release(f)
	case "stale_list":
		w.stale += f.Size
		return func() { w.stale -= f.Size }
	case "silent_discovery":
		w.mute = true
		if w.live != nil {
			w.live.hush(true)
		}
		return func() {
			w.mute = false
			if w.live != nil {
				w.live.hush(false)
			}
			w.tellAll()
		}
	case "hot_key":
		w.hot = hot{f.Size, f.chance.IntN(w.Fleet.Shards)}
		return func() { w.hot = hot{} }
	case "traffic":
		w.rate *= f.Size
		return func() { w.rate /= f.Size }
	case "abuse":
		tenant, over := f.chance.IntN(max(1, w.Fleet.Traffic.Tenants)), false
		w.abuser = tenant + 1
		w.Notes = append(w.Notes, "           "+tenantName(tenant))
		w.abuse(tenant, max(0.1, f.Size*w.Fleet.Traffic.Rate), f.chance.Float64, &over)
		return func() { over = true }
	case "broker_kill":
		return w.kill(f)
	case "broker_pause":
		return w.pause(f)
	case "broker_split", "broker_one_way":
		return w.splitBrokers(f)
	case "broker_loss":
		w.net.brokerLoss = f.Size
		if w.live != nil {
			w.live.loseBrokers(f.Size)
		}
		return func() {
			w.net.brokerLoss = 0
			if w.live != nil {
				w.live.loseBrokers(0)
			}
		}
	}
	return nil
}

func (w *World) note(struck []int) {
	var names []string
	for _, i := range struck {
		names = append(names, w.Stores[i].Name)
	}
	if len(names) > 8 {
		names = append(names[:8], fmt.Sprintf("and %d more", len(struck)-8))
	}
	w.Notes = append(w.Notes, "           "+strings.Join(names, " "))
}

// die ends stores' processes, with a sign or without; they come back cold under their names.
func (w *World) die(f Fault) func() {
	struck := w.targets(f)
	w.note(struck)
	for _, i := range struck {
		st := w.Stores[i]
		if f.Kind == "die" {
			st.Ails.Dead = true
			w.reset(st)
			w.relist(i, logic.Gone, 0)
		} else {
			st.Ails.Vanished = true
			w.relist(i, logic.Gone, w.Fleet.SilentLag)
		}
	}
	return func() {
		for _, i := range struck {
			st := w.Stores[i]
			if st.Ails.Vanished {
				w.reset(st) // whoever still holds a connection hears now that it is none
			}
			st.Ails.Dead, st.Ails.Vanished, st.Born = false, false, w.now
			w.states[i].Born = w.unix(w.now)
			if w.live != nil {
				w.live.revive(i)
			}
			w.relist(i, logic.Ready, 0)
		}
	}
}

func (w *World) apart(f Fault) func() {
	z := slices.Index(w.Fleet.Zones, f.Zone)
	if z < 0 {
		z = f.chance.IntN(len(w.Fleet.Zones))
	}
	w.Notes = append(w.Notes, "           "+w.Fleet.Zones[z])
	for o := range w.Fleet.Zones {
		if o == z {
			continue
		}
		if f.Kind == "zone_cut" {
			w.net.cutZones[[2]int{z, o}], w.net.cutZones[[2]int{o, z}] = true, true
		} else {
			w.net.lossZones[[2]int{z, o}] = f.Size
		}
	}
	return func() {
		for o := range w.Fleet.Zones {
			delete(w.net.cutZones, [2]int{z, o})
			delete(w.net.cutZones, [2]int{o, z})
			delete(w.net.lossZones, [2]int{z, o})
		}
	}
}

func (w *World) oneSided(f Fault) func() {
	struck := w.brokers(f)
	for _, s := range struck {
		m := map[int]float64{}
		for i := range w.Stores {
			if f.chance.Float64() < 0.5 {
				m[i] = f.Size
			}
		}
		w.net.oneSided[s.n] = m
	}
	return func() {
		for _, s := range struck {
			delete(w.net.oneSided, s.n)
		}
	}
}

// release replaces stores in batches: each drains, goes, and has a cold successor under a new name.
func (w *World) release(f Fault) {
	struck := w.targets(f)
	w.note(struck)
	batch := max(1, int(math.Ceil(f.Size*float64(len(w.Stores)))))
	rounds := (len(struck) + batch - 1) / batch
	each := f.For / float64(max(1, rounds))
	for r := range rounds {
		some := struck[r*batch : min(len(struck), (r+1)*batch)]
		w.at(float64(r)*each, func() {
			for _, i := range some {
				w.relist(i, logic.Draining, 0)
			}
		})
		w.at((float64(r)+0.6)*each, func() {
			for _, i := range some {
				st := w.Stores[i]
				if st.Fell {
					continue
				}
				w.relist(i, logic.Gone, 0)
				st.Ails.Dead = true
				w.reset(st)
				n := w.addStore(st.Cell, st.Zone, w.now)
				w.relist(n, logic.Ready, 0)
			}
		})
	}
}

// kill ends brokers' processes; what they held is nobody's duty any more. They come back with their last list.
func (w *World) kill(f Fault) func() {
	struck := w.brokers(f)
	for _, s := range struck {
		if !s.up {
			continue
		}
		s.up = false
		boot := s.boot
		if w.live != nil {
			w.live.kill(s)
		}
		for _, t := range s.inOrder() {
			w.Judge.released(t.sc.ID)
			delete(s.open, t.sc.ID)
			w.at(w.Fleet.Client, func() { w.again(t.a, logic.Abandon, 0) })
		}
		for _, fl := range w.flightsOf(s) {
			if w.live != nil {
				w.live.end(fl)
				continue
			}
			fl.ended = true
			delete(w.flights, fl.part.Ref)
			w.Judge.over(fl.part.Ref)
		}
		for i := range s.links {
			w.Stores[i].Disconnect(s.n)
		}
		w.at(w.Fleet.FrontNotice, func() {
			if s.boot == boot && !s.up {
				s.noticed = true
			}
		})
	}
	return func() {
		for _, s := range struck {
			if !s.up {
				for key := range w.Judge.told { // it knows of no drain but from its last list
					if key[0] == s.n {
						delete(w.Judge.told, key)
					}
				}
				w.boot(s)
				w.at(w.Fleet.ListLag, func() { w.tellOne(s) })
			}
		}
	}
}

func (s *seat) inOrder() []*try {
	var all []*try
	for _, t := range s.open {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *try) int { return strings.Compare(a.sc.ID, b.sc.ID) })
	return all
}

func (w *World) flightsOf(s *seat) []*flight {
	var all []*flight
	for _, fl := range w.flights {
		if fl.seat == s.n {
			all = append(all, fl)
		}
	}
	slices.SortFunc(all, func(a, b *flight) int { return int(a.part.Ref - b.part.Ref) })
	return all
}

// pause lets brokers stand still. What they then do late is theirs to answer for, but no scan is lost by it: who gets no
// turn can give no answer.
func (w *World) pause(f Fault) func() {
	struck := w.brokers(f)
	for _, s := range struck {
		s.paused = true
		if w.live != nil {
			w.live.pause(s, true)
		}
		w.Judge.stands[s.n] = true
	}
	return func() {
		for _, s := range struck {
			if !s.up || !s.paused {
				delete(w.Judge.stands, s.n)
				continue
			}
			s.paused = false
			if w.live != nil {
				w.live.pause(s, false)
			}
			delete(w.Judge.stands, s.n)
			for _, t := range s.inOrder() {
				w.Judge.released(t.sc.ID)
			}
			if w.live == nil {
				w.turn(s, w.now)
				w.wakeMail(s)
			}
		}
	}
}

// flightsAt are those at a store, in order.
func (w *World) flightsAt(i int) []*flight {
	var all []*flight
	for _, fl := range w.flights {
		if fl.store == i {
			all = append(all, fl)
		}
	}
	slices.SortFunc(all, func(a, b *flight) int { return int(a.part.Ref - b.part.Ref) })
	return all
}
