package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"gullstair/internal/founding"
	"gullstair/internal/lifecycle"
	"gullstair/internal/peerlink"
	"gullstair/internal/register"
)

// A machine that was ended before its disk was marked takes part in the founding once the other machines' reports show
// that it cannot have lost a disk that matters (package founding).

// joinFounding makes this machine take part in the founding as soon as it may, unless the register is found to exist.
func (n *Node) joinFounding(ctx context.Context) {
	seeds := n.settings.SeedIPs()
	if !slices.Contains(seeds, n.self.IP) {
		return
	}
	survey := founding.New(founding.Fleet{Self: n.self.IP, Seeds: seeds, Losses: n.tolerance().MaxLosses(), CatchUp: n.settings.Bounds.CatchUp})
	for begun := time.Now(); ctx.Err() == nil && !n.registerKnown() && n.replica.unmarked(); begun = time.Now() {
		ballot := n.surveyBallot()
		reports := n.survey(ctx, ballot)
		if state, joins := survey.Add(ballot, reports); joins && n.replica.join(seeds, state) == nil {
			n.observeBallot(ballot)
			n.logger.Info().Int("reports", len(reports)).Bool("decided", state.Accepted != register.Ballot{}).
				Msg("this machine's disk is empty and no register exists; it takes part in founding it")
			n.foundRegister(ctx, seeds)
			return
		}
		time.Sleep(foundingRetry)
		survey.Observed(min(time.Since(begun), foundingRetry+callTimeout)) // a process that was frozen has not been asking
	}
}

// surveyBallot returns a ballot above each that this machine can have promised before it lost its disk.
func (n *Node) surveyBallot() register.Ballot {
	n.mu.Lock()
	defer n.mu.Unlock()
	return register.Ballot{Counter: n.highestBallot.Counter + founding.Leap, Proposer: n.proposerID}
}

// survey asks the seeds and the other machines with a disk for their reports, and returns those that arrive in time.
func (n *Node) survey(ctx context.Context, ballot register.Ballot) map[string]founding.Report {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	reports := map[string]founding.Report{}
	var wait sync.WaitGroup
	for _, ip := range n.surveyed() {
		wait.Go(lifecycle.Guard(func() {
			reply, err := n.client.Call(ctx, n.settings.PeerAddress(ip), peerlink.Message{Survey: &peerlink.Survey{Ballot: ballot}})
			if err != nil || reply.Surveyed == nil {
				return
			}
			n.observeBallot(reply.Surveyed.Promise.Promised)
			mu.Lock()
			defer mu.Unlock()
			reports[ip] = *reply.Surveyed
		}))
	}
	wait.Wait()
	return reports
}

// surveyed returns the IPs of the seeds and of the other machines with a disk.
func (n *Node) surveyed() []string {
	ips := append(n.settings.SeedIPs(), n.coreAddresses()...)
	slices.Sort(ips)
	return slices.DeleteFunc(slices.Compact(ips), func(ip string) bool { return ip == n.self.IP })
}

// answerSurvey reports what this machine knows of the founding. A machine without a disk reports only a register that it
// knows: what it promised is lost with each of its processes.
func (n *Node) answerSurvey(m *peerlink.Survey) *peerlink.Message {
	if n.registerKnown() {
		return &peerlink.Message{Surveyed: &founding.Report{Founded: true}}
	}
	if n.replica == nil {
		return &peerlink.Message{}
	}
	report := founding.Report{}
	answered := n.replica.use(func(a *register.Acceptor) {
		report.Founded = a.State.Accepted != (register.Ballot{})
		report.Seeds = n.settings.SeedIPs()
		if n.replica.founding != nil {
			report.Seeds, report.Marked = n.replica.founding.Seeds, n.replica.marked
		}
	})
	if !answered {
		return &peerlink.Message{}
	}
	if report.Marked {
		report.Promise = n.founding.prepare(register.Prepare{To: n.founding.acceptor.Self, Ballot: m.Ballot})
	}
	return &peerlink.Message{Surveyed: &report}
}

// unmarked reports whether the replica holds no value and takes no part in the founding.
func (r *replica) unmarked() (unmarked bool) {
	r.use(func(a *register.Acceptor) { unmarked = !r.marked && a.State.Accepted == (register.Ballot{}) })
	return unmarked
}

// join marks the disk of a replica that takes part in the founding from a state on.
func (r *replica) join(seeds []string, state register.State) error {
	err := errBusy
	r.use(func(a *register.Acceptor) {
		if r.marked || a.State.Accepted != (register.Ballot{}) {
			err = errTakesPart
			return
		}
		r.founding = &foundingState{Seeds: seeds}
		if err = r.persistFounding(state); err != nil {
			r.founding = nil
			return
		}
		r.marked = true
	})
	return err
}
