package planted

import "slices"

const (
	leaseFile    = "internal/lease"
	tasksFile    = "internal/tasks/tasks.go"
	guardFile    = "internal/guard/guard.go"
	durableFile  = "internal/durable/durable.go"
	queueFile    = "internal/durable/queue.go"
	fenceFile    = "internal/fence/fence.go"
	shareFile    = "internal/limitshare"
	marksFile    = "internal/limitshare/marks.go"
	verdictsFile = "internal/verdicts/verdicts.go"
	judgeFile    = "internal/verdicts/judge.go"
	ordersFile   = "internal/verdicts/orders.go"
	coreFile     = "internal/core"
)

// Faults each disable one safety rule, of leases, tasks, limits, verdicts or the control state.
var Faults = slices.Concat([]Fault{
	{"clock drift ignored", leaseFile, "return term * (1 + c.rules.Drift) / (1 - c.rules.Drift)", "return term", "", ""},
	{"clock drift counted for one clock only", leaseFile, "return term * (1 + c.rules.Drift) / (1 - c.rules.Drift)", "return term * (1 + c.rules.Drift)", "", ""},
	{"no waiting period after the start", leaseFile, "return c.startedAt + c.voterTerm(term)\n}\n\n// Due", "return c.startedAt + 0*c.voterTerm(term)\n}\n\n// Due", "", ""},
	{"term counted from the arrival of the answer", leaseFile, "l.heldUntil = b.sentAt + b.term", "l.heldUntil = c.now + b.term", "", ""},
	{"fewer grants than a majority", leaseFile, "return len(c.roster)/2 + 1", "return (len(c.roster) + 1) / 2 / 2 * 1", "", ""},
	{"process number ignored", leaseFile, "l.until > c.now && (l.holder != c.self || l.boot != c.boot)", "l.until > c.now && l.holder != c.self",
		"same := l.holder == from && l.boot == m.Boot", "same := l.holder == from"},
	{"vote sent before it is stored", leaseFile, "if p.number = c.lastRecord; c.durable && c.lastRecord > c.storedUpTo {", "if p.number = c.lastRecord; false {", "", ""},
	{"late grant counted", leaseFile, "b.seq != m.Seq || m.Boot != c.boot || m.Epoch != l.ballot", "m.Boot != c.boot || m.Epoch != l.ballot", "", ""},
	{"granted during another holder's term", leaseFile, "	case l.until > c.now && !same:\n", "	case false:\n", "", ""},
	{"stored votes ignored after a restart", leaseFile, "			l.until = now + c.voterTerm(l.term)\n", "			l.until = Never\n", "", ""},
	{"votes not stored", leaseFile, "if c.durable && changed {", "if false {", "", ""},
	{"vote for a new process not stored", leaseFile, "changed := m.Epoch != l.epoch || !same", "changed := false", "", ""},
	{"release of another attempt accepted", leaseFile, "l.holder == r.From && l.boot == m.Boot && l.epoch == m.Epoch", "l.holder == r.From", "", ""},
	{"attempt continues after it was abandoned", leaseFile, "		l.round = nil\n		c.sendRelease(l)", "		c.sendRelease(l)", "", ""},
	{"epoch may decrease", leaseFile, "case m.Epoch < l.epoch || m.Epoch == l.epoch && !same ||", "case", "", ""},
	{"epoch not increased", leaseFile, "l.ballot = c.nextEpoch(max(l.epoch, l.highestRefused))", "l.ballot = max(l.epoch, l.highestRefused, c.nextEpoch(0))", "", ""},
	{"newer note of a majority ignored", leaseFile, "if g.note.newer(l.newestNote) {", "if false {", "", ""},
	{"notes lost by voters not reported", leaseFile, "ask.Note, ask.Blank = c.noteToMessage(l.newestNote), c.ageOf(l.blankUntil)", "ask.Note = c.noteToMessage(l.newestNote)", "", ""},
	{"lease dropped during its term", leaseFile, "l.wanted || l.until > c.now || c.now < l.idleSince+idleTermsKept*l.Term", "l.wanted", "", ""},
	{"epoch dropped with its lease", leaseFile, "c.epochFloor, c.forgottenNoteAt = max(c.epochFloor, l.epoch), max(c.forgottenNoteAt, l.blank)", "c.forgottenNoteAt = max(c.forgottenNoteAt, l.blank)", "", ""},
	{"loss of a note with its lease not reported", leaseFile, "			c.forgottenNoteAt = max(c.forgottenNoteAt, l.note.at)\n", "", "", ""},
	{"attempt counts after it yielded", leaseFile, "		b.finished = true\n		c.sendRelease(l)\n	}\n	switch", "		c.sendRelease(l)\n	}\n	switch", "", ""},
	{"epochs from the requester's clock", leaseFile, "l.ballot = c.nextEpoch(max(l.epoch, l.highestRefused))", "l.ballot = c.nextEpoch(max(l.epoch, l.highestRefused, uint64(c.now)))", "", ""},
	{"task begins before its start is recorded", tasksFile, "	s.log.Ended, s.log.Took, s.log.Code, s.log.Why = false, 0, 0, \"\"\n	c.writeLog(s)", "	s.log.Ended, s.log.Took, s.log.Code, s.log.Why = false, 0, 0, \"\"\n	c.handleNoted(lease.Noted{Lease: s.lease, Fence: s.fence})", "", ""},
	{"lease released while the task runs", tasksFile, "if s.state == idle && !s.dirty {", "if true {", "", ""},
	{"limits: clock drift ignored", shareFile, "return l.Term * (1 + c.rules.Drift) / (1 - c.rules.Drift)", "return l.Term", "", ""},
	{"limits: refill rate not reduced for a fast clock", shareFile, "a.limit.Size / (1 + c.rules.Drift)", "a.limit.Size", "", ""},
	{"limits: no waiting period after the start", shareFile, "	return c.start + c.lenderTerm(l)\n", "	return c.start\n", "", ""},
	{"limits: term counted from the arrival of the answer", shareFile, "		end := l.sentAt + a.limit.Term\n", "		end := now + a.limit.Term\n", "", ""},
	{"limits: late answer accepted", shareFile, "		if !l.open || l.seq != m.Seq {", "		if false {", "", ""},
	{"limits: answer to an earlier process accepted", shareFile, "		if a != nil && m.Boot == c.rules.Boot {\n			c.settle(a, now)\n			if m.Once", "		if a != nil {\n			c.settle(a, now)\n			if m.Once", "", ""},
	{"limits: outdated request answered", shareFile, "	if m.Seq <= d.seq {", "	if false {", "", ""},
	{"limits: lent share used by its lender", shareFile, "		p = a.remainingHome(now)\n", "		p = a.home\n", "", ""},
	{"limits: more lent than the share", shareFile, ".min(a.remainingHome(now).add(have)).max(Part{})", ".max(Part{})", "fairShares(a *account, now float64, need Part) []Part {\n", "fairShares(a *account, now float64, need Part) []Part {\n	need = Part{}\n"},
	{"limits: share taken back before the borrower knows", shareFile, "		d.oldShare, d.oldUntil = have, until // the borrower may not receive the answer", "		d.oldShare, d.oldUntil = grant, until", "", ""},
	{"limits: tokens both lent and kept", shareFile, "Tokens: tokens - a.tokens})", "Tokens: tokens})", "", ""},
	{"limits: more tokens taken back than the returned share allows", shareFile, "min(m.Tokens, float64(before[burstIndex]-have[burstIndex])/Whole*a.limit.Burst)", "m.Tokens", "", ""},
	{"limits: new process begins with a full bucket", shareFile, "min(c.bucketSize(a), max(0, c.now-c.priorLoansEndAt(l))/1000*c.refillRate(a))", "c.bucketSize(a)", "", ""},
	{"limits: account dropped before its bucket is full", shareFile, "(a.limit.Kind == Stock || a.tokens >= c.bucketSize(a)-1e-9)", "true", "", ""},
	{"limits: paused member misses the end of a loan", shareFile, "	for a.changeAt <= now {", "	for false {", "", ""},
	{"limits: open scans outlast their loan", shareFile, "float64(c.usableShare(a, now, now+lasts)[rateIndex])", "float64(c.usableShare(a, now, now)[rateIndex])", "", ""},
	{"limits: share lent while open scans use it", shareFile, "	if a.limit.Kind == Stock && grant[rateIndex] > have[rateIndex] {", "	if false {", "", ""},
	{"limits: share returned while open scans use it", shareFile, "	if a.limit.Kind == Stock && a.used > 0 && c.loanEnd", "	if false && c.loanEnd", "", ""},
	{"limits: home shares computed from one size only", shareFile, "	for _, s := range l.sizes {\n", "	for _, s := range []size{{l.Size, l.Burst}} {\n", "", ""},
	{"limits: loan granted before its mark is stored", marksFile, "	case a.markNumber <= c.stored:\n", "	case true:\n", "", ""},
	{"limits: loans of the previous process ignored", marksFile, "c.now < until && !a.home.none()", "false", "", ""},
	{"limits: marks of other rules trusted", marksFile, "sound && rules == c.rulesSum()", "sound && (rules == c.rulesSum() || true)", "", ""},
	{"limits: marks trusted before lost loans have expired", marksFile, "	return c.trustAt\n", "	return c.start\n", "", ""},
	{"limits: new process begins with tokens that the previous one lent", shareFile, "max(0, c.now-c.priorLoansEndAt(l))", "max(0, c.now-c.homeUsableAt(l))", "", ""},
	{"limits: mark lowered below the lent share", marksFile, "	low := a.lent(now)\n", "	low := Part{}\n", "", ""},
	{"limits: marks not raised", marksFile, "!a.mark.less(lent) {", "true {", "", ""},
	{"verdicts: age without the time in the mailbox", verdictsFile, "c.now-w.Age-c.extraAge()", "c.now-w.Age", "", ""},
	{"verdicts: age not increased when a report is forwarded", verdictsFile, "		w.Age = max(0, c.now-h.outcomeAt)\n", "		w.Age = min(w.Age, max(0, c.now-h.outcomeAt))\n", "", ""},
	{"verdicts: one observer is enough", judgeFile, "	case e.bad < c.rules.Quorum || e.badInRow < badInRowNeeded:\n", "	case e.bad < 1:\n", "", ""},
	{"verdicts: one zone is enough", judgeFile, "len(e.zones) < min(2, c.zoneCount())", "false", "", ""},
	{"verdicts: reports of healthy observers ignored", judgeFile, "	case float64(e.well) > maxWellShare*float64(e.bad) || e.wellAt > e.newest && e.well > 0:\n", "	case false:\n", "", ""},
	{"verdicts: outdated reports count", judgeFile, "		case c.now-h.outcomeAt > c.rules.Fresh, h.Born < born:", "		case h.Born < born:", "", ""},
	{"verdicts: reports on an earlier process count", judgeFile, "		case c.now-h.outcomeAt > c.rules.Fresh, h.Born < born:", "		case c.now-h.outcomeAt > c.rules.Fresh, h.Born < born-1e18:", "", ""},
	{"verdicts: any number of holders may be excluded", judgeFile, "if d.Kind.bad() && !c.mayExclude(s, badByObserver) {", "if d.Kind.bad() && !c.mayExclude(s, badByObserver) && false {", "", ""},
	{"verdicts: stores of one set judged independently", judgeFile, "sets[s.Set] {\n			c.dirty[store] = true", "sets[s.Set] && false {\n			c.dirty[store] = true", "", ""},
	{"verdicts: older report replaces a newer one", verdictsFile, "		if !w.newerThan(h.Report) {", "		if w == h.Report {", "", ""},
	{"verdicts: observer that reports most stores as bad counts", judgeFile, "case float64(badByObserver[by]) > max(1, maxBadShare*float64(len(c.stores))):", "case false:", "", ""},
	{"verdicts: one failure for each observer is enough", judgeFile, " || e.badInRow < badInRowNeeded:", ":", "", ""},
	{"verdicts: older order replaces a newer one", ordersFile, "if x != nil && !o.newerThan(x.Order) || x == nil", "if x == nil", "", ""},
	{"verdicts: orders never end", ordersFile, "	if x == nil || now >= x.until {", "	if x == nil || x.Left == 0 {", "", ""},
	{"verdicts: no reminders of orders", ordersFile, "	if due {\n		c.sendReminders()\n	}", "	_ = due", "", ""},
	{"verdict process: a drain does not reach the module", coreFile, "if c.drained[n.Host] && n.Readiness == logic.Ready {", "if false {", "", ""},
	{"verdict process: unreachable members count as informed", judgeFile, "			for _, name := range c.rules.Roster { //", "			for _, name := range []string{} { //", "", ""},
	{"process: lower fencing token accepted", fenceFile, "if number < seen {", "if false {", "", ""},
	{"process: command not killed", guardFile, "	unix.Kill(-pid, unix.SIGKILL)\n	KillBelow(os.Getpid(), pid)", "	_ = pid", "", ""},
	{"process: only its process group killed", guardFile, "	KillBelow(os.Getpid(), pid)\n}", "}", "			killed, codes = true, nil\n			killCommand(pid)\n", "			killed, codes = true, nil\n"},
	{"process: no backstop", guardFile, "	go g.backstop()\n", "", "", ""},
	{"process: deadline ignored after the broker ended", guardFile, "instructions = nil // whoever", "instructions, until = nil, until+int64(time.Hour) // whoever", "", ""},
	{"lasting: doubt of an earlier process ignored", durableFile, "	case earlierReason != \"\":\n", "	case false:\n", "", ""},
	{"lasting: doubt about missing records not stored", durableFile, "Begun: time.Now().UnixNano(), Place: currentPlace, Doubt: d.incompleteReason})\n}\n\n// Trust", "Begun: time.Now().UnixNano(), Place: currentPlace})\n}\n\n// Trust", "", ""},
	{"lasting: record taken from the queue and dropped", queueFile, "next.Trust || len(records) == maxQueue {", "next.Trust {", "			case next = <-q.in:\n			default:", "			case next = <-q.in:\n				if len(records) >= maxQueue {\n					more = false\n				}\n			default:"},
	{"process: copied votes trusted", durableFile, "case fresh || currentPlace != recordedPlace:", "case fresh || currentPlace != recordedPlace && false:", "case changed && touched-last > int64(maxChangeDelay):", "case changed && touched-last > int64(maxChangeDelay) && false:"},
}, controlFaults)

