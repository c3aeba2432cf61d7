package planted

import "slices"

const (
	leaseFile = "internal/lease"
	tasksFile = "internal/tasks/tasks.go"
	guardFile = "internal/guard/guard.go"
	votesFile = "internal/durable/durable.go"
	queueFile = "internal/durable/queue.go"
	fenceFile = "internal/fence/fence.go"
	shareFile = "internal/limitshare"
	markFile  = "internal/limitshare/marks.go"
	wordFile  = "internal/verdicts/verdicts.go"
	judgeFile = "internal/verdicts/judge.go"
	orderFile = "internal/verdicts/orders.go"
	coreFile  = "internal/core"
)

// Faults each disable one safety rule, of leases, tasks, limits, verdicts or the control state.
var Faults = slices.Concat([]Fault{
	{"drift left out", leaseFile, "return term * (1 + c.rules.Drift) / (1 - c.rules.Drift)", "return term", "", ""},
	{"drift counted on one side", leaseFile, "return term * (1 + c.rules.Drift) / (1 - c.rules.Drift)", "return term * (1 + c.rules.Drift)", "", ""},
	{"no quiet time", leaseFile, "return c.startedAt + c.voterTerm(term)\n}\n\n// Due", "return c.startedAt + 0*c.voterTerm(term)\n}\n\n// Due", "", ""},
	{"term counted from the answer", leaseFile, "l.heldUntil = b.sentAt + b.term", "l.heldUntil = c.now + b.term", "", ""},
	{"less than a majority", leaseFile, "return len(c.roster)/2 + 1", "return (len(c.roster) + 1) / 2 / 2 * 1", "", ""},
	{"process number ignored", leaseFile, "l.until > c.now && (l.holder != c.self || l.boot != c.boot)", "l.until > c.now && l.holder != c.self",
		"same := l.holder == from && l.boot == m.Boot", "same := l.holder == from"},
	{"vote told before it lasts", leaseFile, "if p.number = c.lastRecord; c.durable && c.lastRecord > c.storedUpTo {", "if p.number = c.lastRecord; false {", "", ""},
	{"late grant counted", leaseFile, "b.seq != m.Seq || m.Boot != c.boot || m.Epoch != l.ballot", "m.Boot != c.boot || m.Epoch != l.ballot", "", ""},
	{"grant while another's term runs", leaseFile, "	case l.until > c.now && !same:\n", "	case false:\n", "", ""},
	{"stored votes not kept to", leaseFile, "			l.until = now + c.voterTerm(l.term)\n", "			l.until = Never\n", "", ""},
	{"votes not stored", leaseFile, "if c.durable && changed {", "if false {", "", ""},
	{"new process's vote not stored", leaseFile, "changed := m.Epoch != l.epoch || !same", "changed := false", "", ""},
	{"release of another try counted", leaseFile, "l.holder == r.From && l.boot == m.Boot && l.epoch == m.Epoch", "l.holder == r.From", "", ""},
	{"try goes on after it was given up", leaseFile, "		l.round = nil\n		c.sendRelease(l)", "		c.sendRelease(l)", "", ""},
	{"epoch may fall", leaseFile, "case m.Epoch < l.epoch || m.Epoch == l.epoch && !same ||", "case", "", ""},
	{"epoch not raised", leaseFile, "l.ballot = c.nextEpoch(max(l.epoch, l.highestRefused))", "l.ballot = max(l.epoch, l.highestRefused, c.nextEpoch(0))", "", ""},
	{"note of a majority not taken over", leaseFile, "if g.note.newer(l.newestNote) {", "if false {", "", ""},
	{"what voters forgot not passed on", leaseFile, "ask.Note, ask.Blank = c.noteToMessage(l.newestNote), c.ageOf(l.blankUntil)", "ask.Note = c.noteToMessage(l.newestNote)", "", ""},
	{"forgotten while it runs", leaseFile, "l.wanted || l.until > c.now || c.now < l.idleSince+idleTermsKept*l.Term", "l.wanted", "", ""},
	{"epochs forgotten with a lease", leaseFile, "c.epochFloor, c.forgottenNoteAt = max(c.epochFloor, l.epoch), max(c.forgottenNoteAt, l.blank)", "c.forgottenNoteAt = max(c.forgottenNoteAt, l.blank)", "", ""},
	{"note forgotten with a lease, unsaid", leaseFile, "			c.forgottenNoteAt = max(c.forgottenNoteAt, l.note.at)\n", "", "", ""},
	{"try counts after it gave way", leaseFile, "		b.finished = true\n		c.sendRelease(l)\n	}\n	switch", "		c.sendRelease(l)\n	}\n	switch", "", ""},
	{"epochs by the asker's clock", leaseFile, "l.ballot = c.nextEpoch(max(l.epoch, l.highestRefused))", "l.ballot = c.nextEpoch(max(l.epoch, l.highestRefused, uint64(c.now)))", "", ""},
	{"begins before it is noted", tasksFile, "	s.log.Ended, s.log.Took, s.log.Code, s.log.Why = false, 0, 0, \"\"\n	c.writeLog(s)", "	s.log.Ended, s.log.Took, s.log.Code, s.log.Why = false, 0, 0, \"\"\n	c.handleNoted(lease.Noted{Lease: s.lease, Fence: s.fence})", "", ""},
	{"handed on while it runs", tasksFile, "if s.state == idle && !s.dirty {", "if true {", "", ""},
	{"limits: drift left out", shareFile, "return l.Term * (1 + c.rules.Drift) / (1 - c.rules.Drift)", "return l.Term", "", ""},
	{"limits: fast clock's pace", shareFile, "a.limit.Size / (1 + c.rules.Drift)", "a.limit.Size", "", ""},
	{"limits: no quiet time", shareFile, "	return c.start + c.lenderTerm(l)\n", "	return c.start\n", "", ""},
	{"limits: term counted from the answer", shareFile, "		end := l.sentAt + a.limit.Term\n", "		end := now + a.limit.Term\n", "", ""},
	{"limits: late answer counted", shareFile, "		if !l.open || l.seq != m.Seq {", "		if false {", "", ""},
	{"limits: answer to an earlier process counted", shareFile, "		if a != nil && m.Boot == c.rules.Boot {\n			c.settle(a, now)\n			if m.Once", "		if a != nil {\n			c.settle(a, now)\n			if m.Once", "", ""},
	{"limits: old ask answered", shareFile, "	if m.Seq <= d.seq {", "	if false {", "", ""},
	{"limits: what is lent used", shareFile, "		p = a.remainingHome(now)\n", "		p = a.home\n", "", ""},
	{"limits: more lent than there is", shareFile, ".min(a.remainingHome(now).add(have)).max(Part{})", ".max(Part{})", "fairShares(a *account, now float64, need Part) []Part {\n", "fairShares(a *account, now float64, need Part) []Part {\n	need = Part{}\n"},
	{"limits: taken back unheard", shareFile, "		d.oldShare, d.oldUntil = have, until // the borrower may not receive the answer", "		d.oldShare, d.oldUntil = grant, until", "", ""},
	{"limits: tokens both lent and kept", shareFile, "Tokens: tokens - a.tokens})", "Tokens: tokens})", "", ""},
	{"limits: tokens given without their room", shareFile, "min(m.Tokens, float64(before[burstIndex]-have[burstIndex])/Whole*a.limit.Burst)", "m.Tokens", "", ""},
	{"limits: a new process begins full", shareFile, "min(c.bucketSize(a), max(0, c.now-c.priorLoansEndAt(l))/1000*c.refillRate(a))", "c.bucketSize(a)", "", ""},
	{"limits: an account forgotten before it is full", shareFile, "(a.limit.Kind == Stock || a.tokens >= c.bucketSize(a)-1e-9)", "true", "", ""},
	{"limits: loan run out unseen by a member that stood still", shareFile, "	for a.changeAt <= now {", "	for false {", "", ""},
	{"limits: open scans outlast their loan", shareFile, "float64(c.usableShare(a, now, now+lasts)[rateIndex])", "float64(c.usableShare(a, now, now)[rateIndex])", "", ""},
	{"limits: lent although open scans rest on it", shareFile, "	if a.limit.Kind == Stock && grant[rateIndex] > have[rateIndex] {", "	if false {", "", ""},
	{"limits: given back although open scans rest on it", shareFile, "	if a.limit.Kind == Stock && a.used > 0 && c.loanEnd", "	if false && c.loanEnd", "", ""},
	{"limits: homes by one size alone", shareFile, "	for _, s := range l.sizes {\n", "	for _, s := range []size{{l.Size, l.Burst}} {\n", "", ""},
	{"limits: a loan told before it lasts", markFile, "	case a.markNumber <= c.stored:\n", "	case true:\n", "", ""},
	{"limits: what the process before lent not kept to", markFile, "c.now < until && !a.home.none()", "false", "", ""},
	{"limits: marks by other rules taken for sound", markFile, "sound && rules == c.rulesSum()", "sound && (rules == c.rulesSum() || true)", "", ""},
	{"limits: trusted before what may be missing has run out", markFile, "	return c.trustAt\n", "	return c.start\n", "", ""},
	{"limits: tokens lent by the process before begun with", shareFile, "max(0, c.now-c.priorLoansEndAt(l))", "max(0, c.now-c.homeUsableAt(l))", "", ""},
	{"limits: a mark lowered below what is lent", markFile, "	low := a.lent(now)\n", "	low := Part{}\n", "", ""},
	{"limits: marks not raised", markFile, "!a.mark.less(lent) {", "true {", "", ""},
	{"verdicts: ages forget what waited in the mailbox", wordFile, "c.now-w.Age-c.extraAge()", "c.now-w.Age", "", ""},
	{"verdicts: ages do not grow from member to member", wordFile, "		w.Age = max(0, c.now-h.outcomeAt)\n", "		w.Age = min(w.Age, max(0, c.now-h.outcomeAt))\n", "", ""},
	{"verdicts: one observer is enough", judgeFile, "	case e.bad < c.rules.Quorum || e.badInRow < badInRowNeeded:\n", "	case e.bad < 1:\n", "", ""},
	{"verdicts: one zone is enough", judgeFile, "len(e.zones) < min(2, c.zoneCount())", "false", "", ""},
	{"verdicts: who sees it well is not heard", judgeFile, "	case float64(e.well) > maxWellShare*float64(e.bad) || e.wellAt > e.newest && e.well > 0:\n", "	case false:\n", "", ""},
	{"verdicts: old words count", judgeFile, "		case c.now-h.outcomeAt > c.rules.Fresh, h.Born < born:", "		case h.Born < born:", "", ""},
	{"verdicts: words on an earlier process count", judgeFile, "		case c.now-h.outcomeAt > c.rules.Fresh, h.Born < born:", "		case c.now-h.outcomeAt > c.rules.Fresh, h.Born < born-1e18:", "", ""},
	{"verdicts: any number of holders may rest", judgeFile, "if d.Kind.bad() && !c.mayExclude(s, badByObserver) {", "if d.Kind.bad() && !c.mayExclude(s, badByObserver) && false {", "", ""},
	{"verdicts: who rested is judged apart from who takes its place", judgeFile, "sets[s.Set] {\n			c.dirty[store] = true", "sets[s.Set] && false {\n			c.dirty[store] = true", "", ""},
	{"verdicts: an older word takes the place of a newer one", wordFile, "		if !w.newerThan(h.Report) {", "		if w == h.Report {", "", ""},
	{"verdicts: who condemns all counts", judgeFile, "case float64(badByObserver[by]) > max(1, maxBadShare*float64(len(c.stores))):", "case false:", "", ""},
	{"verdicts: a single failure of each is enough", judgeFile, " || e.badInRow < badInRowNeeded:", ":", "", ""},
	{"verdicts: an older order counts", orderFile, "if x != nil && !o.newerThan(x.Order) || x == nil", "if x == nil", "", ""},
	{"verdicts: orders never end", orderFile, "	if x == nil || now >= x.until {", "	if x == nil || x.Left == 0 {", "", ""},
	{"verdicts: nobody is reminded of orders", orderFile, "	if due {\n		c.sendReminders()\n	}", "	_ = due", "", ""},
	{"verdict process: a drain does not reach the module", coreFile, "if c.drained[n.Host] && n.Readiness == logic.Ready {", "if false {", "", ""},
	{"verdict process: who is cut off counts as told", judgeFile, "			for _, name := range c.rules.Roster { //", "			for _, name := range []string{} { //", "", ""},
	{"process: lower number let pass", fenceFile, "if number < seen {", "if false {", "", ""},
	{"process: command not killed", guardFile, "	unix.Kill(-pid, unix.SIGKILL)\n	KillBelow(os.Getpid(), pid)", "	_ = pid", "", ""},
	{"process: only its group killed", guardFile, "	KillBelow(os.Getpid(), pid)\n}", "}", "			killed, codes = true, nil\n			killCommand(pid)\n", "			killed, codes = true, nil\n"},
	{"process: no backstop", guardFile, "	go g.backstop()\n", "", "", ""},
	{"process: deadline forgotten with the broker", guardFile, "instructions = nil // whoever", "instructions, until = nil, until+int64(time.Hour) // whoever", "", ""},
	{"lasting: doubt forgotten with the process that had it", votesFile, "	case earlierReason != \"\":\n", "	case false:\n", "", ""},
	{"lasting: trusted at once", votesFile, "Begun: time.Now().UnixNano(), Place: currentPlace, Doubt: d.incompleteReason})\n}\n\n// Trust", "Begun: time.Now().UnixNano(), Place: currentPlace})\n}\n\n// Trust", "", ""},
	{"lasting: taken from the queue and left out", queueFile, "next.Trust || len(records) == maxQueue {", "next.Trust {", "			case next = <-q.in:\n			default:", "			case next = <-q.in:\n				if len(records) >= maxQueue {\n					more = false\n				}\n			default:"},
	{"process: copy of votes taken for sound", votesFile, "case fresh || currentPlace != recordedPlace:", "case fresh || currentPlace != recordedPlace && false:", "case changed && touched-last > int64(maxChangeDelay):", "case changed && touched-last > int64(maxChangeDelay) && false:"},
}, controlFaults)

