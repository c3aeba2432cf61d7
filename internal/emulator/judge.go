package emulator

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gullstair/internal/core"
	"gullstair/logic"
)

// Rules that a run may break; they are those that the brokers must keep, seen from the stores and the clients.
const (
	RuleLost     = "a scan is lost"
	RuleTwice    = "an effect twice"
	RuleCopies   = "a second copy out"
	RuleDrain    = "a send after a drain's grace"
	RuleCold     = "a cold store pushed over"
	RuleHonest   = "an answer that is not honest"
	RuleAfter    = "a part sent after its scan's answer"
	RuleHolder   = "a part sent to a store that does not hold it"
	RuleBudget   = "more dispatches than the budget"
	breachesMost = 50
	slack        = 60.0 // ms that a time limit is longer: messages' ways, turns
)

// Breach is one broken rule, with the scan and what happened to it.
type Breach struct {
	At    float64  `json:"at"`
	Rule  string   `json:"rule"`
	Scan  string   `json:"scan"`
	What  string   `json:"what"`
	Trace []string `json:"trace,omitempty"`
}

// Judge looks on from the stores' and the clients' side. It uses nothing of the brokers' own state.
type Judge struct {
	f        *Fleet
	Breaches []Breach
	Broken   map[string]int // by rule

	// later puts a verdict off where word of two things comes by two ways, as it does on sockets; nil: at once.
	later  func(do func())
	stands map[int]bool // brokers that get no turn: they can answer nobody

	scans map[string]*scanLog
	told  map[[2]int]float64 // broker and store: when it was told that the store drains or is gone
	out   map[string][]*copyOut
	refs  map[int64]*copyOut

	budget map[int]*budget // by broker

	reached []*reached // scans of which a store had something, where the fleet has limits
}

// reached is a scan of which a store had something.
type reached struct {
	tenant          string
	sent, at, ended float64
}

// budget keeps what a broker took and what it sent beyond each part's first, within the window.
type budget struct{ taken, extra []counted }

type counted struct {
	at float64
	n  int
}

// within drops what lies before the window, and adds up the rest.
func within(list *[]counted, from float64) (sum int) {
	for len(*list) > 0 && (*list)[0].at < from {
		*list = (*list)[1:]
	}
	for _, c := range *list {
		sum += c.n
	}
	return sum
}

func (j *Judge) budgetOf(broker int) *budget {
	if j.budget[broker] == nil {
		j.budget[broker] = &budget{}
	}
	return j.budget[broker]
}

type scanLog struct {
	id       string
	text     string
	broker   int
	typ      *TableType
	shards   map[int]float64 // weights
	taken    float64
	deadline float64
	answered bool
	released bool // its broker died, or its client left: nobody owes it anything
	runs     map[int][]float64
	tries    map[int]int
	served   map[string]bool // values that have reached the broker, by shard and step
	trace    []string
	reached  *reached
	tenant   string
}

type copyOut struct {
	part  string
	ref   int64
	until float64
}

func newJudge(f *Fleet) *Judge {
	return &Judge{f: f, Broken: map[string]int{}, scans: map[string]*scanLog{}, told: map[[2]int]float64{},
		out: map[string][]*copyOut{}, refs: map[int64]*copyOut{}, stands: map[int]bool{}, budget: map[int]*budget{}}
}

func (j *Judge) breach(at float64, rule string, s *scanLog, format string, args ...any) {
	j.Broken[rule]++
	if len(j.Breaches) >= breachesMost {
		return
	}
	b := Breach{At: at, Rule: rule, What: fmt.Sprintf(format, args...)}
	if s != nil {
		b.Scan, b.Trace = s.id, append([]string(nil), s.trace...)
	}
	j.Breaches = append(j.Breaches, b)
}

func (s *scanLog) note(at float64, format string, args ...any) {
	if len(s.trace) < 200 {
		s.trace = append(s.trace, fmt.Sprintf("%.1f ", at)+fmt.Sprintf(format, args...))
	}
}

// taken says that a broker has a scan, read whole.
func (j *Judge) taken(at float64, broker int, sc *core.Scan, typ *TableType) {
	s := &scanLog{id: sc.ID, text: sc.Text, broker: broker, typ: typ, shards: map[int]float64{}, taken: at,
		tenant: sc.Account, deadline: at + sc.TimeLeft, runs: map[int][]float64{}, tries: map[int]int{}, served: map[string]bool{}}
	for _, p := range sc.Parts {
		s.shards[p.Shard] = p.Weight
	}
	j.scans[sc.ID] = s
	if j.f.BudgetWindow > 0 {
		b := j.budgetOf(broker)
		b.taken = append(b.taken, counted{at, 1 + len(sc.Parts)})
	}
	s.note(at, "taken by broker %d: %s, %d parts, %.0f ms", broker, typ.Name, len(sc.Parts), sc.TimeLeft)
}

