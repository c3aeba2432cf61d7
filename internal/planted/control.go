package planted

const (
	votersFile        = "internal/voters/voters.go"
	confirmFile       = "internal/cluster/confirm.go"
	snapshotFile      = "internal/router/snapshot.go"
	registryFile      = "internal/instances/instances.go"
	routerControlFile = "internal/router/control.go"
	roundsFile        = "internal/cluster/rounds.go"
	settlingFile      = "internal/cluster/settling.go"
	foundingFile      = "internal/cluster/founding.go"
	stateFile         = "internal/controlstate/controlstate.go"
	answerFile        = "internal/gateway/answer.go"
	poolFile          = "internal/upstream/pool.go"
	slotsFile         = "internal/slots/slots.go"
	registerRoundFile = "internal/register/round.go"
	quorumReadFile    = "internal/register/quorumread.go"
	detectorFile      = "internal/voters/failuredetector.go"
	membersFile       = "internal/register/members.go"
	weightsFile       = "internal/weights/weights.go"
	rolesFile         = "internal/router/roles.go"
	keepaliveFile     = "internal/keepalive/keepalive.go"
	callFile          = "internal/gateway/call.go"
	relayFile         = "internal/cluster/relay.go"
	announceFile      = "internal/cluster/announce.go"
	sectionsFile      = "internal/sections/sections.go"
	configurationFile = "internal/configuration/configuration.go"
)

