package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"gullstair/logic"
)

// Fault is a failure that lasts for a limited time. Its targets are named, or selected at random, by the seed, when it
// begins.
type Fault struct {
	Kind    string   // a key of FaultKinds
	At, For float64  // begin and duration, ms
	Share   float64  // fraction of the stores or brokers that it affects, unless Stores names them
	Size    float64  // severity; its meaning depends on the kind, see FaultKinds
	Zone    string   // affected zone of zone_cut and one_way_loss; "": selected at random
	Stores  []string // names of the affected stores; none: selected at random

	chance *rand.Rand // of this fault alone, so that its targets do not depend on other faults
}

// FaultKinds describes each kind of fault and the meaning of Fault.Size and Fault.Share for it.
var Faults = map[string]string{
	"die":              "store processes die and their connections are reset; the stores restart cold",
	"vanish":           "hosts of stores become unreachable without closing connections; the stores restart cold",
	"zone_cut":         "all messages between one zone and the others are lost",
	"one_way_loss":     "messages from one zone to the others are lost; size: fraction lost",
	"one_sided":        "some brokers (share) lose responses from half of the stores; size: fraction lost",
	"release":          "stores (share) are replaced in batches by cold successors; size: batch as a fraction of all stores",
	"mute":             "stores accept connections and parts and never respond",
	"late":             "stores respond only after the deadline of their broker",
	"slow":             "stores are slow; size: factor on processing time",
	"neighbour":        "another process on the host uses CPU of stores; size: fraction of the cores",
	"fails":            "stores fail parts immediately; size: fraction of the parts",
	"resets":           "stores reset the connection when a part arrives; size: fraction of the parts",
	"refuses":          "stores refuse new connections",
	"spoils":           "stores send malformed responses; size: fraction of the responses",
	"lies":             "load reports are wrong; size: factor on the actual load",
	"frozen":           "load reports are not updated",
	"stale_list":       "updates of the node list are delayed; size: ms",
	"silent_discovery": "service discovery sends no updates",
	"hot_key":          "a fraction of the scans starts at the same shard; size: fraction of the scans",
	"traffic":          "more scans; size: factor on the rate",
	"abuse":            "one tenant sends excess traffic; size: multiple of the total rate",
	"broker_kill":      "brokers are killed and restart with the node list that they had last",
	"broker_pause":     "brokers are paused",
	"broker_split":     "all datagrams between some brokers (share) and the others are lost",
	"broker_one_way":   "all datagrams from some brokers (share) to the others are lost",
	"broker_loss":      "datagrams between brokers are lost; size: fraction lost",
}

// ScheduleFault adds a fault to the run. It returns an error if the kind, a store or the zone is unknown. When the fault
// begins and ends, it adds a line to Timeline.
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
		pos := len(w.Notes)
		revert := w.strike(f)
		w.Notes = append(w.Notes, "")
		copy(w.Notes[pos+1:], w.Notes[pos:])
		w.Notes[pos] = fmt.Sprintf("%7.2f s  %s begins", w.now/1000, f.Kind)
		if revert != nil {
			w.at(f.For, func() {
				revert()
				w.Notes = append(w.Notes, fmt.Sprintf("%7.2f s  %s ends", w.now/1000, f.Kind))
			})
		}
	})
	return nil
}

// targetStores returns the indexes of the stores that a fault affects: the named ones, or a random selection of those that
// are up and listed as ready, in ascending order.
func (w *World) targets(f Fault) []int {
	var all []int
	for _, name := range f.Stores {
		all = append(all, w.byHost[name])
	}
	if len(all) > 0 {
		return all
	}
	for i, st := range w.Stores {
		if st.Up() && w.states[i].Readiness == logic.Ready {
			all = append(all, i)
		}
	}
	f.chance.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), int(math.Ceil(f.Share*float64(len(all)))))]
	slices.Sort(all)
	return all
}

// targetBrokers returns a random selection of the brokers, ordered by number.
func (w *World) brokers(f Fault) []*seat {
	all := slices.Clone(w.seats)
	f.chance.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), int(math.Ceil(f.Share*float64(len(all)))))]
	slices.SortFunc(all, func(a, b *seat) int { return a.n - b.n })
	return all
}