// released says that a broker need not answer a scan any more: it was killed, or the client has gone.
func (j *Judge) released(id string) {
	if s := j.scans[id]; s != nil {
		s.released = true
	}
}

// sent says that a broker sends a part to a store.
func (j *Judge) sent(at float64, broker int, store int, st *Store, scan, part string, shard int, second bool) {
	s := j.scans[scan]
	if s == nil {
		return
	}
	s.note(at, "part %s to %s", part, st.Name)
	if s.answered {
		j.breach(at, RuleAfter, s, "part %s", part)
	}
	if told, known := j.told[[2]int{broker, store}]; known && at > told+j.f.DrainGrace+slack {
		j.breach(at, RuleDrain, s, "part %s to %s, %.0f ms after broker %d was told", part, st.Name, at-told, broker)
	}
	if !j.f.holds(st.Cell, shard) {
		j.breach(at, RuleHolder, s, "part %s to %s of cell %d", part, st.Name, st.Cell)
	}
	if j.f.BudgetWindow > 0 && s.tries[shard] > 0 && !second {
		// What crosses the window's edge is given to the broker: its clock and ours meet a message apart.
		b := j.budgetOf(broker)
		b.extra = append(b.extra, counted{at, 1})
		extra := within(&b.extra, at-j.f.BudgetWindow+slack)
		taken := within(&b.taken, at-j.f.BudgetWindow-slack)
		if most := float64(j.f.BudgetSpare) + j.f.BudgetShare*float64(taken); float64(extra) > most+1 {
			j.breach(at, RuleBudget, s, "%d dispatches beyond the first within %.0f ms, %.1f allowed", extra, j.f.BudgetWindow, most)
		}
	}
	if s.tries[shard]++; !second && s.tries[shard] > j.f.Dispatches+j.f.Dispatches*s.typ.Fetch {
		j.breach(at, RuleCopies, s, "part %s: dispatch %d of %d", part, s.tries[shard], j.f.Dispatches)
	}
}

// arrived says that a dispatch is at a store, to the last byte.
func (j *Judge) arrived(at float64, scan string, p *Part) {
	s := j.scans[scan]
	if s != nil && s.reached == nil && len(j.f.Limits) > 0 {
		s.reached = &reached{s.tenant, s.taken - j.f.Client, at, at}
		j.reached = append(j.reached, s.reached)
	}
	c := &copyOut{part: p.ID, ref: p.Ref, until: p.Until}
	if !j.f.SecondCopies && s != nil {
		for _, o := range j.out[p.ID] {
			if o.until <= at {
				continue
			}
			verdict := func() {
				if j.refs[o.ref] == o {
					j.breach(at, RuleCopies, s, "part %s while another dispatch of it is out", p.ID)
				}
			}
			if j.later != nil {
				j.later(verdict)
			} else {
				verdict()
			}
		}
	}
	j.out[p.ID] = append(j.out[p.ID], c)
	j.refs[p.Ref] = c
}

