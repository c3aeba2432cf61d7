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
	"gullstair/internal/duties"
	"gullstair/internal/features"
	"gullstair/internal/gossip"
	"gullstair/internal/lasting"
	"gullstair/internal/lease"
	"gullstair/internal/membership"
	"gullstair/internal/quota"
	"gullstair/internal/sharer"
	"gullstair/internal/sharing"
	"gullstair/internal/verdicts"
)

// probing is the duty of asking the stores for their load.
const probing = "probing"

// shared is the broker's side of shared duties. What the module's actor gives it never keeps that actor waiting.
type shared struct {
	b      *Broker
	actor  *sharer.Actor
	sealer *gossip.Sealer
	ends   chan core.Probed
	lists  chan core.Listed
	lost   atomic.Int64 // ends that found no room: those turns count as over after a period
	done   chan struct{}

	now    func() float64                // the clock of leases
	votes  *lasting.Dir[lease.Record]    // nil: votes are not stored
	orders *lasting.Dir[verdicts.Stored] // nil: operators' orders are not stored
	mu     sync.Mutex
	runs   map[under]*run

	limits *limiter // nil: none are shared

	held   map[string]bool // tenants that have been told of as held back since heldAt; the module's actor's
	heldAt float64
}

// report is what a probe found, as it travels between brokers.
type report struct {
	Served bool
	Load   map[string]float64
}

const (
	endsMost = 256
)

// startFeatures starts what the installation has switched on.
func (b *Broker) startFeatures() error {
	if s := b.features.Sharing; s != nil {
		if err := b.share(s); err != nil {
			return err
		}
	}
	if k := b.features.Cells; k != nil {
		b.confine(k)
	}
	if w := b.features.Watch; w != nil {
		watched, err := watched(b.told.Flat, b.told.Site.TypeIndex, w)
		if err != nil {
			return err
		}
		b.core.Watch(watched)
	}
	if c := b.features.Control; c != nil {
		served := control.Served{Pages: map[string]func() (any, bool){}}
		if b.features.Cells != nil {
			served.Pages["cells"] = b.cells
		}
		if b.shared != nil {
			served.Pages["sharing"] = func() (any, bool) {
				v, running := b.shared.actor.State()
				return v, running
			}
			if l := b.shared.limits; l != nil {
				served.Orders = map[string]func(url.Values) error{"limits": l.set}
				served.Pages["limits"] = func() (any, bool) { return l.seen(), true }
			}
			if b.features.Sharing.Verdicts != nil {
				if served.Orders == nil {
					served.Orders = map[string]func(url.Values) error{}
				}
				served.Orders["verdict"] = b.shared.setVerdict
			}
			b.shared.serve(&served)
		}
		var err error
		if b.control, err = control.Listen(c.Socket, served); err != nil {
			b.stopFeatures()
			return err
		}
	}
	return nil
}

// confine has tenants confined to cells. Nothing is kept on a disk: the map comes from the document alone, and a move is a
// change of its pins at the next start.
func (b *Broker) confine(k *features.Cells) {
	plan := cells.Plan{Holders: k.Holders, Default: k.Default, Pins: k.Pins, Least: k.Least}
	limits := map[string]quota.Limits{}
	for _, c := range k.Cells {
		plan.Cells = append(plan.Cells, cells.Cell{Name: c.Name, Weight: c.Weight})
		limits[c.Name] = quota.Limits{Rate: c.Rate, Burst: c.Burst, Open: c.Open, Work: c.WorkMS, Weight: c.Weight,
			TenantRate: c.TenantRate, TenantBurst: c.TenantBurst}
	}
	num := func(name string) float64 {
		x, _ := b.told.Flat[name].(float64)
		return x
	}
	chance := rand.New(rand.NewPCG(b.told.Seed, 0xce11))
	b.core.Confine(plan, limits, num("rules.cold"), num("limit.maxRetryAfter"), chance.Float64)
}

// watched is what the module is told with the watched settings in place of the present ones.
func watched(flat map[string]any, types map[string]int, w *features.Watch) (map[string]any, error) {
	other := maps.Clone(flat)
	for name, on := range map[string]*bool{"limit.secondCopies": w.SecondCopies, "limit.cancelling": w.Cancelling, "limit.peers": w.Notes} {
		if on != nil {
			other[name] = *on
		}
	}
	if w.Dispatches != nil {
		other["limit.dispatches"] = *w.Dispatches
	}
	if u := w.Budget; u != nil {
		other["rules.spareDispatches"], other["rules.spareShare"] = u.Free, u.Share
		other["rules.budgetWindow"] = float64(u.Window) / 1e6
	}
	for _, t := range w.Types {
		i, known := types[t.Name]
		if !known {
			return nil, fmt.Errorf("%s: the start file has no such table type", t.Where)
		}
		other[fmt.Sprintf("tableType.%d.effect", i)] = t.Effect
		other[fmt.Sprintf("tableType.%d.repeatWindow", i)] = float64(t.RepeatWindow) / 1e6
	}
	return other, nil
}

// cells asks the module's actor, which alone may look at the core.
func (b *Broker) cells() (any, bool) {
	reply := make(chan []core.CellView, 1)
	b.put(core.AskCells{Reply: reply})
	select {
	case v := <-reply:
		return v, true
	case <-b.stop:
		return nil, false
	}
}