// Proofs are the tests that must detect Faults.
var Proofs = slices.Concat([]Proof{
	{Name: "processes", Package: "./cmd/gullstair", Args: []string{"-test.run=TestLeaseFaults|TestLeasesWithoutDisks|TestMachineStandsStill", "-test.timeout=300s"}, FaultPrefix: "process: "},
	{Name: "explorer", Package: "./internal/explore", Args: []string{"-test.run=TestExplore$", "-test.timeout=300s"}},
	{Name: "lease histories", Package: "./internal/simulation", Args: []string{"-test.run=TestLeaseHistories|TestNumbers", "-rapid.nofailfile", "-rapid.checks=1000", "-test.timeout=300s"}},
	{Name: "limit histories", Package: "./internal/simulation", Args: []string{"-test.run=TestLimitHistories|TestLimitRosters", "-rapid.nofailfile", "-rapid.checks=1500", "-test.timeout=300s"}, FaultPrefix: "limits: "},
	{Name: "limit tests", Package: "./internal/limitshare", Args: []string{"-test.timeout=120s"}, FaultPrefix: "limits: "},
	{Name: "durable tests", Package: "./internal/durable", Args: []string{"-test.timeout=60s"}, FaultPrefix: "lasting: "},
	{Name: "verdict histories", Package: "./internal/simulation", Args: []string{"-test.run=TestVerdictHistories", "-rapid.nofailfile", "-rapid.checks=600", "-test.timeout=300s"}, FaultPrefix: "verdicts: "},
	{Name: "verdict scenarios", Package: "./internal/simulation", Args: []string{"-test.run=TestOneStoreFails|TestWhoseWordCounts|TestContraryOrders|TestReborn|TestNowAndThen", "-test.timeout=120s"}, FaultPrefix: "verdicts: "},
	{Name: "verdict unit tests", Package: "./internal/verdicts", Args: []string{"-test.timeout=60s"}, FaultPrefix: "verdicts: "},
	{Name: "verdicts between processes", Package: "./cmd/gullstair", Args: []string{"-test.run=TestVerdictFaults", "-test.timeout=200s"}, FaultPrefix: "verdict process: "},
	{Name: "member histories", Package: "./internal/simulation", Args: []string{"-test.run=TestHistories|TestPausedHolder|TestRestarts|TestLeavesInMidWork", "-rapid.nofailfile", "-rapid.checks=100", "-test.timeout=300s"}},
}, controlProofs)