// controlFaults each disable one rule of docs/control.md.
var controlFaults = []Fault{
	{"control: an even number of voters", votersFile, "	needed := min(t.MinVoters(), staying+len(candidates))\n", "	needed := min(t.MinVoters()+1, staying+len(candidates))\n	if needed%2 == 0 {\n		return needed\n	}\n", "", ""},
	{"control: only the minimum number of voters", votersFile, "fillBySpread(nil, found, largestOdd(len(found)))", "fillBySpread(nil, found, largestOdd(min(3, len(found))))", "largestOdd(staying+settled)", "largestOdd(needed+0*settled)"},
	{"control: seat added for a member that has not settled", votersFile, "return m.Settled })", "return m.Settled || true })", "", ""},
	{"control: seat taken from a silent member", votersFile, "return m.Departed })", "return m.Health == Silent })", "", ""},
	{"control: leaving without handing over the seat", votersFile, "return h >= Leaving", "return h > Leaving", "", ""},
	{"control: move to a set without a healthy majority", votersFile, "if sameReplicas(set, present) || !hasHealthyMajority(set) {", "if sameReplicas(set, present) {", "", ""},
	{"control: received drain acknowledged without confirmation", registryFile, "e.confirmed >= e.State", "e.confirmed >= 0", "", ""},
	{"control: drain or end acknowledged without a quorum", routerControlFile, "return t.Quorum && (t.All()", "return (t.All()", "", ""},
	{"control: end acknowledged from the voters' memory", routerControlFile, "b.node.PublishAndStore(", "b.node.PublishAndConfirm(", "", ""},
	{"control: voter counted whose disk rejects an end", confirmFile, "quorum: reply.Stored ||", "quorum: true ||", "", ""},
	{"control: own disk that rejects an end counted", confirmFile, "|| n.storeOnDisk(ctx, m.Records.Records)\n	return confirmation", "|| n.storeOnDisk(ctx, m.Records.Records) || true\n	return confirmation", "", ""},
	{"control: rejected snapshot not written again", snapshotFile, "			b.setUnsaved(true)\n", "", "", ""},
	{"control: read without a quorum", roundsFile, "of the replicas answered a read\")\n		return register.Value{}, ErrNoQuorum", "of the replicas answered a read\")\n		return known.Value, nil", "", ""},
	{"control: read of a value accepted by a minority", quorumReadFile, " && majorityOfEach(l.newest.Value.Quorums(), accepted)", " && (true || accepted(Replica{}))", "", ""},
	{"control: read confirmed by the new set only", quorumReadFile, "majorityOfEach(l.newest.Value.Quorums(), accepted)", "majorityOfEach(l.newest.Value.Members.Sets, accepted)", "", ""},
	{"control: complete value sent to all brokers", roundsFile, "	n.announce(ctx, known, holders)", "	_ = holders\n	n.PublishAndConfirm(ctx, recordOf(known), Delivery.All)", "", ""},
	{"control: patch applied to another base", sectionsFile, "if base.sum != p.Base {", "if false {", "if next.sum != p.Result {", "if false {"},
	{"control: connection closed although a request has arrived", keepaliveFile, " || !netio.Quiet(c.Conn) {", " || !netio.Quiet(c.Conn) && false {", "", ""},
	{"control: request that arrives during the close passed to the server", keepaliveFile, "	if c.ended {\n		return false", "	if c.ended && false {\n		return false", "", ""},
	{"control: digest of an order forgotten", stateFile, "if slices.Contains(s.Taken, digest) {", "if slices.Contains(s.Taken[:0], digest) {", "", ""},
	{"control: another attempt continues a response that is not resumable", answerFile, "return a.begun && !(a.stream && a.resumable && a.lastHasID)", "return false", "", ""},
	{"control: a retry on the same connection", poolFile, `if id == "" || !slices`, "if true || !slices", "", ""},
	{"control: directory of a new log not synced", slotsFile, "	if err := s.disk.Sync(); err != nil {\n		return errors.Wrap(err, \"sync the directory\")\n	}\n	s.logUnusable", "	s.logUnusable", "", ""},
	{"control: names not synced before the slot", slotsFile, "	defer file.Close()\n	if err := s.disk.Sync(); err != nil {", "	defer file.Close()\n	if err := error(nil); err != nil {", "", ""},
	{"control: a lost log passes for an empty one", slotsFile, "		if incomplete {", "		if true || incomplete {", "", ""},
	{"control: a cut log passes for a whole one", slotsFile, "if !whole || len(body) != logLimit {", "if false && whole {", "", ""},
	{"control: a slot rolled back", slotsFile, "latest > s.generation {", "latest > s.generation+1<<40 {", "", ""},
	{"control: records after a gap ignored", slotsFile, "containsRecord(rest) {", "false && containsRecord(rest) {", "", ""},
	{"control: proposed sets not stored", registerRoundFile, "next.Voted = slices.Clone(r.sets)", "next.Voted = nil", "", ""},
	{"control: move completed without the old set", registerRoundFile, "	next.Voted =", "	if !next.Members.Moving() {\n		r.sets = next.Members.Sets\n	}\n	next.Voted =", "", ""},
	{"control: value confirmed to other quorums under its sequence", registerRoundFile, "		next.Sequence++\n", "", "", ""},
	{"control: former voters needed for a complete value", registerRoundFile, "	r.dropFormerSets(present)\n", "", "", ""},
	{"control: replica judged by its ballot alone", detectorFile, " || v.Sequence > 0 && v.Sequence >= chosen.Sequence", "", "", ""},
	{"control: sets of an undecided value not read", registerRoundFile, "		r.addSets(value.Quorums())\n", "", "", ""},
	{"control: value confirmed by an earlier release not completed", membersFile, "known.Reconfiguring() && present.Sequence == known.Sequence", "false", "", ""},
	{"control: value chosen by the new set only", quorumReadFile, "	round := Round{sets: l.value.Quorums()}\n", "	round := Round{sets: l.value.Members.Sets}\n", "", ""},
	{"control: change of members begun during another one", membersFile, "if present.Reconfiguring() || !from.Equal(present.Members) {", "if !from.Equal(present.Members) {", "", ""},
	{"control: missed value not learned", settlingFile, "if err := n.replica.learn(known); err != nil {", "if err := error(nil); err != nil || known.Ballot.Counter > 1<<62 {", "", ""},
	{"control: founded on another disk", foundingFile, "if !members.Valid() || !members.Has(a.Self) {", "if false {", "", ""},
	{"control: newer version restarts the grace period of older weights", weightsFile, "	for _, n := range Merge(before, named, Grace(l.bound)) {", "	for _, n := range named[len(named)-1:] {", "", ""},
	{"control: ages of versions not stored", rolesFile, "AgeWeights(model, r.broker.weights.Named(time.Now(), model),", "AgeWeights(model, nil,", "", ""},
	{"control: end of the grace period of older weights not recorded", rolesFile, "&& r.broker.weights.Settled(time.Now(), model, state.Named[model])", "", "", ""},
	{"control: weights checked only at the arrival of a request", callFile, "instances.Gone || c.outdated(instance)", "instances.Gone", "", ""},
	{"control: requests queued at older weights not canceled", callFile, "	if startDeadline.IsZero() {", "	if startDeadline.IsZero() || true {", "", ""},
	{"control: displaced instance not published", routerControlFile, `	b.node.Publish(i.Record())
}`, "}", "", ""},
	{"control: earlier renewal brings a displaced instance back", registryFile, "max(firstDisplaced, e.Epoch+1)", "e.Epoch", "", ""},
	{"control: drain confirmed by former voters", routerControlFile, " || !b.node.VotersCurrent(ctx)", "", "", ""},
	{"control: relay waits for a broker that does not answer", relayFile, "if inFlight == 0 && len(group) > 0 {", "if inFlight == 0 && len(group) > 0 && false {", "		case <-hedge:\n			call()\n", "		case <-hedge:\n"},
	{"control: publisher sends a record to all brokers itself", relayFile, "	from, selfKnown := t.index(self)\n", "	from, selfKnown := t.index(self)\n	selfKnown = false\n", "", ""},
	{"control: patch applied to a value of another sequence", announceFile, " || before.Value.Sequence != m.Chosen.From", "", "", ""},
	{"control: section left out of the checksum", sectionsFile, "		hash.Write(d.sums[at][:])", "		_ = at", "", ""},
	{"control: version of a section not increased", stateFile, "s.sectionVersions[section]+1)", "s.sectionVersions[section])", "", ""},
	{"control: tenants without keys not counted", configurationFile, "len(c.tenantsByName) > 0", "len(c.tenantsByKey) > 0", "", ""},
	{"control: unknown key accepted without tenants", callFile, "	if !hasKey {\n", "	if !hasKey || !c.config.HasTenants() {\n", "", ""},
	{"control: founded with other members", foundingFile, "a.State.Value.Sequence > 0 || a.State.Value.Members.Equal(members)", "true", "", ""},
}

