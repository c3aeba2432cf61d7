package planted

import "slices"

const (
	leaseFile = "internal/lease"
	tasksFile = "internal/tasks/tasks.go"
	guardFile = "internal/guard/guard.go"
	votesFile = "internal/lasting/lasting.go"
	queueFile = "internal/lasting/queue.go"
	fenceFile = "internal/fence/fence.go"
	shareFile = "internal/shares"
	markFile  = "internal/shares/marks.go"
	wordFile  = "internal/verdicts/verdicts.go"
	judgeFile = "internal/verdicts/judge.go"
	orderFile = "internal/verdicts/orders.go"
	coreFile  = "internal/core"
)

// Faults each disable one safety rule, of leases, tasks, limits, verdicts or the control state.
var Faults = slices.Concat([]Fault{
	{"drift left out", leaseFile, "return term * (1 + c.rules.Drift) / (1 - c.rules.Drift)", "return term", "", ""},
	{"drift counted on one side", leaseFile, "return term * (1 + c.rules.Drift) / (1 - c.rules.Drift)", "return term * (1 + c.rules.Drift)", "", ""},
	{"no quiet time", leaseFile, "return c.start + c.kept(term)\n}\n\n// Due", "return c.start + 0*c.kept(term)\n}\n\n// Due", "", ""},
	{"term counted from the answer", leaseFile, "l.till = b.sent + b.term", "l.till = c.now + b.term", "", ""},
	{"less than a majority", leaseFile, "return len(c.roster)/2 + 1", "return (len(c.roster) + 1) / 2 / 2 * 1", "", ""},
	{"process number ignored", leaseFile, "l.until > c.now && (l.holder != c.self || l.boot != c.boot)", "l.until > c.now && l.holder != c.self",
		"same := l.holder == from && l.boot == m.Boot", "same := l.holder == from"},
	{"vote told before it lasts", leaseFile, "if p.number = c.number; c.disk && c.number > c.stored {", "if p.number = c.number; false {", "", ""},
	{"late grant counted", leaseFile, "b.seq != m.Seq || m.Boot != c.boot || m.Epoch != l.ballot", "m.Boot != c.boot || m.Epoch != l.ballot", "", ""},
	{"grant while another's term runs", leaseFile, "	case l.until > c.now && !same:\n", "	case false:\n", "", ""},
	{"stored votes not kept to", leaseFile, "			l.until = now + c.kept(l.term)\n", "			l.until = Never\n", "", ""},
	{"votes not stored", leaseFile, "if c.disk && news {", "if false {", "", ""},
	{"new process's vote not stored", leaseFile, "news := m.Epoch != l.epoch || !same", "news := false", "", ""},
	{"release of another try counted", leaseFile, "l.holder == r.From && l.boot == m.Boot && l.epoch == m.Epoch", "l.holder == r.From", "", ""},
	{"try goes on after it was given up", leaseFile, "		l.bid = nil\n		c.release(l)", "		c.release(l)", "", ""},
	{"epoch may fall", leaseFile, "case m.Epoch < l.epoch || m.Epoch == l.epoch && !same ||", "case", "", ""},
	{"epoch not raised", leaseFile, "l.ballot = c.above(max(l.epoch, l.passed))", "l.ballot = max(l.epoch, l.passed, c.above(0))", "", ""},
	{"note of a majority not taken over", leaseFile, "if g.note.newer(l.mine) {", "if false {", "", ""},
	{"what voters forgot not passed on", leaseFile, "ask.Note, ask.Blank = c.told(l.mine), c.age(l.bound)", "ask.Note = c.told(l.mine)", "", ""},
	{"forgotten while it runs", leaseFile, "l.want || l.until > c.now || c.now < l.idle+keptFor*l.Term", "l.want", "", ""},
	{"epochs forgotten with a lease", leaseFile, "c.floor, c.lost = max(c.floor, l.epoch), max(c.lost, l.blank)", "c.lost = max(c.lost, l.blank)", "", ""},
	{"note forgotten with a lease, unsaid", leaseFile, "			c.lost = max(c.lost, l.note.at)\n", "", "", ""},
	{"try counts after it gave way", leaseFile, "		b.over = true\n		c.release(l)\n	}\n	switch", "		c.release(l)\n	}\n	switch", "", ""},
	{"epochs by the asker's clock", leaseFile, "l.ballot = c.above(max(l.epoch, l.passed))", "l.ballot = c.above(max(l.epoch, l.passed, uint64(c.now)))", "", ""},
	{"begins before it is noted", tasksFile, "	s.log.Ended, s.log.Took, s.log.Code, s.log.Why = false, 0, 0, \"\"\n	c.write(s)", "	s.log.Ended, s.log.Took, s.log.Code, s.log.Why = false, 0, 0, \"\"\n	c.noted(lease.Noted{Lease: s.lease, Fence: s.fence})", "", ""},
	{"handed on while it runs", tasksFile, "if s.state == idle && !s.dirty {", "if true {", "", ""},
	{"limits: drift left out", shareFile, "return l.Term * (1 + c.rules.Drift) / (1 - c.rules.Drift)", "return l.Term", "", ""},
	{"limits: fast clock's pace", shareFile, "a.limit.Size / (1 + c.rules.Drift)", "a.limit.Size", "", ""},
	{"limits: no quiet time", shareFile, "	return c.start + c.kept(l)\n", "	return c.start\n", "", ""},
	{"limits: term counted from the answer", shareFile, "		end := l.sent + a.limit.Term\n", "		end := now + a.limit.Term\n", "", ""},
	{"limits: late answer counted", shareFile, "		if !l.open || l.seq != m.Seq {", "		if false {", "", ""},
	{"limits: answer to an earlier process counted", shareFile, "		if a != nil && m.Boot == c.rules.Boot {\n			c.settle(a, now)\n			if m.Once", "		if a != nil {\n			c.settle(a, now)\n			if m.Once", "", ""},
	{"limits: old ask answered", shareFile, "	if m.Seq <= d.seq {", "	if false {", "", ""},
	{"limits: what is lent used", shareFile, "		p = a.own(now)\n", "		p = a.home\n", "", ""},
	{"limits: more lent than there is", shareFile, ".min(a.own(now).add(have)).max(Part{})", ".max(Part{})", "fair(a *account, now float64, need Part) []Part {\n", "fair(a *account, now float64, need Part) []Part {\n	need = Part{}\n"},
	{"limits: taken back unheard", shareFile, "		d.hi, d.hiUntil = have, until // it may not hear of it", "		d.hi, d.hiUntil = grant, until", "", ""},
	{"limits: tokens both lent and kept", shareFile, "Tokens: tokens - a.tokens})", "Tokens: tokens})", "", ""},
	{"limits: tokens given without their room", shareFile, "min(m.Tokens, float64(before[depth]-have[depth])/Whole*a.limit.Burst)", "m.Tokens", "", ""},
	{"limits: a new process begins full", shareFile, "min(c.deep(a), max(0, c.now-c.rested(l))/1000*c.pace(a))", "c.deep(a)", "", ""},
	{"limits: an account forgotten before it is full", shareFile, "(a.limit.Kind == Stock || a.tokens >= c.deep(a)-1e-9)", "true", "", ""},
	{"limits: loan run out unseen by a member that stood still", shareFile, "	for a.change <= now {", "	for false {", "", ""},
	{"limits: open scans outlast their loan", shareFile, "float64(c.valid(a, now, now+lasts)[flow])", "float64(c.valid(a, now, now)[flow])", "", ""},
	{"limits: lent although open scans rest on it", shareFile, "	if a.limit.Kind == Stock && grant[flow] > have[flow] {", "	if false {", "", ""},
	{"limits: given back although open scans rest on it", shareFile, "	if a.limit.Kind == Stock && a.used > 0 && c.ends", "	if false && c.ends", "", ""},
	{"limits: homes by one size alone", shareFile, "	for _, s := range l.sizes {\n", "	for _, s := range []size{{l.Size, l.Burst}} {\n", "", ""},
	{"limits: a loan told before it lasts", markFile, "	case a.markAt <= c.stored:\n", "	case true:\n", "", ""},
	{"limits: what the process before lent not kept to", markFile, "c.now < until && !a.home.none()", "false", "", ""},
	{"limits: marks by other rules taken for sound", markFile, "sound && rules == c.rulesSum()", "sound && (rules == c.rulesSum() || true)", "", ""},
	{"limits: trusted before what may be missing has run out", markFile, "	return c.ripe\n", "	return c.start\n", "", ""},
	{"limits: tokens lent by the process before begun with", shareFile, "max(0, c.now-c.rested(l))", "max(0, c.now-c.quiet(l))", "", ""},
	{"limits: a mark lowered below what is lent", markFile, "	low := a.lent(now)\n", "	low := Part{}\n", "", ""},
	{"limits: marks not raised", markFile, "!a.mark.less(lent) {", "true {", "", ""},
	{"verdicts: ages forget what waited in the mailbox", wordFile, "c.now-w.Age-c.waited()", "c.now-w.Age", "", ""},
	{"verdicts: ages do not grow from member to member", wordFile, "		w.Age = max(0, c.now-h.at)\n", "		w.Age = min(w.Age, max(0, c.now-h.at))\n", "", ""},
	{"verdicts: one observer is enough", judgeFile, "	case e.bad < c.r.Quorum || e.row < rowsNeeded:\n", "	case e.bad < 1:\n", "", ""},
	{"verdicts: one zone is enough", judgeFile, "len(e.zones) < min(2, c.sides())", "false", "", ""},
	{"verdicts: who sees it well is not heard", judgeFile, "	case float64(e.well) > denying*float64(e.bad) || e.wellAt > e.newest && e.well > 0:\n", "	case false:\n", "", ""},
	{"verdicts: old words count", judgeFile, "		case c.now-h.at > c.r.Fresh, h.Born < born:", "		case h.Born < born:", "", ""},
	{"verdicts: words on an earlier process count", judgeFile, "		case c.now-h.at > c.r.Fresh, h.Born < born:", "		case c.now-h.at > c.r.Fresh, h.Born < born-1e18:", "", ""},
	{"verdicts: any number of holders may rest", judgeFile, "if d.Kind.bad() && !c.roomToRest(s, condemned) {", "if d.Kind.bad() && !c.roomToRest(s, condemned) && false {", "", ""},
	{"verdicts: who rested is judged apart from who takes its place", judgeFile, "sets[s.Set] {\n			c.dirty[store] = true", "sets[s.Set] && false {\n			c.dirty[store] = true", "", ""},
	{"verdicts: an older word takes the place of a newer one", wordFile, "		if !w.later(h.Word) {", "		if w == h.Word {", "", ""},
	{"verdicts: who condemns all counts", judgeFile, "case float64(condemned[by]) > max(1, condemning*float64(len(c.stores))):", "case false:", "", ""},
	{"verdicts: a single failure of each is enough", judgeFile, " || e.row < rowsNeeded:", ":", "", ""},
	{"verdicts: an older order counts", orderFile, "if x != nil && !o.newer(x.Order) || x == nil", "if x == nil", "", ""},
	{"verdicts: orders never end", orderFile, "	if x == nil || now >= x.until {", "	if x == nil || x.Left == 0 {", "", ""},
	{"verdicts: nobody is reminded of orders", orderFile, "	if due {\n		c.remind()\n	}", "	_ = due", "", ""},
	{"verdict process: a drain does not reach the module", coreFile, "if c.drained[n.Host] && n.Readiness == logic.Ready {", "if false {", "", ""},
	{"verdict process: who is cut off counts as told", judgeFile, "			for _, name := range c.r.Roster { //", "			for _, name := range []string{} { //", "", ""},
	{"process: lower number let pass", fenceFile, "if number < seen {", "if false {", "", ""},
	{"process: command not killed", guardFile, "	unix.Kill(-pid, unix.SIGKILL)\n	KillBelow(os.Getpid(), pid)", "	_ = pid", "", ""},
	{"process: only its group killed", guardFile, "	KillBelow(os.Getpid(), pid)\n}", "}", "			killed, codes = true, nil\n			kill(pid)\n", "			killed, codes = true, nil\n"},
	{"process: no backstop", guardFile, "	go g.backstop()\n", "", "", ""},
	{"process: deadline forgotten with the broker", guardFile, "told = nil // whoever", "told, until = nil, until+int64(time.Hour) // whoever", "", ""},
	{"lasting: doubt forgotten with the process that had it", votesFile, "	case earlier != \"\":\n", "	case false:\n", "", ""},
	{"lasting: trusted at once", votesFile, "Begun: time.Now().UnixNano(), Place: here, Doubt: d.doubt})\n}\n\n// Trust", "Begun: time.Now().UnixNano(), Place: here})\n}\n\n// Trust", "", ""},
	{"lasting: taken from the queue and left out", queueFile, "next.Trust || len(records) == queueMost {", "next.Trust {", "			case next = <-q.in:\n			default:", "			case next = <-q.in:\n				if len(records) >= queueMost {\n					more = false\n				}\n			default:"},
	{"process: copy of votes taken for sound", votesFile, "case fresh || here != there:", "case fresh || here != there && false:", "case changed && touched-last > int64(touchedWithin):", "case changed && touched-last > int64(touchedWithin) && false:"},
}, controlFaults)

