package broker

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"

	"gullstair/internal/cells"
	"gullstair/internal/control"
	"gullstair/internal/core"
	"gullstair/internal/durable"
	"gullstair/internal/duties"
	"gullstair/internal/features"
	"gullstair/internal/gossip"
	"gullstair/internal/lease"
	"gullstair/internal/memberactor"
	"gullstair/internal/membership"
	"gullstair/internal/memberstate"
	"gullstair/internal/quota"
	"gullstair/internal/verdicts"
)

// probeDuty is the name of the duty to probe the load of the stores.
const probeDuty = "probing"

// sharingState connects the broker to the sharing actor. Calls from the core's actor never block.
type sharingState struct {
	b              *Broker
	actor          *memberactor.Actor
	sealer         *gossip.Sealer
	probeResults   chan core.ProbeResult
	nodeLists      chan core.NodeList
	droppedResults atomic.Int64 // results dropped because the queue was full; such a probe counts as done after one period
	done           chan struct{}

	now    func() float64                // the clock of leases
	votes  *durable.Dir[lease.Record]    // nil if votes are not stored
	orders *durable.Dir[verdicts.Stored] // nil if operators' orders are not stored
	mu     sync.Mutex
	runs   map[runKey]*run

	limits *limiter // nil if no limits are shared

	reportedTenants map[string]bool // tenants reported as refused since reportedSince; used only by the core's actor
	reportedSince   float64
}

// probeReport is the result of a probe in messages between brokers.
type probeReport struct {
	Served bool
	Load   map[string]float64
}

const (
	maxProbeResults = 256
)

// startFeatures starts the features that the installation enables.
func (b *Broker) startFeatures() error {
	if s := b.features.Sharing; s != nil {
		if err := b.startSharing(s); err != nil {
			return err
		}
	}
	if k := b.features.Cells; k != nil {
		b.startCells(k)
	}
	if w := b.features.Shadow; w != nil {
		shadow, err := shadowSettings(b.startFile.Flat, b.startFile.Site.TypeIndex, w)
		if err != nil {
			return err
		}
		b.core.SetShadowSettings(shadow)
	}
	if c := b.features.Control; c != nil {
		handlers := control.Handlers{Pages: map[string]func() (any, bool){}}
		if b.features.Cells != nil {
			handlers.Pages["cells"] = b.cellViews
		}
		if b.sharing != nil {
			handlers.Pages["sharing"] = func() (any, bool) {
				v, running := b.sharing.actor.State()
				return v, running
			}
			if l := b.sharing.limits; l != nil {
				handlers.Orders = map[string]func(url.Values) error{"limits": l.orderSize}
				handlers.Pages["limits"] = func() (any, bool) { return l.view(), true }
			}
			if b.features.Sharing.Verdicts != nil {
				if handlers.Orders == nil {
					handlers.Orders = map[string]func(url.Values) error{}
				}
				handlers.Orders["verdict"] = b.sharing.orderVerdict
			}
			b.sharing.addHandlers(&handlers)
		}
		var err error
		if b.control, err = control.Listen(c.Socket, handlers); err != nil {
			b.stopFeatures()
			return err
		}
	}
	return nil
}

// startCells confines tenants to cells. Nothing is stored on disk: the map is derived from the features document, and a
// tenant moves by a change of the pins at the next start.
func (b *Broker) startCells(k *features.Cells) {
	plan := cells.Plan{Holders: k.Holders, Default: k.Default, Pins: k.Pins, MinHolderShare: k.MinShare}
	limits := map[string]quota.Limits{}
	for _, c := range k.Cells {
		plan.Cells = append(plan.Cells, cells.Cell{Name: c.Name, Weight: c.Weight})
		limits[c.Name] = quota.Limits{Rate: c.Rate, Burst: c.Burst, Open: c.OpenScans, Work: c.WorkMS, Weight: c.Weight,
			TenantRate: c.TenantRate, TenantBurst: c.TenantBurst}
	}
	num := func(name string) float64 {
		x, _ := b.startFile.Flat[name].(float64)
		return x
	}
	random := rand.New(rand.NewPCG(b.startFile.Seed, 0xce11))
	b.core.SetCells(plan, limits, num("rules.cold"), num("limit.maxRetryAfter"), random.Float64)
}

