package planted

const (
	votersFile    = "internal/voters/voters.go"
	registryFile  = "internal/instances/instances.go"
	operatorFile  = "internal/router/control.go"
	roundsFile    = "internal/cluster/rounds.go"
	settleFile    = "internal/cluster/settling.go"
	foundFile     = "internal/cluster/founding.go"
	stateFile     = "internal/controlstate/controlstate.go"
	answerFile    = "internal/gateway/answer.go"
	poolFile      = "internal/upstream/pool.go"
	slotsFile     = "internal/slots/slots.go"
	attemptFile   = "internal/register/round.go"
	lookFile      = "internal/register/quorumread.go"
	membersFile   = "internal/register/members.go"
	weightsFile   = "internal/weights/weights.go"
	rolesFile     = "internal/router/roles.go"
	keepaliveFile = "internal/keepalive/keepalive.go"
	callFile      = "internal/gateway/call.go"
	relayFile     = "internal/cluster/relay.go"
	announceFile  = "internal/cluster/announce.go"
	sectionsFile  = "internal/sections/sections.go"
)

// controlFaults each disable one rule of docs/control.md.
var controlFaults = []Fault{
	{"control: an extra fourth voter", votersFile, "	needed := min(t.MinVoters(), staying+len(able))\n", "	needed := min(t.MinVoters()+1, staying+len(able))\n	if needed%2 == 0 {\n		return needed\n	}\n", "", ""},
	{"control: no more voters than the losses need", votersFile, "fillBySpread(nil, met, largestOdd(len(met)))", "fillBySpread(nil, met, largestOdd(min(3, len(met))))", "largestOdd(staying+settled)", "largestOdd(needed+0*settled)"},
	{"control: a seat is added for a newcomer", votersFile, "return m.Settled })", "return m.Settled || true })", "", ""},
	{"control: seats are taken from those that are cut off", votersFile, "return m.Departed })", "return m.Health == Silent })", "", ""},
	{"control: leaves without handing over", votersFile, "return h >= Leaving", "return h > Leaving", "", ""},
	{"control: no majority that holds the value", votersFile, "if sameReplicas(set, present) || !hasHealthyMajority(set) {", "if sameReplicas(set, present) {", "", ""},
	{"control: a drain heard of is acknowledged", registryFile, "e.confirmed >= e.State", "e.confirmed >= 0", "", ""},
	{"control: an end acknowledged without a majority", operatorFile, "return t.Quorum && (t.All()", "return (t.All()", "", ""},
	{"control: a read without contact", roundsFile, "of the replicas answered a read\")\n		return register.Value{}, ErrNoQuorum", "of the replicas answered a read\")\n		return known.Value, nil", "", ""},
	{"control: a read of what a minority has accepted", lookFile, " && majorityOfEach(l.newest.Value.Quorums(), accepted)", " && (true || accepted(Replica{}))", "", ""},
	{"control: a read of what is chosen by the set named alone", lookFile, "majorityOfEach(l.newest.Value.Quorums(), accepted)", "majorityOfEach(l.newest.Value.Members.Sets, accepted)", "", ""},
	{"control: a value sent whole to everybody", roundsFile, "	n.announce(ctx, known, holders)", "	_ = holders\n	n.PublishAndConfirm(ctx, recordOf(known), Delivery.All)", "", ""},
	{"control: a patch on another base", sectionsFile, "if base.sum != p.Base {", "if false {", "if next.sum != p.Result {", "if false {"},
	{"control: closed under a request that has arrived", keepaliveFile, " || !netio.Quiet(c.Conn) {", " || !netio.Quiet(c.Conn) && false {", "", ""},
	{"control: a request that meets the close is handed on", keepaliveFile, "	if c.ended {\n		return 0", "	if c.ended && false {\n		return 0", "", ""},
	{"control: a digest forgotten", stateFile, "if slices.Contains(s.Taken, digest) {", "if slices.Contains(s.Taken[:0], digest) {", "", ""},
	{"control: a begun answer gone on with", answerFile, "return a.begun && !(a.stream && a.resumable && a.lastHasID)", "return false", "", ""},
	{"control: a retry on the same connection", poolFile, `if id == "" || !slices`, "if true || !slices", "", ""},
	{"control: the folder of a new log not synced", slotsFile, "	if err := s.disk.Sync(); err != nil {\n		log.Close()", "	if err := error(nil); err != nil {\n		log.Close()", "", ""},
	{"control: a slot rolled back", slotsFile, "newest > s.generation {", "newest > s.generation+1<<40 {", "", ""},
	{"control: records behind a gap forgotten", slotsFile, "containsRecord(rest) {", "false && containsRecord(rest) {", "", ""},
	{"control: the sets proposed to not kept", attemptFile, "next.Voted = slices.Clone(r.sets)", "next.Voted = nil", "", ""},
	{"control: the old set not asked to settle a move", attemptFile, "	next.Voted =", "	if !next.Members.Moving() {\n		r.sets = next.Members.Sets\n	}\n	next.Voted =", "", ""},
	{"control: chosen by the set named alone", lookFile, "	round := Round{sets: l.value.Quorums()}\n", "	round := Round{sets: l.value.Members.Sets}\n", "", ""},
	{"control: a change begun while one is open", membersFile, "if present.Reconfiguring() || !from.Equal(present.Members) {", "if !from.Equal(present.Members) {", "", ""},
	{"control: who missed a value stays behind", settleFile, "if err := n.replica.learn(known); err != nil {", "if err := error(nil); err != nil || known.Ballot.Counter > 1<<62 {", "", ""},
	{"control: founded on another disk", foundFile, "if !members.Has(a.Self) {", "if false {", "", ""},
	{"control: a newer version restarts the time of older weights", weightsFile, "	for _, n := range Merge(before, named, Grace(l.bound)) {", "	for _, n := range named[len(named)-1:] {", "", ""},
	{"control: the ages of versions are not kept", rolesFile, "AgeWeights(model, r.broker.weights.Named(time.Now(), model),", "AgeWeights(model, nil,", "", ""},
	{"control: nobody is told that the time of older weights is over", rolesFile, "&& r.broker.weights.Settled(time.Now(), model, state.Named[model])", "", "", ""},
	{"control: weights are judged at a request's arrival alone", callFile, "instances.Gone || c.outdated(instance)", "instances.Gone", "", ""},
	{"control: requests wait at older weights", callFile, "	if startDeadline.IsZero() {", "	if startDeadline.IsZero() || true {", "", ""},
	{"control: nobody is told that an address is another's", operatorFile, `	b.node.Publish(i.Record())
}`, "}", "", ""},
	{"control: renewals from before bring a displaced instance back", registryFile, "max(firstDisplaced, e.Epoch+1)", "e.Epoch", "", ""},
	{"control: a drain confirmed by the voters of an older set", operatorFile, " || !b.node.VotersCurrent(ctx)", "", "", ""},
	{"control: who does not answer is not passed over", relayFile, "if inFlight == 0 && len(group) > 0 {", "if inFlight == 0 && len(group) > 0 && false {", "		case <-hedge:\n			call()\n", "		case <-hedge:\n"},
	{"control: the giver tells everybody by itself", relayFile, "	from, member := t.place(self)\n", "	from, member := t.place(self)\n	member = false\n", "", ""},
	{"control: a value made from another than it is a patch on", announceFile, " || before.Value.Sequence != m.Chosen.From", "", "", ""},
	{"control: a section is left out of the whole's sum", sectionsFile, "		hash.Write(d.sums[at][:])", "		_ = at", "", ""},
	{"control: a section's version does not rise", stateFile, "s.sectionVersions[section]+1)", "s.sectionVersions[section])", "", ""},
	{"control: founded with other members", foundFile, "a.State.Value.Sequence > 0 || a.State.Value.Members.Equal(members)", "true", "", ""},
}

