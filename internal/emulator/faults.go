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

	rnd *rand.Rand // of this fault alone, so that its targets do not depend on other faults
}

// FaultKinds describes each kind of fault and the meaning of Fault.Size and Fault.Share for it.
var FaultKinds = map[string]string{
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
func (w *World) ScheduleFault(f Fault) error {
	if _, known := FaultKinds[f.Kind]; !known {
		return fmt.Errorf("no such fault: %q", f.Kind)
	}
	for _, name := range f.Stores {
		if _, known := w.storeByHost[name]; !known {
			return fmt.Errorf("no such store: %q", name)
		}
	}
	if (f.Kind == "zone_cut" || f.Kind == "one_way_loss") && f.Zone != "" && !slices.Contains(w.Fleet.Zones, f.Zone) {
		return fmt.Errorf("no such zone: %q", f.Zone)
	}
	w.faultCount++
	f.rnd = rand.New(rand.NewPCG(w.seed, 0xfa0170+w.faultCount))
	w.queue.push(f.At, func() {
		pos := len(w.Timeline)
		revert := w.applyFault(f)
		w.Timeline = append(w.Timeline, "")
		copy(w.Timeline[pos+1:], w.Timeline[pos:])
		w.Timeline[pos] = fmt.Sprintf("%7.2f s  %s begins", w.now/1000, f.Kind)
		if revert != nil {
			w.after(f.For, func() {
				revert()
				w.Timeline = append(w.Timeline, fmt.Sprintf("%7.2f s  %s ends", w.now/1000, f.Kind))
			})
		}
	})
	return nil
}

// targetStores returns the indexes of the stores that a fault affects: the named ones, or a random selection of those that
// are up and listed as ready, in ascending order.
func (w *World) targetStores(f Fault) []int {
	var all []int
	for _, name := range f.Stores {
		all = append(all, w.storeByHost[name])
	}
	if len(all) > 0 {
		return all
	}
	for i, st := range w.Stores {
		if st.Reachable() && w.nodes[i].Readiness == logic.Ready {
			all = append(all, i)
		}
	}
	f.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), int(math.Ceil(f.Share*float64(len(all)))))]
	slices.Sort(all)
	return all
}

// targetBrokers returns a random selection of the brokers, ordered by number.
func (w *World) targetBrokers(f Fault) []*emulatedBroker {
	all := slices.Clone(w.brokers)
	f.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), int(math.Ceil(f.Share*float64(len(all)))))]
	slices.SortFunc(all, func(a, b *emulatedBroker) int { return a.number - b.number })
	return all
}

