package simulation

import (
	"math"
	"slices"
	"strconv"

	"gullstair/internal/duties"
	"gullstair/internal/membership"
	"gullstair/internal/virtual"
)

// DetectionResult holds the measurements of Detect at one fleet size and packet loss.
type DetectionResult struct {
	Members           int
	Loss              float64
	First, Last       float64 // median ms from a kill until the first and the last of the others considers the member dead
	LastMost          float64
	FalseSuspicions   float64 // per member and hour, of running members
	FalseDeaths       float64
	Messages, Bytes   float64 // sent per member and second without faults
	TurnsPerSecond    float64
	Kills, Undetected int
}

// Detect kills members one by one in a network that loses a share of its packets, and measures how fast the others detect it.
func Detect(seed uint64, members int, loss float64, kills int) DetectionResult {
	w := New(seed, Rules{Members: members, Timing: membership.Standard(), Period: 10000,
		Network: virtual.Conditions{Delay: 0.5, Jitter: 1}})
	w.Rules.Sizes = true
	w.StartAll()
	w.Net.Run(30000)
	w.Net.Conditions.Loss = loss
	w.Net.Run(10000)
	m := DetectionResult{Members: members, Loss: loss, Kills: kills}
	// Traffic and false suspicions without failures.
	w.Changes = nil
	sent, bytes, turns := w.total()
	duration := 300000.0
	if members > 100 {
		duration = 60000
	}
	w.Net.Run(duration)
	s, b, t := w.total()
	m.Messages = float64(s-sent) / float64(members) / duration * 1000
	m.Bytes = float64(b-bytes) / float64(members) / duration * 1000
	m.TurnsPerSecond = float64(t-turns) / float64(members) / duration * 1000
	suspected, dead := map[[2]string]bool{}, map[[2]string]bool{}
	for _, c := range w.Changes {
		switch c.Member.State {
		case membership.Suspect: // one suspicion spreads to all members and counts once
			suspected[[2]string{c.Member.Name, strconv.FormatUint(c.Member.Incarnation, 10)}] = true
		case membership.Dead:
			dead[[2]string{c.Member.Name, strconv.FormatUint(c.Member.Incarnation, 10)}] = true
		}
	}
	hours := float64(members) * duration / 3600000
	m.FalseSuspicions, m.FalseDeaths = float64(len(suspected))/hours, float64(len(dead))/hours
	var firsts, lasts []float64
	for k := range kills {
		i := 1 + (k*7)%(members-1)
		w.Changes = nil
		from := w.Net.Now()
		w.Kill(i)
		w.Net.Run(60000)
		first, last, seen := math.Inf(1), 0.0, map[string]bool{}
		for _, c := range w.Changes {
			if c.Member.Name == Name(i) && c.Member.State == membership.Dead && !seen[c.By] {
				seen[c.By] = true
				first, last = min(first, c.At-from), max(last, c.At-from)
			}
		}
		if len(seen) < members-1 {
			m.Undetected++
		}
		if len(seen) > 0 {
			firsts, lasts = append(firsts, first), append(lasts, last)
		}
		w.Start(i)
		w.Net.Run(30000)
	}
	slices.Sort(firsts)
	slices.Sort(lasts)
	if len(lasts) > 0 {
		m.First, m.Last, m.LastMost = firsts[len(firsts)/2], lasts[len(lasts)/2], lasts[len(lasts)-1]
	}
	return m
}

func (w *World) total() (sent, bytes, turns int) {
	for i := range w.Rules.Members {
		c := w.Net.Counts(Name(i))
		sent, bytes = sent+c.Sent, bytes+c.Bytes
	}
	return sent, bytes, w.Net.Turns
}

// SharingResult holds the measurements of Share.
type SharingResult struct {
	Members, Stores int
	PerPeriod       float64 // probes of a store in a period
	Alone           float64 // probes of a store in a period if every member probed every store
	Moved, Ideal    float64 // share of the stores that change owner after one death, and the ideal 1/n
	Takeover        float64 // longest time in ms that a store went without a probe after a kill, less one period
	Messages, Bytes float64 // per member and second, with probing
}

// Share measures how members share the probing of stores, before and after one of them is killed.
func Share(seed uint64, members, stores int, period float64) SharingResult {
	w := New(seed, Rules{Members: members, Stores: stores, Timing: membership.Standard(), Period: period,
		Network: virtual.Conditions{Delay: 0.5, Jitter: 1}, Sizes: true})
	w.StartAll()
	w.Net.Run(3 * period)
	p := SharingResult{Members: members, Stores: stores, Alone: float64(members), Ideal: 1 / float64(members)}
	from := w.Net.Now()
	sent, bytes, _ := w.total()
	w.Net.Run(5 * period)
	s, b, _ := w.total()
	p.PerPeriod = float64(w.Probes(from)) / float64(stores) / 5
	p.Messages = float64(s-sent) / float64(members) / (5 * period) * 1000
	p.Bytes = float64(b-bytes) / float64(members) / (5 * period) * 1000
	before := owners(w.Core(0).Duties.Statuses()[0])
	from = w.Net.Now()
	w.Kill(members - 1)
	w.Net.Run(4 * period)
	moved := 0
	for item, owner := range owners(w.Core(0).Duties.Statuses()[0]) {
		if before[item] != owner {
			moved++
		}
	}
	p.Moved = float64(moved) / float64(stores)
	_, wait := w.LongestGap(from - period)
	p.Takeover = wait - period
	return p
}

func owners(s duties.DutyStatus) map[string]string {
	m := map[string]string{}
	for _, it := range s.Items {
		m[it.Name] = it.Owner
	}
	return m
}