// controlProofs are the proofs that must detect controlFaults.
var controlProofs = []Proof{
	{Name: "voter tests", Package: "./internal/voters", Args: []string{"-test.run=TestPlan|TestFirst|TestGreaterHalf|TestUpToDate", "-test.timeout=120s"}, FaultPrefix: "control: "},
	{Name: "loss histories", Package: "./internal/voters", Args: []string{"-test.run=TestHistoriesOfLosses", "-test.short", "-test.timeout=300s"}, FaultPrefix: "control: "},
	{Name: "states of a move", Package: "./internal/register", Args: []string{"-test.run=TestEveryOrderOfAReconfiguration|TestLook|TestReconfigure|TestConfirmation|TestCompletion|TestRoundReads", "-test.short", "-test.timeout=300s"}, FaultPrefix: "control: "},
	{Name: "fleet in virtual time", Package: "./internal/router", Args: []string{"-test.run=CutOff|HeardOf|Unknown|TakenOnce|Replaced|Whole|Leaving|Hundreds|LateConfirmation", "-test.timeout=300s"}, FaultPrefix: "control: "},
	{Name: "old weights", Package: "./internal/router", Args: []string{"-test.run=TestOldWeights", "-test.timeout=120s"}, FaultPrefix: "control: "},
	{Name: "reused addresses", Package: "./internal/router", Args: []string{"-test.run=TestAddressesUsedAgain", "-test.timeout=120s"}, FaultPrefix: "control: "},
	{Name: "instances", Package: "./internal/instances", Args: []string{"-test.timeout=60s"}, FaultPrefix: "control: "},
	{Name: "drains", Package: "./internal/router", Args: []string{"-test.run=TestDrain|TestAcknowledgedEnd|TestEndWithout|TestSnapshot", "-test.timeout=120s"}, FaultPrefix: "control: "},
	{Name: "sections", Package: "./internal/sections", Args: []string{"-test.timeout=60s"}, FaultPrefix: "control: "},
	{Name: "control state", Package: "./internal/controlstate", Args: []string{"-test.timeout=60s"}, FaultPrefix: "control: "},
	{Name: "cluster tests", Package: "./internal/cluster", Args: []string{"-test.timeout=60s"}, FaultPrefix: "control: "},
	{Name: "slots", Package: "./internal/slots", Args: []string{"-test.timeout=120s"}, FaultPrefix: "control: "},
	{Name: "call table", Package: "./internal/gateway", Args: []string{"-test.run=TestCallTable|TestAuthorized", "-test.timeout=120s"}, FaultPrefix: "control: "},
	{Name: "quorum reads", Package: "./internal/register", Args: []string{"-test.run=TestLook", "-test.timeout=60s"}, FaultPrefix: "control: "},
	{Name: "patches", Package: "./internal/delta", Args: []string{"-test.timeout=60s"}, FaultPrefix: "control: "},
	{Name: "idle connections", Package: "./internal/keepalive", Args: []string{"-test.timeout=60s"}, FaultPrefix: "control: "},
	{Name: "slow links", Package: "./internal/router", Args: []string{"-test.run=TestControlOnThinLinks", "-test.timeout=120s"}, FaultPrefix: "control: "},
	{Name: "connection pool", Package: "./internal/upstream", Args: []string{"-test.timeout=120s"}, FaultPrefix: "control: "},
}