// shadowSettings returns the module's settings, overridden by those of the watch block.
func shadowSettings(flat map[string]any, types map[string]int, w *features.ShadowSettings) (map[string]any, error) {
	shadow := maps.Clone(flat)
	for name, on := range map[string]*bool{"limit.secondCopies": w.SecondCopies, "limit.cancelling": w.Cancelling, "limit.peers": w.Notes} {
		if on != nil {
			shadow[name] = *on
		}
	}
	if w.Dispatches != nil {
		shadow["limit.dispatches"] = *w.Dispatches
	}
	if u := w.Budget; u != nil {
		shadow["rules.spareDispatches"], shadow["rules.spareShare"] = u.Free, u.Share
		shadow["rules.budgetWindow"] = float64(u.Window) / 1e6
	}
	for _, t := range w.Types {
		i, known := types[t.Name]
		if !known {
			return nil, fmt.Errorf("%s: the start file has no such table type", t.Where)
		}
		shadow[fmt.Sprintf("tableType.%d.effect", i)] = t.Effect
		shadow[fmt.Sprintf("tableType.%d.repeatWindow", i)] = float64(t.RepeatWindow) / 1e6
	}
	return shadow, nil
}

// cellViews queries the actor for the state of the cells; only the actor may access the core.
func (b *Broker) cellViews() (any, bool) {
	reply := make(chan []core.CellView, 1)
	b.put(core.CellsQuery{Reply: reply})
	select {
	case v := <-reply:
		return v, true
	case <-b.stop:
		return nil, false
	}
}

// startSharing starts the actor that shares state with the other brokers.
func (b *Broker) startSharing(s *features.Sharing) error {
	boot := rand.Uint64()
	sealer, err := gossip.NewSealer(boot, sealerKeys(s.Keys), 0)
	if err != nil {
		return fmt.Errorf("features: sharing: %w", err)
	}
	wall := func() float64 { return float64(b.clocks.Wall().UnixNano()) / 1e6 }
	carrier, err := gossip.Listen(s.Listen, sealer, wall)
	if err != nil {
		return fmt.Errorf("features: sharing: %w", err)
	}
	begun, base := b.clocks.Elapsed(), wall()
	now := func() float64 { return base + float64(b.clocks.Elapsed()-begun)/1e6 }
	plan := memberstate.Plan{Name: b.startFile.Name, Addr: s.Advertise, Boot: boot, Incarnation: uint64(wall()), Weight: s.Weight,
		Roster: s.Members, Seeds: s.Join, Timing: membership.Standard().Scaled(s.Pace), Drift: s.ClockDrift,
		Floor: uint64(wall()), Seed: b.startFile.Seed}
	for _, d := range s.Duties {
		plan.Duties = append(plan.Duties, duties.Duty{Name: d.Name, Period: float64(d.Period) / 1e6})
	}
	callbacks := memberactor.Callbacks{Wall: wall}
	dir, err := b.openLeases(&plan, &callbacks)
	if err != nil {
		carrier.Close()
		return err
	}
	limits, err := b.openLimits(&plan, boot, now)
	if err != nil {
		carrier.Close()
		if dir != nil {
			dir.Close()
		}
		return err
	}
	sh := &sharingState{b: b, now: now, limits: limits, runs: map[runKey]*run{}, votes: dir, sealer: sealer, probeResults: make(chan core.ProbeResult, maxProbeResults), nodeLists: make(chan core.NodeList, 1), done: make(chan struct{})}
	sh.nodeLists <- b.core.ReportList()
	if s.Verdicts != nil {
		zone := fmt.Sprint(b.startFile.Flat["zone"])
		plan.Verdicts = &verdicts.Rules{Self: plan.Name, Zone: zone, Run: plan.Incarnation, Fresh: ms64(s.Verdicts.MaxAge), Quorum: s.Verdicts.Quorum, Widest: s.Verdicts.MaxExcludedShare,
			Roster: slices.Sorted(maps.Keys(s.Members))}
		b.core.ReportOutcomes()
		if path := s.Verdicts.Dir; path != "" {
			orders, found, err := durable.Open[verdicts.Stored](path, durable.OrderRecords)
			if err != nil {
				carrier.Close()
				sh.closeDirs()
				return fmt.Errorf("features: sharing: verdicts: %w", err)
			}
			// Missing orders are learned from the other brokers.
			b.log.Info().Str("dir", path).Int("orders", len(found.Records)).Msg("operators' orders on stores restored")
			plan.Orders, callbacks.Orders, sh.orders = found.Records, orders, orders
		}
	}
	plan.Notes = s.Notes
	callbacks.Verdict, callbacks.Note = sh.applyVerdict, func(note []byte) { b.put(core.PeerNote{Note: note}) }
	callbacks.Turn, callbacks.Heard, callbacks.Begin, callbacks.Extend, callbacks.Cancel = sh.probe, sh.peerProbed, sh.begin, sh.extend, sh.cancel
	sh.actor = memberactor.Start(plan, carrier, now, callbacks, b.log)
	b.sharing = sh
	if limits != nil {
		limits.setWake(sh.actor.Wake)
		b.core.SetLimiter(limits)
	}
	go sh.forward()
	return nil
}