// controlProofs are the proofs that must detect controlFaults.
var controlProofs = []Proof{
	{Name: "voters' cases", Package: "./internal/voters", Args: []string{"-test.run=TestPlan|TestFirst|TestGreaterHalf", "-test.timeout=120s"}, FaultPrefix: "control: "},
	{Name: "histories of losses", Package: "./internal/voters", Args: []string{"-test.run=TestHistoriesOfLosses", "-test.short", "-test.timeout=300s"}, FaultPrefix: "control: "},
	{Name: "states of a move", Package: "./internal/register", Args: []string{"-test.run=TestEveryOrderOfAMove|TestLook|TestReconfigure", "-test.short", "-test.timeout=300s"}, FaultPrefix: "control: "},
	{Name: "fleet in virtual time", Package: "./internal/router", Args: []string{"-test.run=CutOff|HeardOf|Unknown|TakenOnce|Replaced|Whole|Leaving|Hundreds", "-test.timeout=300s"}, FaultPrefix: "control: "},
	{Name: "old weights", Package: "./internal/router", Args: []string{"-test.run=TestOldWeights", "-test.timeout=120s"}, FaultPrefix: "control: "},
	{Name: "addresses used again", Package: "./internal/router", Args: []string{"-test.run=TestAddressesUsedAgain", "-test.timeout=120s"}, FaultPrefix: "control: "},
	{Name: "instances", Package: "./internal/instances", Args: []string{"-test.timeout=60s"}, FaultPrefix: "control: "},
	{Name: "drains", Package: "./internal/router", Args: []string{"-test.run=TestDrain", "-test.timeout=120s"}, FaultPrefix: "control: "},
	{Name: "sections", Package: "./internal/sections", Args: []string{"-test.timeout=60s"}, FaultPrefix: "control: "},
	{Name: "control state", Package: "./internal/controlstate", Args: []string{"-test.timeout=60s"}, FaultPrefix: "control: "},
	{Name: "founding's cases", Package: "./internal/cluster", Args: []string{"-test.timeout=60s"}, FaultPrefix: "control: "},
	{Name: "slots", Package: "./internal/slots", Args: []string{"-test.timeout=120s"}, FaultPrefix: "control: "},
	{Name: "table of calls", Package: "./internal/gateway", Args: []string{"-test.run=TestCallTable", "-test.timeout=120s"}, FaultPrefix: "control: "},
	{Name: "looks", Package: "./internal/register", Args: []string{"-test.run=TestLook", "-test.timeout=60s"}, FaultPrefix: "control: "},
	{Name: "patches", Package: "./internal/delta", Args: []string{"-test.timeout=60s"}, FaultPrefix: "control: "},
	{Name: "connections that rest", Package: "./internal/keepalive", Args: []string{"-test.timeout=60s"}, FaultPrefix: "control: "},
	{Name: "thin links", Package: "./internal/router", Args: []string{"-test.run=TestControlOnThinLinks", "-test.timeout=120s"}, FaultPrefix: "control: "},
	{Name: "connections", Package: "./internal/upstream", Args: []string{"-test.timeout=120s"}, FaultPrefix: "control: "},
}