// applyFault begins a fault and returns the function that ends it; nil if there is nothing to revert.
func (w *World) strike(f Fault) func() {
	setFault := func(set func(a *Ails, on bool)) func() {
		stores := w.targets(f)
		w.note(stores)
		for _, i := range stores {
			set(&w.Stores[i].Ails, true)
		}
		return func() {
			for _, i := range stores {
				set(&w.Stores[i].Ails, false)
			}
		}
	}
	sizeIf := func(on bool) float64 {
		if on {
			return f.Size
		}
		return 0
	}
	switch f.Kind {
	case "die", "vanish":
		return w.die(f)
	case "mute":
		return setFault(func(a *Ails, on bool) { a.Mute = on })
	case "late":
		return setFault(func(a *Ails, on bool) { a.Late = on })
	case "slow":
		return setFault(func(a *Ails, on bool) { a.Slow = sizeIf(on) })
	case "neighbour":
		return setFault(func(a *Ails, on bool) { a.Taken = sizeIf(on) })
	case "fails":
		return setFault(func(a *Ails, on bool) { a.Fails = sizeIf(on) })
	case "resets":
		return setFault(func(a *Ails, on bool) { a.Resets = sizeIf(on) })
	case "refuses":
		return setFault(func(a *Ails, on bool) { a.Refuses = on })
	case "spoils":
		return setFault(func(a *Ails, on bool) { a.Spoils = sizeIf(on) })
	case "lies":
		return setFault(func(a *Ails, on bool) { a.Lies = sizeIf(on) })
	case "frozen":
		return setFault(func(a *Ails, on bool) { a.Frozen = on })
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
		tenant, ended := f.chance.IntN(max(1, w.Fleet.Traffic.Tenants)), false
		w.abuser = tenant + 1
		w.Notes = append(w.Notes, "           "+tenantName(tenant))
		w.abuse(tenant, max(0.1, f.Size*w.Fleet.Traffic.Rate), f.chance.Float64, &ended)
		return func() { ended = true }
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

// recordTargets adds a line with the names of the affected stores, at most eight, to Timeline.
func (w *World) note(stores []int) {
	var names []string
	for _, i := range stores {
		names = append(names, w.Stores[i].Name)
	}
	if len(names) > 8 {
		names = append(names[:8], fmt.Sprintf("and %d more", len(stores)-8))
	}
	w.Notes = append(w.Notes, "           "+strings.Join(names, " "))
}

// killStores applies the faults die and vanish. A store that dies resets its connections and leaves the discovery list at
// once; one that vanishes does neither, and is delisted only after Fleet.VanishedListLag. At the end of the fault the stores
// restart cold under the same names.
func (w *World) die(f Fault) func() {
	stores := w.targets(f)
	w.note(stores)
	for _, i := range stores {
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
		for _, i := range stores {
			st := w.Stores[i]
			if st.Ails.Vanished {
				w.reset(st) // connections from before are reset now that the host is reachable again
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

// cutZone applies the faults zone_cut and one_way_loss.
func (w *World) apart(f Fault) func() {
	zone := slices.Index(w.Fleet.Zones, f.Zone)
	if zone < 0 {
		zone = f.chance.IntN(len(w.Fleet.Zones))
	}
	w.Notes = append(w.Notes, "           "+w.Fleet.Zones[zone])
	for other := range w.Fleet.Zones {
		if other == zone {
			continue
		}
		if f.Kind == "zone_cut" {
			w.net.cutZones[[2]int{zone, other}], w.net.cutZones[[2]int{other, zone}] = true, true
		} else {
			w.net.lossZones[[2]int{zone, other}] = f.Size
		}
	}
	return func() {
		for other := range w.Fleet.Zones {
			delete(w.net.cutZones, [2]int{zone, other})
			delete(w.net.cutZones, [2]int{other, zone})
			delete(w.net.lossZones, [2]int{zone, other})
		}
	}
}

// dropReplies applies the fault one_sided.
func (w *World) oneSided(f Fault) func() {
	brokers := w.brokers(f)
	for _, b := range brokers {
		loss := map[int]float64{}
		for i := range w.Stores {
			if f.chance.Float64() < 0.5 {
				loss[i] = f.Size
			}
		}
		w.net.oneSided[b.n] = loss
	}
	return func() {
		for _, b := range brokers {
			delete(w.net.oneSided, b.n)
		}
	}
}

// rollingRelease applies the fault release: it replaces stores in batches. The stores of a batch drain for 60 % of its time;
// then they are removed and a cold successor under a new name starts for each.
func (w *World) release(f Fault) {
	stores := w.targets(f)
	w.note(stores)
	batch := max(1, int(math.Ceil(f.Size*float64(len(w.Stores)))))
	rounds := (len(stores) + batch - 1) / batch
	roundMs := f.For / float64(max(1, rounds))
	for r := range rounds {
		group := stores[r*batch : min(len(stores), (r+1)*batch)]
		w.at(float64(r)*roundMs, func() {
			for _, i := range group {
				w.relist(i, logic.Draining, 0)
			}
		})
		w.at((float64(r)+0.6)*roundMs, func() {
			for _, i := range group {
				st := w.Stores[i]
				if st.Fell {
					continue
				}
				w.relist(i, logic.Gone, 0)
				st.Ails.Dead = true
				w.reset(st)
				successor := w.addStore(st.Cell, st.Zone, w.now)
				w.relist(successor, logic.Ready, 0)
			}
		})
	}
}

// killBrokers applies the fault broker_kill. The checker expects no response to the open scans of a killed broker. Brokers
// restart with the node list that they had last.
func (w *World) kill(f Fault) func() {
	brokers := w.brokers(f)
	for _, b := range brokers {
		if !b.up {
			continue
		}
		b.up = false
		incarnation := b.boot
		if w.live != nil {
			w.live.kill(b)
		}
		for _, att := range b.inOrder() {
			w.Judge.released(att.sc.ID)
			delete(b.open, att.sc.ID)
			w.at(w.Fleet.Client, func() { w.again(att.a, logic.Abandon, 0) })
		}
		for _, disp := range w.flightsOf(b) {
			if w.live != nil {
				w.live.end(disp)
				continue
			}
			disp.ended = true
			delete(w.flights, disp.part.Ref)
			w.Judge.over(disp.part.Ref)
		}
		for i := range b.links {
			w.Stores[i].Disconnect(b.n)
		}
		w.at(w.Fleet.FrontNotice, func() {
			if b.boot == incarnation && !b.up {
				b.noticed = true
			}
		})
	}
	return func() {
		for _, b := range brokers {
			if !b.up {
				for key := range w.Judge.told { // after a restart it knows of draining stores only from its last list
					if key[0] == b.n {
						delete(w.Judge.told, key)
					}
				}
				w.boot(b)
				w.at(w.Fleet.ListLag, func() { w.tellOne(b) })
			}
		}
	}
}

// sortedAttempts returns the open scans of a broker, ordered by ID, since map order would differ from run to run.
func (b *seat) inOrder() []*try {
	var all []*try
	for _, att := range b.open {
		all = append(all, att)
	}
	slices.SortFunc(all, func(x, y *try) int { return strings.Compare(x.sc.ID, y.sc.ID) })
	return all
}

// dispatchesOfBroker returns a broker's dispatches in progress, ordered by reference.
func (w *World) flightsOf(b *seat) []*flight {
	var all []*flight
	for _, disp := range w.flights {
		if disp.seat == b.n {
			all = append(all, disp)
		}
	}
	slices.SortFunc(all, func(a, b *flight) int { return int(a.part.Ref - b.part.Ref) })
	return all
}

// pauseBrokers applies the fault broker_pause. Scans open on a paused broker do not count as lost, since it cannot respond;
// all other rules apply to what it does after the pause.
func (w *World) pause(f Fault) func() {
	brokers := w.brokers(f)
	for _, b := range brokers {
		b.paused = true
		if w.live != nil {
			w.live.pause(b, true)
		}
		w.Judge.stands[b.n] = true
	}
	return func() {
		for _, b := range brokers {
			if !b.up || !b.paused {
				delete(w.Judge.stands, b.n)
				continue
			}
			b.paused = false
			if w.live != nil {
				w.live.pause(b, false)
			}
			delete(w.Judge.stands, b.n)
			for _, att := range b.inOrder() {
				w.Judge.released(att.sc.ID)
			}
			if w.live == nil {
				w.turn(b, w.now)
				w.wakeMail(b)
			}
		}
	}
}

// dispatchesAtStore returns a store's dispatches in progress, ordered by reference.
func (w *World) flightsAt(i int) []*flight {
	var all []*flight
	for _, disp := range w.flights {
		if disp.store == i {
			all = append(all, disp)
		}
	}
	slices.SortFunc(all, func(a, b *flight) int { return int(a.part.Ref - b.part.Ref) })
	return all
}