// over says that a dispatch is out no longer: answered, turned away, given up, or its connection ended.
func (j *Judge) over(ref int64) {
	c := j.refs[ref]
	if c == nil {
		return
	}
	delete(j.refs, ref)
	list := j.out[c.part]
	for i, o := range list {
		if o == c {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(j.out, c.part)
	} else {
		j.out[c.part] = list
	}
}

// ran says that a store has done a part's work, or some of it.
func (j *Judge) ran(at float64, scan string, shard int, second bool) {
	s := j.scans[scan]
	if s == nil || second {
		return
	}
	s.note(at, "shard %d has run", shard)
	s.runs[shard] = append(s.runs[shard], at)
	runs := s.runs[shard]
	if len(runs) < 2 {
		return
	}
	switch s.typ.Effect {
	case "non-replayable":
		j.breach(at, RuleTwice, s, "shard %d has run %d times", shard, len(runs))
	case "keyed":
		if at-runs[0] > s.typ.RepeatWindow+s.typ.Timeout {
			j.breach(at, RuleTwice, s, "shard %d ran again after %.0f ms", shard, at-runs[0])
		}
	}
}

// came says that a value has reached the broker.
func (j *Judge) came(scan string, shard int, second bool) {
	if s := j.scans[scan]; s != nil {
		s.served[fmt.Sprint(shard, second)] = true
	}
}

// replied says that a broker answers a scan.
func (j *Judge) replied(at float64, sc *core.Scan, r core.Reply) {
	s := j.scans[sc.ID]
	if s == nil || r.Conflict {
		return
	}
	s.note(at, "answered: kind %d, whole %v, %d values", r.Kind, r.Complete, len(r.Hits))
	if s.answered {
		j.breach(at, RuleLost, s, "a second answer")
		return
	}
	s.answered = true
	if s.reached != nil && s.reached.ended == s.reached.at {
		s.reached.ended = at - j.f.Client // it was over when the broker sent the answer
	}
	if at > s.deadline+slack && !s.released {
		j.breach(at, RuleLost, s, "answered %.0f ms after its time", at-s.deadline)
	}
	if r.Kind == logic.Throttle && s.typ.Effect == "non-replayable" {
		for _, runs := range s.runs {
			if len(runs) > 0 {
				j.breach(at, RuleTwice, s, "throttled though a part has run")
				break
			}
		}
	}
	if r.Kind != logic.Answer {
		return
	}
	got, seen := 0.0, map[int]bool{}
	second := s.typ.Fetch > 0
	for _, h := range r.Hits {
		weight, asked := s.shards[h.Shard]
		switch {
		case !asked || seen[h.Shard]:
			j.breach(at, RuleHonest, s, "shard %d was not asked for, or twice", h.Shard)
		case h.Value != Value(h.Shard, s.text, second):
			j.breach(at, RuleHonest, s, "shard %d: value %q is not its own", h.Shard, h.Value)
		case !s.served[fmt.Sprint(h.Shard, second)]:
			j.breach(at, RuleHonest, s, "shard %d before its answer came", h.Shard)
		}
		seen[h.Shard] = true
		got += weight
	}
	switch {
	case second && r.Complete && len(r.Hits) < min(s.typ.Fetch, len(s.shards)):
		j.breach(at, RuleHonest, s, "marked whole with %d of %d", len(r.Hits), s.typ.Fetch)
	case second:
	case r.Complete && got < s.typ.Need-0.001:
		j.breach(at, RuleHonest, s, "marked whole with %.3f of %.3f", got, s.typ.Need)
	case got < min(s.typ.Floor, s.typ.Need)-0.001:
		j.breach(at, RuleHonest, s, "answered from %.3f, the least is %.3f", got, s.typ.Floor)
	}
}

// sweep looks for scans whose time is up without an answer, and forgets those that are long over.
func (j *Judge) sweep(now float64, end bool) {
	for _, id := range slices.Sorted(maps.Keys(j.scans)) {
		s := j.scans[id]
		s.released = s.released || j.stands[s.broker]
		if !s.answered && !s.released && now > s.deadline+slack {
			j.breach(now, RuleLost, s, "no answer by %.0f ms after its time", now-s.deadline)
			s.released = true
		}
		if now > s.deadline+20000 || end {
			delete(j.scans, id)
		}
	}
	for ref, c := range j.refs {
		if now > c.until+20000 {
			j.over(ref)
			delete(j.refs, ref)
		}
	}
}

// Figures say how well clients were served.
type Figures struct {
	Service    float64 `json:"service"` // benefit within target times over benefit asked for
	Worst10s   float64 `json:"worst_10s"`
	WorstType  float64 `json:"worst_type"`
	WorstName  string  `json:"worst_name"`
	Scans      int     `json:"scans"`
	Answered   int     `json:"answered"`
	Late       int     `json:"late"`
	Throttled  int     `json:"throttled"`
	Failed     int     `json:"failed"`
	Unanswered int     `json:"unanswered"`
	// ms, of answers
	P50          float64            `json:"p50"`
	P99          float64            `json:"p99"`
	P999         float64            `json:"p999"`
	Dispatches   float64            `json:"dispatches"` // a part
	Wasted       float64            `json:"wasted"`     // share of the work done
	Windows      []Window           `json:"windows"`
	ByType       map[string]float64 `json:"by_type"`
	ByTenant     map[string]float64 `json:"by_tenant,omitempty"`
	WorstTenant  float64            `json:"worst_tenant"` // of all but an abuser
	Abuser       string             `json:"abuser,omitempty"`
	OtherCells   float64            `json:"other_cells"` // service of the tenant served worst of those whose cell is not the abuser's
	Broken       map[string]int     `json:"broken"`
	Breaches     []Breach           `json:"breaches,omitempty"`
	Events       int                `json:"events"`
	Moved        int                `json:"-"`
	Struck       int                `json:"struck"` // parts that went to stores which were failing then
	WallSeconds  float64            `json:"-"`
	VirtualSecs  float64            `json:"virtual_secs"`
	ExpectFaults []string           `json:"expect_faults,omitempty"`
	Interrupted  bool               `json:"interrupted,omitempty"`
	Probes       int                `json:"probes,omitempty"`  // for load, that reached stores on loopback
	Brokers      []Usage            `json:"brokers,omitempty"` // on loopback, what their processes took
}

// Window is five seconds of a run, by the moment at which scans came.
type Window struct {
	From      float64 `json:"from"`
	Asked     float64 `json:"asked"`
	Served    float64 `json:"served"`
	Scans     int     `json:"scans"`
	Answered  int     `json:"answered"`
	Late      int     `json:"late"`
	Throttled int     `json:"throttled"`
	Fails     int     `json:"fails"`
	Struck    int     `json:"struck"` // parts that went to stores which were failing, by the moment at which they did
}

// tally adds up what clients got.
type tally struct {
	asked, got map[int]float64 // by second
	byType     [][2]float64
	byTenant   map[int]*[2]float64
	windows    []Window
	hist       *hdrhistogram.Histogram
	f          Figures
}

const windowMs = 5000.0

func newTally(types int) *tally {
	return &tally{asked: map[int]float64{}, got: map[int]float64{}, byType: make([][2]float64, types), byTenant: map[int]*[2]float64{},
		hist: hdrhistogram.New(1, 60_000_000, 3)}
}

func (t *tally) tenant(n int) *[2]float64 {
	if t.byTenant[n] == nil {
		t.byTenant[n] = &[2]float64{}
	}
	return t.byTenant[n]
}

func (t *tally) window(at float64) *Window {
	i := int(at / windowMs)
	for len(t.windows) <= i {
		t.windows = append(t.windows, Window{From: float64(len(t.windows)) * windowMs})
	}
	return &t.windows[i]
}

func (t *tally) scan(at float64, typ, tenant int, benefit float64) {
	t.tenant(tenant)[0] += benefit
	t.f.Scans++
	t.asked[int(at/1000)] += benefit
	t.byType[typ][0] += benefit
	w := t.window(at)
	w.Scans++
	w.Asked += benefit
}

func (t *tally) ended(at float64, typ, tenant int, benefit, took float64, kind logic.ActionKind, late bool) {
	w := t.window(at)
	switch {
	case kind == logic.Answer && late:
		t.f.Answered, t.f.Late = t.f.Answered+1, t.f.Late+1
		w.Late++
	case kind == logic.Answer:
		t.f.Answered++
		w.Answered++
	case kind == logic.Throttle:
		t.f.Throttled++
		w.Throttled++
	default:
		t.f.Failed++
		w.Fails++
	}
	if kind == logic.Answer {
		t.hist.RecordValue(int64(max(1, took*1000)))
		t.got[int(at/1000)] += benefit
		t.byType[typ][1] += benefit
		t.tenant(tenant)[1] += benefit
		w.Served += benefit
	}
}

// figures closes the account.
func (t *tally) figures(types []TableType) Figures {
	f := t.f
	asked, got := 0.0, 0.0
	seconds := slices.Sorted(maps.Keys(t.asked))
	for _, s := range seconds {
		asked, got = asked+t.asked[s], got+t.got[s]
	}
	f.Service = share(got, asked)
	f.Worst10s = 1
	for _, s := range seconds {
		a, g := 0.0, 0.0
		for k := s; k < s+10; k++ {
			a, g = a+t.asked[k], g+t.got[k]
		}
		if len(seconds) > 0 && s+10 <= seconds[len(seconds)-1]+1 {
			f.Worst10s = min(f.Worst10s, share(g, a))
		}
	}
	f.WorstType, f.ByType = 1, map[string]float64{}
	for i, y := range types {
		x := share(t.byType[i][1], t.byType[i][0])
		f.ByType[y.Name] = x
		if x < f.WorstType {
			f.WorstType, f.WorstName = x, y.Name
		}
	}
	f.WorstTenant, f.OtherCells = 1, 1
	if len(t.byTenant) > 1 {
		f.ByTenant = map[string]float64{}
		for n, x := range t.byTenant {
			f.ByTenant[tenantName(n)] = share(x[1], x[0])
		}
	}
	at := func(q float64) float64 { return float64(t.hist.ValueAtQuantile(q)) / 1000 }
	f.P50, f.P99, f.P999 = at(50), at(99), at(99.9)
	f.Windows = t.windows
	return f
}

func share(part, of float64) float64 {
	if of <= 0 {
		return 1
	}
	return math.Round(part/of*1e6) / 1e6
}