// closeDirs closes the directories, which unlocks them for other processes.
func (s *sharingState) closeDirs() {
	if s.votes != nil {
		s.votes.Close()
	}
	if s.orders != nil {
		s.orders.Close()
	}
	if s.limits != nil {
		s.limits.close()
	}
}

func sealerKeys(keys []features.Key) (all []gossip.Key) {
	for _, k := range keys {
		all = append(all, gossip.Key{Number: k.Number, Secret: k.Secret})
	}
	return all
}

// probe has a store probed; peerProbed forwards the result of another broker's probe. The sharing actor calls both.
func (s *sharingState) probe(duty, item string) {
	if duty == probeDuty {
		s.b.put(core.ProbeRequest{Host: item})
	}
}

func (s *sharingState) peerProbed(duty, item, _ string, age float64, data []byte) {
	var r probeReport
	if duty == probeDuty && len(data) > 0 && memberstate.Unmarshal(data, &r) == nil {
		s.b.put(core.PeerProbe{Host: item, Age: age, Served: r.Served, Load: r.Load})
	}
}

// offerProbeResult and offerNodeList are called by the core's actor. They never block, since the two actors could
// deadlock.
func (s *sharingState) offerProbeResult(p core.ProbeResult) {
	select {
	case s.probeResults <- p:
	default:
		s.droppedResults.Add(1)
	}
}

func (s *sharingState) offerNodeList(l core.NodeList) {
	for {
		select {
		case s.nodeLists <- l:
			return
		default:
		}
		select {
		case <-s.nodeLists: // an older list that was not read
		default:
		}
	}
}

// forward passes queued probe results and node lists to the sharing actor.
func (s *sharingState) forward() {
	for {
		select {
		case p := <-s.probeResults:
			data, err := memberstate.Marshal(&probeReport{Served: p.Served, Load: p.Load})
			if err != nil {
				data = nil
			}
			s.actor.Finished(probeDuty, p.Host, data)
		case l := <-s.nodeLists:
			s.actor.Items(probeDuty, l.Hosts)
			if s.b.features.Sharing.Verdicts != nil {
				s.actor.Send(verdictStores(l.Nodes))
			}
		case <-s.done:
			return
		}
	}
}

// ApplyFeatures applies a features document that was read again: keys of the members and limits at once, the rest at
// the next start.
func (b *Broker) ApplyFeatures(f *features.Document) error {
	atNextStart := b.features.RestartChanges(f)
	if b.sharing != nil && f.Sharing != nil {
		if err := b.sharing.sealer.Rekey(sealerKeys(f.Sharing.Keys)); err != nil {
			return fmt.Errorf("features: sharing: %w", err)
		}
	}
	if b.sharing != nil && b.sharing.limits != nil {
		b.sharing.limits.applyDocument(f.Limits)
	}
	b.log.Info().Strs("at_next_start", atNextStart).Msg("features read again")
	return nil
}

// stopFeatures stops the features. The other brokers are notified that this broker leaves while it still serves clients.
// The channel is closed when all have stopped.
func (b *Broker) stopFeatures() <-chan struct{} {
	stopped := make(chan struct{})
	if b.control != nil {
		b.control.Close()
	}
	if b.sharing == nil {
		close(stopped)
		return stopped
	}
	go func() {
		defer close(stopped)
		b.sharing.actor.Stop()
		close(b.sharing.done)
		b.sharing.closeDirs()
	}()
	return stopped
}