// share joins the other brokers.
func (b *Broker) share(s *features.Sharing) error {
	boot := rand.Uint64()
	sealer, err := gossip.NewSealer(boot, sealing(s.Keys), 0)
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
	plan := sharing.Plan{Name: b.told.Name, Addr: s.Advertise, Boot: boot, Incarnation: uint64(wall()), Weight: s.Weight,
		Roster: s.Members, Seeds: s.Join, Timing: membership.Standard().Scaled(s.Pace), Drift: s.ClockDrift,
		Floor: uint64(wall()), Seed: b.told.Seed}
	for _, d := range s.Duties {
		plan.Duties = append(plan.Duties, duties.Duty{Name: d.Name, Period: float64(d.Period) / 1e6})
	}
	work := sharer.Work{Wall: wall}
	dir, err := b.leases(&plan, &work)
	if err != nil {
		carrier.Close()
		return err
	}
	limits, err := b.limits(&plan, boot, now)
	if err != nil {
		carrier.Close()
		if dir != nil {
			dir.Close()
		}
		return err
	}
	sh := &shared{b: b, now: now, limits: limits, runs: map[under]*run{}, votes: dir, sealer: sealer, ends: make(chan core.Probed, endsMost), lists: make(chan core.Listed, 1), done: make(chan struct{})}
	sh.lists <- b.core.Share()
	if s.Verdicts != nil {
		zone := fmt.Sprint(b.told.Flat["zone"])
		plan.Verdicts = &verdicts.Rules{Self: plan.Name, Zone: zone, Run: plan.Incarnation, Fresh: ms64(s.Verdicts.Fresh), Quorum: s.Verdicts.Quorum, Widest: s.Verdicts.Widest,
			Roster: slices.Sorted(maps.Keys(s.Members))}
		b.core.Judge()
		if path := s.Verdicts.Dir; path != "" {
			orders, found, err := lasting.Open[verdicts.Stored](path, lasting.Words)
			if err != nil {
				carrier.Close()
				sh.closeDirs()
				return fmt.Errorf("features: sharing: verdicts: %w", err)
			}
			// What is missing there the others know.
			b.log.Info().Str("dir", path).Int("orders", len(found.Records)).Msg("operators' orders on stores are as they were stored")
			plan.Orders, work.Orders, sh.orders = found.Records, orders, orders
		}
	}
	plan.Notes = s.Notes
	work.Verdict, work.Note = sh.verdict, func(note []byte) { b.put(core.Told{Note: note}) }
	work.Turn, work.Heard, work.Begin, work.Extend, work.Cancel = sh.turn, sh.heard, sh.begin, sh.extend, sh.cancel
	sh.actor = sharer.Start(plan, carrier, now, work, b.log)
	b.shared = sh
	if limits != nil {
		limits.pokes(sh.actor.Poke)
		b.core.Limit(limits)
	}
	go sh.pass()
	return nil
}

// closeDirs lets other processes use the directories.
func (s *shared) closeDirs() {
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

func sealing(keys []features.Key) (all []gossip.Key) {
	for _, k := range keys {
		all = append(all, gossip.Key{Number: k.Number, Secret: k.Secret})
	}
	return all
}

// turn has a store probed; heard passes on what another broker found. Both are the sharing actor's calls.
func (s *shared) turn(duty, item string) {
	if duty == probing {
		s.b.put(core.ProbeFor{Host: item})
	}
}

func (s *shared) heard(duty, item, _ string, age float64, data []byte) {
	var r report
	if duty == probing && len(data) > 0 && sharing.Unmarshal(data, &r) == nil {
		s.b.put(core.ProbeHeard{Host: item, Age: age, Served: r.Served, Load: r.Load})
	}
}

// probed and listed are the module's actor's calls: they never wait, or two actors could wait for each other.
func (s *shared) probed(p core.Probed) {
	select {
	case s.ends <- p:
	default:
		s.lost.Add(1)
	}
}

func (s *shared) listed(l core.Listed) {
	for {
		select {
		case s.lists <- l:
			return
		default:
		}
		select {
		case <-s.lists: // an older one that nobody has looked at
		default:
		}
	}
}

// pass hands on what the module's actor left.
func (s *shared) pass() {
	for {
		select {
		case p := <-s.ends:
			data, err := sharing.Marshal(&report{Served: p.Served, Load: p.Load})
			if err != nil {
				data = nil
			}
			s.actor.Finished(probing, p.Host, data)
		case l := <-s.lists:
			s.actor.Items(probing, l.Hosts)
			if s.b.features.Sharing.Verdicts != nil {
				s.actor.Give(stores(l.Nodes))
			}
		case <-s.done:
			return
		}
	}
}

// RenewFeatures takes up a document that has been read again: the members' keys at once, the rest at the next start.
func (b *Broker) RenewFeatures(f *features.Document) error {
	later := b.features.Differ(f)
	if b.shared != nil && f.Sharing != nil {
		if err := b.shared.sealer.Rekey(sealing(f.Sharing.Keys)); err != nil {
			return fmt.Errorf("features: sharing: %w", err)
		}
	}
	if b.shared != nil && b.shared.limits != nil {
		b.shared.limits.renew(f.Limits)
	}
	b.log.Info().Strs("at_next_start", later).Msg("features read again")
	return nil
}

// stopFeatures ends them; the others hear that this broker leaves while its clients are still served.
func (b *Broker) stopFeatures() <-chan struct{} {
	over := make(chan struct{})
	if b.control != nil {
		b.control.Close()
	}
	if b.shared == nil {
		close(over)
		return over
	}
	go func() {
		defer close(over)
		b.shared.actor.Stop()
		close(b.shared.done)
		b.shared.closeDirs()
	}()
	return over
}
