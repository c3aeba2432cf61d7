// Package founding decides when a machine with an empty disk may take part in founding the register although nothing
// shows that it did before. Two machines have such a disk: one that was ended before its disk was marked at the very
// first start, and one that has lost its disk. The second must not vote as if it had promised nothing.
//
// What tells them apart are the reports of the other machines. The losses that the fleet tolerates are counted in
// machines, and a machine counts as lost until its catch-up time has passed. So if this machine has lost its disk, at
// most losses-1 others are lost, and the rest answer within that time:
//
//   - If the register exists, a majority of at least 2·losses+1 replicas stored its value, and one of them reports it.
//   - If only its first members are decided, or about to be, a majority of the seeds has promised a ballot for it. Those
//     that still have their disks promise a ballot above each that this machine can have promised, and report what they
//     accepted. This machine goes on from that.
//
// The package does no I/O, reads no clock and starts no goroutine.
package founding

import (
	"slices"
	"time"

	"gullstair/internal/register"
)

// Leap is how far the ballot of a survey lies above the highest one that is known: above each ballot that a machine can
// have promised before it lost its disk, since each attempt raises the counter by one.
const Leap = 1 << 32

// Report is the answer of another machine to a survey.
type Report struct {
	Founded bool             // it knows of a register
	Seeds   []string         // IPs of the seeds that would decide the first members; nil: it knows none
	Marked  bool             // its disk says that it takes part in the founding
	Promise register.Promise // if Marked: that of its acceptor, for the ballot of the survey
}

// Fleet is what the settings say.
type Fleet struct {
	Self    string   // IP of this machine
	Seeds   []string // IPs of the seeds
	Losses  int      // number of disks that may be lost at one time
	CatchUp time.Duration
}

// Survey collects the reports of the other machines.
type Survey struct {
	fleet    Fleet
	founded  bool           // somebody knew of a register
	observed time.Duration  // how long this machine has been asking
	accepted register.Known // highest value that an acceptor of the founding reported
}

// New returns a survey without reports.
func New(fleet Fleet) *Survey { return &Survey{fleet: fleet} }

// Observed records that this machine has been asking for some time.
func (s *Survey) Observed(during time.Duration) { s.observed += during }

// Add records the reports of one attempt, by IP, and returns the state from which this machine may take part in the
// founding. ballot is the one that the others were asked to promise. joins is false if the machine may not, or not yet.
func (s *Survey) Add(ballot register.Ballot, reports map[string]Report) (state register.State, joins bool) {
	for _, report := range reports {
		s.founded = s.founded || report.Founded
		if value := report.Promise.Value; value != nil && s.accepted.Ballot.Less(report.Promise.Accepted) {
			s.accepted = register.Known{Ballot: report.Promise.Accepted, Value: *value}
		}
	}
	if s.founded || !s.agree(reports) || !s.enough(reports) {
		return register.State{}, false
	}
	return register.State{Promised: ballot, Accepted: s.accepted.Ballot, Value: s.accepted.Value}, true
}

// agree reports whether all acceptors have promised, and no machine would found a register with other seeds.
func (s *Survey) agree(reports map[string]Report) bool {
	for _, report := range reports {
		if report.Marked && (report.Promise.Refused || report.Promise.Foreign) {
			return false
		}
		if report.Seeds != nil && !slices.Equal(report.Seeds, s.fleet.Seeds) {
			return false
		}
	}
	return true
}

// enough reports whether one of the machines that answered would know if this machine had lost its disk.
func (s *Survey) enough(reports map[string]Report) bool {
	seeds := len(s.fleet.Seeds)
	majority := seeds/2 + 1
	if !slices.Contains(s.fleet.Seeds, s.fleet.Self) || seeds < 2 {
		return false
	}
	answered := 0
	for ip, report := range reports {
		if slices.Contains(s.fleet.Seeds, ip) && report.Seeds != nil {
			answered++
		}
	}
	if answered == seeds-1 && s.fleet.Losses < majority {
		return true
	}
	return s.observed >= s.fleet.CatchUp && answered+1 >= majority && len(reports)+1 > s.fleet.Losses
}