// applyFault begins a fault and returns the function that ends it; nil if there is nothing to revert.
func (w *World) applyFault(f Fault) func() {
	setFault := func(set func(a *StoreFaults, on bool)) func() {
		stores := w.targetStores(f)
		w.recordTargets(stores)
		for _, i := range stores {
			set(&w.Stores[i].Faults, true)
		}
		return func() {
			for _, i := range stores {
				set(&w.Stores[i].Faults, false)
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
		return w.killStores(f)
	case "mute":
		return setFault(func(a *StoreFaults, on bool) { a.NeverAnswers = on })
	case "late":
		return setFault(func(a *StoreFaults, on bool) { a.AnswersLate = on })
	case "slow":
		return setFault(func(a *StoreFaults, on bool) { a.Slowdown = sizeIf(on) })
	case "neighbour":
		return setFault(func(a *StoreFaults, on bool) { a.CPUTaken = sizeIf(on) })
	case "fails":
		return setFault(func(a *StoreFaults, on bool) { a.FailureRate = sizeIf(on) })
	case "resets":
		return setFault(func(a *StoreFaults, on bool) { a.ResetRate = sizeIf(on) })
	case "refuses":
		return setFault(func(a *StoreFaults, on bool) { a.RefusesConns = on })
	case "spoils":
		return setFault(func(a *StoreFaults, on bool) { a.MalformedRate = sizeIf(on) })
	case "lies":
		return setFault(func(a *StoreFaults, on bool) { a.LoadFactor = sizeIf(on) })
	case "frozen":
		return setFault(func(a *StoreFaults, on bool) { a.LoadFrozen = on })
	case "zone_cut", "one_way_loss":
		return w.cutZone(f)
	case "one_sided":
		return w.dropReplies(f)
	case "release":
		w.rollingRelease(f)
	case "stale_list":
		w.extraListLag += f.Size
		return func() { w.extraListLag -= f.Size }
	case "silent_discovery":
		w.discoverySilent = true
		if w.loopback != nil {
			w.loopback.setDiscoverySilent(true)
		}
		return func() {
			w.discoverySilent = false
			if w.loopback != nil {
				w.loopback.setDiscoverySilent(false)
			}
			w.sendFullListToAll()
		}
	case "hot_key":
		w.hotShard = hotShard{f.Size, f.rnd.IntN(w.Fleet.Shards)}
		return func() { w.hotShard = hotShard{} }
	case "traffic":
		w.trafficFactor *= f.Size
		return func() { w.trafficFactor /= f.Size }
	case "abuse":
		tenant, ended := f.rnd.IntN(max(1, w.Fleet.Traffic.Tenants)), false
		w.abuserPlusOne = tenant + 1
		w.Timeline = append(w.Timeline, "           "+tenantName(tenant))
		w.scheduleAbuse(tenant, max(0.1, f.Size*w.Fleet.Traffic.Rate), f.rnd.Float64, &ended)
		return func() { ended = true }
	case "broker_kill":
		return w.killBrokers(f)
	case "broker_pause":
		return w.pauseBrokers(f)
	case "broker_split", "broker_one_way":
		return w.partitionBrokers(f)
	case "broker_loss":
		w.netFaults.brokerLoss = f.Size
		if w.loopback != nil {
			w.loopback.setBrokerLoss(f.Size)
		}
		return func() {
			w.netFaults.brokerLoss = 0
			if w.loopback != nil {
				w.loopback.setBrokerLoss(0)
			}
		}
	}
	return nil
}

// recordTargets adds a line with the names of the affected stores, at most eight, to Timeline.
func (w *World) recordTargets(stores []int) {
	var names []string
	for _, i := range stores {
		names = append(names, w.Stores[i].Name)
	}
	if len(names) > 8 {
		names = append(names[:8], fmt.Sprintf("and %d more", len(stores)-8))
	}
	w.Timeline = append(w.Timeline, "           "+strings.Join(names, " "))
}

// killStores applies the faults die and vanish. A store that dies resets its connections and leaves the discovery list at
// once; one that vanishes does neither, and is delisted only after Fleet.VanishedListLag. At the end of the fault the stores
// restart cold under the same names.
func (w *World) killStores(f Fault) func() {
	stores := w.targetStores(f)
	w.recordTargets(stores)
	for _, i := range stores {
		st := w.Stores[i]
		if f.Kind == "die" {
			st.Faults.Crashed = true
			w.resetStore(st)
			w.updateReadiness(i, logic.Gone, 0)
		} else {
			st.Faults.Unreachable = true
			w.updateReadiness(i, logic.Gone, w.Fleet.VanishedListLag)
		}
	}
	return func() {
		for _, i := range stores {
			st := w.Stores[i]
			if st.Faults.Unreachable {
				w.resetStore(st) // connections from before are reset now that the host is reachable again
			}
			st.Faults.Crashed, st.Faults.Unreachable, st.StartedAt = false, false, w.now
			w.nodes[i].Born = w.unixMs(w.now)
			if w.loopback != nil {
				w.loopback.reopenStore(i)
			}
			w.updateReadiness(i, logic.Ready, 0)
		}
	}
}

// cutZone applies the faults zone_cut and one_way_loss.
func (w *World) cutZone(f Fault) func() {
	zone := slices.Index(w.Fleet.Zones, f.Zone)
	if zone < 0 {
		zone = f.rnd.IntN(len(w.Fleet.Zones))
	}
	w.Timeline = append(w.Timeline, "           "+w.Fleet.Zones[zone])
	for other := range w.Fleet.Zones {
		if other == zone {
			continue
		}
		if f.Kind == "zone_cut" {
			w.netFaults.zoneCuts[[2]int{zone, other}], w.netFaults.zoneCuts[[2]int{other, zone}] = true, true
		} else {
			w.netFaults.zoneLoss[[2]int{zone, other}] = f.Size
		}
	}
	return func() {
		for other := range w.Fleet.Zones {
			delete(w.netFaults.zoneCuts, [2]int{zone, other})
			delete(w.netFaults.zoneCuts, [2]int{other, zone})
			delete(w.netFaults.zoneLoss, [2]int{zone, other})
		}
	}
}

// dropReplies applies the fault one_sided.
func (w *World) dropReplies(f Fault) func() {
	brokers := w.targetBrokers(f)
	for _, b := range brokers {
		loss := map[int]float64{}
		for i := range w.Stores {
			if f.rnd.Float64() < 0.5 {
				loss[i] = f.Size
			}
		}
		w.netFaults.replyLoss[b.number] = loss
	}
	return func() {
		for _, b := range brokers {
			delete(w.netFaults.replyLoss, b.number)
		}
	}
}

// rollingRelease applies the fault release: it replaces stores in batches. The stores of a batch drain for 60 % of its time;
// then they are removed and a cold successor under a new name starts for each.
func (w *World) rollingRelease(f Fault) {
	stores := w.targetStores(f)
	w.recordTargets(stores)
	batch := max(1, int(math.Ceil(f.Size*float64(len(w.Stores)))))
	rounds := (len(stores) + batch - 1) / batch
	roundMs := f.For / float64(max(1, rounds))
	for r := range rounds {
		group := stores[r*batch : min(len(stores), (r+1)*batch)]
		w.after(float64(r)*roundMs, func() {
			for _, i := range group {
				w.updateReadiness(i, logic.Draining, 0)
			}
		})
		w.after((float64(r)+0.6)*roundMs, func() {
			for _, i := range group {
				st := w.Stores[i]
				if st.Overloaded {
					continue
				}
				w.updateReadiness(i, logic.Gone, 0)
				st.Faults.Crashed = true
				w.resetStore(st)
				successor := w.addStore(st.Cell, st.Zone, w.now)
				w.updateReadiness(successor, logic.Ready, 0)
			}
		})
	}
}

// killBrokers applies the fault broker_kill. The checker expects no response to the open scans of a killed broker. Brokers
// restart with the node list that they had last.
func (w *World) killBrokers(f Fault) func() {
	brokers := w.targetBrokers(f)
	for _, b := range brokers {
		if !b.up {
			continue
		}
		b.up = false
		incarnation := b.incarnation
		if w.loopback != nil {
			w.loopback.killBroker(b)
		}
		for _, att := range b.sortedAttempts() {
			w.Checker.scanReleased(att.scan.ID)
			delete(b.openScans, att.scan.ID)
			w.after(w.Fleet.ClientDelay, func() { w.retryOrSettle(att.req, logic.Abandon, 0) })
		}
		for _, disp := range w.dispatchesOfBroker(b) {
			if w.loopback != nil {
				w.loopback.endDispatch(disp)
				continue
			}
			disp.ended = true
			delete(w.dispatches, disp.part.Ref)
			w.Checker.dispatchEnded(disp.part.Ref)
		}
		for i := range b.links {
			w.Stores[i].Disconnect(b.number)
		}
		w.after(w.Fleet.BrokerDownLag, func() {
			if b.incarnation == incarnation && !b.up {
				b.knownDown = true
			}
		})
	}
	return func() {
		for _, b := range brokers {
			if !b.up {
				for key := range w.Checker.drainNotifiedAt { // after a restart it knows of draining stores only from its last list
					if key[0] == b.number {
						delete(w.Checker.drainNotifiedAt, key)
					}
				}
				w.startBroker(b)
				w.after(w.Fleet.ListLag, func() { w.sendFullList(b) })
			}
		}
	}
}

// sortedAttempts returns the open scans of a broker, ordered by ID, since map order would differ from run to run.
func (b *emulatedBroker) sortedAttempts() []*attempt {
	var all []*attempt
	for _, att := range b.openScans {
		all = append(all, att)
	}
	slices.SortFunc(all, func(x, y *attempt) int { return strings.Compare(x.scan.ID, y.scan.ID) })
	return all
}

// dispatchesOfBroker returns a broker's dispatches in progress, ordered by reference.
func (w *World) dispatchesOfBroker(b *emulatedBroker) []*dispatch {
	var all []*dispatch
	for _, disp := range w.dispatches {
		if disp.broker == b.number {
			all = append(all, disp)
		}
	}
	slices.SortFunc(all, func(a, b *dispatch) int { return int(a.part.Ref - b.part.Ref) })
	return all
}

// pauseBrokers applies the fault broker_pause. Scans open on a paused broker do not count as lost, since it cannot respond;
// all other rules apply to what it does after the pause.
func (w *World) pauseBrokers(f Fault) func() {
	brokers := w.targetBrokers(f)
	for _, b := range brokers {
		b.paused = true
		if w.loopback != nil {
			w.loopback.setBrokerPaused(b, true)
		}
		w.Checker.paused[b.number] = true
	}
	return func() {
		for _, b := range brokers {
			if !b.up || !b.paused {
				delete(w.Checker.paused, b.number)
				continue
			}
			b.paused = false
			if w.loopback != nil {
				w.loopback.setBrokerPaused(b, false)
			}
			delete(w.Checker.paused, b.number)
			for _, att := range b.sortedAttempts() {
				w.Checker.scanReleased(att.scan.ID)
			}
			if w.loopback == nil {
				w.scheduleTurn(b, w.now)
				w.deliverQueued(b)
			}
		}
	}
}

// dispatchesAtStore returns a store's dispatches in progress, ordered by reference.
func (w *World) dispatchesAtStore(i int) []*dispatch {
	var all []*dispatch
	for _, disp := range w.dispatches {
		if disp.store == i {
			all = append(all, disp)
		}
	}
	slices.SortFunc(all, func(a, b *dispatch) int { return int(a.part.Ref - b.part.Ref) })
	return all
}