// Proofs are the tests that must detect Faults.
var Proofs = slices.Concat([]Proof{
	{Name: "processes", Package: "./cmd/gullstair", Args: []string{"-test.run=TestLeaseFaults|TestLeasesWithoutDisks|TestMachineStandsStill", "-test.timeout=300s"}, FaultPrefix: "process: "},
	{Name: "explorer", Package: "./internal/explore", Args: []string{"-test.run=TestExplore$", "-test.timeout=300s"}},
	{Name: "leases' histories", Package: "./internal/simulation", Args: []string{"-test.run=TestLeaseHistories|TestNumbers", "-rapid.nofailfile", "-rapid.checks=1000", "-test.timeout=300s"}},
	{Name: "limits' histories", Package: "./internal/simulation", Args: []string{"-test.run=TestLimitHistories|TestLimitRosters", "-rapid.nofailfile", "-rapid.checks=1500", "-test.timeout=300s"}, FaultPrefix: "limits: "},
	{Name: "limits' cases", Package: "./internal/limitshare", Args: []string{"-test.timeout=120s"}, FaultPrefix: "limits: "},
	{Name: "durable's cases", Package: "./internal/durable", Args: []string{"-test.timeout=60s"}, FaultPrefix: "lasting: "},
	{Name: "verdicts' histories", Package: "./internal/simulation", Args: []string{"-test.run=TestVerdictHistories", "-rapid.nofailfile", "-rapid.checks=600", "-test.timeout=300s"}, FaultPrefix: "verdicts: "},
	{Name: "verdicts' cases", Package: "./internal/simulation", Args: []string{"-test.run=TestOneStoreFails|TestWhoseWordCounts|TestContraryOrders|TestReborn|TestNowAndThen", "-test.timeout=120s"}, FaultPrefix: "verdicts: "},
	{Name: "verdicts' units", Package: "./internal/verdicts", Args: []string{"-test.timeout=60s"}, FaultPrefix: "verdicts: "},
	{Name: "processes' verdicts", Package: "./cmd/gullstair", Args: []string{"-test.run=TestVerdictFaults", "-test.timeout=200s"}, FaultPrefix: "verdict process: "},
	{Name: "members' histories", Package: "./internal/simulation", Args: []string{"-test.run=TestHistories|TestPausedHolder|TestRestarts|TestLeavesInMidWork", "-rapid.nofailfile", "-rapid.checks=100", "-test.timeout=300s"}},
}, controlProofs)