// Proofs are the tests that must detect Faults.
var Proofs = slices.Concat([]Proof{
	{Name: "processes", Package: "./cmd/gullstair", Args: []string{"-test.run=TestLeaseFaults|TestLeasesWithoutDisks|TestMachineStandsStill", "-test.timeout=300s"}, Among: "process: "},
	{Name: "explorer", Package: "./internal/explore", Args: []string{"-test.run=TestExplore$", "-test.timeout=300s"}},
	{Name: "leases' histories", Package: "./internal/trial", Args: []string{"-test.run=TestLeaseHistories|TestNumbers", "-rapid.nofailfile", "-rapid.checks=1000", "-test.timeout=300s"}},
	{Name: "limits' histories", Package: "./internal/trial", Args: []string{"-test.run=TestLimitHistories|TestLimitRosters", "-rapid.nofailfile", "-rapid.checks=1500", "-test.timeout=300s"}, Among: "limits: "},
	{Name: "limits' cases", Package: "./internal/shares", Args: []string{"-test.timeout=120s"}, Among: "limits: "},
	{Name: "lasting's cases", Package: "./internal/lasting", Args: []string{"-test.timeout=60s"}, Among: "lasting: "},
	{Name: "verdicts' histories", Package: "./internal/trial", Args: []string{"-test.run=TestVerdictHistories", "-rapid.nofailfile", "-rapid.checks=600", "-test.timeout=300s"}, Among: "verdicts: "},
	{Name: "verdicts' cases", Package: "./internal/trial", Args: []string{"-test.run=TestOneStoreFails|TestWhoseWordCounts|TestContraryOrders|TestReborn|TestNowAndThen", "-test.timeout=120s"}, Among: "verdicts: "},
	{Name: "verdicts' units", Package: "./internal/verdicts", Args: []string{"-test.timeout=60s"}, Among: "verdicts: "},
	{Name: "processes' verdicts", Package: "./cmd/gullstair", Args: []string{"-test.run=TestVerdictFaults", "-test.timeout=200s"}, Among: "verdict process: "},
	{Name: "members' histories", Package: "./internal/trial", Args: []string{"-test.run=TestHistories|TestPausedHolder|TestRestarts|TestLeavesInMidWork", "-rapid.nofailfile", "-rapid.checks=100", "-test.timeout=300s"}},
}, controlProofs)
