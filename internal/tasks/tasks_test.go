package tasks

import (
	"testing"
	"time"

	"github.com/robfig/cron/v3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/lease"
)

// testMember is one member's scheduler with a lease that grants everything at once. The note survives a restart
// of the member.
type testMember struct {
	t          *testing.T
	c          *Scheduler
	now        float64
	clockError float64 // error of the wall clock
	note       []byte
	writtenAt  float64 // time of the note's write
	held       bool
	fence      uint64
	out        []Output
}

const (
	leaseName = "task/t/0"
	noon      = 1796126400000.0 // 2026-12-01 12:00 UTC
)

func newTestMember(t *testing.T, task Task) *testMember {
	task.Name, task.Term = "t", 1000
	s := &testMember{t: t, c: New("a", []Task{task}), now: noon}
	s.step(Membership{Majority: true, Rank: func(string) []string { return []string{"a", "b"} }})
	return s
}

func (s *testMember) step(in ...Input) {
	for _, o := range s.c.Step(s.now, s.now+s.clockError, in) {
		s.out = append(s.out, o)
		switch v := o.(type) {
		case lease.Want:
			if v.On && !s.held {
				s.hold(lease.Never)
			}
		case lease.Write:
			s.note, s.writtenAt = v.Data, s.now
			s.step(lease.Noted{Lease: leaseName, Fence: s.fence, Until: s.now + 1000})
		case lease.Drop:
			s.held = false
		}
	}
}

func (s *testMember) hold(blank float64) {
	s.held = true
	s.fence++
	s.step(lease.Held{Lease: leaseName, Fence: s.fence, Until: s.now + 1000, Note: s.note, NoteAt: s.writtenAt, Blank: blank})
}

// restart replaces the scheduler as another process or member would: only the note is kept.
func (s *testMember) restart(after, blank float64) {
	task := *s.c.slots[0].Task
	s.c, s.now, s.held = New("a", []Task{task}), s.now+after, true
	s.step(Membership{Majority: true, Rank: func(string) []string { return []string{"a"} }})
	s.hold(blank)
}

// run advances the time and returns when occurrences begin; each of them ends at once.
func (s *testMember) run(forMs float64) (begun []float64) {
	for end := s.now + forMs; s.now < end; s.now += 100 {
		s.step()
		out := s.out
		s.out = nil
		for _, o := range out {
			if b, is := o.(Begin); is {
				begun = append(begun, s.now-noon)
				s.step(Ended{Lease: leaseName, Fence: b.Fence, Code: 3})
			}
		}
	}
	return begun
}

func parseSchedule(t *testing.T, expr string) Schedule {
	x, err := cron.ParseStandard("CRON_TZ=UTC " + expr)
	require.NoError(t, err)
	return x
}

const minute = 60000.0

func TestOccurrences(t *testing.T) {
	for what, c := range map[string]struct {
		task Task
		do   func(s *testMember) []float64
		want []float64
	}{
		"by interval":       {Task{Every: minute}, func(s *testMember) []float64 { return s.run(2.5 * minute) }, []float64{minute, 2 * minute}},
		"by the wall clock": {Task{At: parseSchedule(t, "*/2 * * * *")}, func(s *testMember) []float64 { return s.run(4.5 * minute) }, []float64{2 * minute, 4 * minute}},
		"a new holder continues": {Task{Every: minute}, func(s *testMember) []float64 {
			begun := s.run(1.5 * minute)
			s.restart(1000, lease.Never)
			return append(begun, s.run(minute)...)
		}, []float64{minute, 2 * minute}},
		"a takeover's delay is not a miss": {Task{At: parseSchedule(t, "1 12 * * *")}, func(s *testMember) []float64 {
			s.restart(minute+2000, lease.Never)
			return s.run(minute)
		}, []float64{minute + 2000}},
		"missed and skipped": {Task{At: parseSchedule(t, "*/2 * * * *")}, func(s *testMember) []float64 {
			s.restart(7*minute, lease.Never)
			return s.run(2 * minute)
		}, []float64{8 * minute}},
		"missed and made up for once": {Task{At: parseSchedule(t, "*/2 * * * *"), CatchUp: true}, func(s *testMember) []float64 {
			s.restart(7*minute, lease.Never)
			return s.run(2 * minute)
		}, []float64{7 * minute, 8 * minute}},
		"by interval, missed, in phase": {Task{Every: minute}, func(s *testMember) []float64 {
			s.run(1.5 * minute)
			s.restart(5*minute, lease.Never)
			return s.run(2 * minute)
		}, []float64{7 * minute, 8 * minute}},
		"a forgotten occurrence counts as begun": {Task{Every: minute}, func(s *testMember) []float64 {
			s.note = nil
			s.restart(0.5*minute, noon+0.5*minute)
			return s.run(minute + 1000)
		}, []float64{1.5 * minute}},
		"a clock that is set back begins nothing again": {Task{At: parseSchedule(t, "1 12 * * *")}, func(s *testMember) []float64 {
			begun := s.run(1.5 * minute)
			s.clockError = -minute
			return append(begun, s.run(2*minute)...)
		}, []float64{minute}},
		"paused across a new holder, and resumed": {Task{Every: minute}, func(s *testMember) []float64 {
			s.step(Order{ID: 1, Lease: leaseName, Do: Pause})
			s.run(3 * minute)
			s.restart(0, lease.Never)
			begun := s.run(3 * minute)
			s.step(Order{ID: 2, Lease: leaseName, Do: Resume})
			return append(begun, s.run(1.5*minute)...)
		}, []float64{7 * minute}},
		"triggered, the same order twice": {Task{At: parseSchedule(t, "5 12 * * *")}, func(s *testMember) []float64 {
			s.step(Order{ID: 1, Lease: leaseName, Do: Trigger})
			n := 0
			for _, o := range s.out {
				if b, is := o.(Begin); is {
					n++
					s.step(Ended{Lease: leaseName, Fence: b.Fence})
				}
			}
			s.step(Order{ID: 1, Lease: leaseName, Do: Trigger})
			assert.Equal(t, 1, n)
			s.out = nil
			return s.run(6 * minute)
		}, []float64{5 * minute}},
	} {
		s := newTestMember(t, c.task)
		assert.Equal(t, c.want, c.do(s), what)
	}
}

// An occurrence with an unknown outcome counts as begun: its holder died between note and begin, or during the
// run.
func TestUnknownOutcome(t *testing.T) {
	s := newTestMember(t, Task{Every: minute})
	s.now += minute
	for _, o := range s.c.Step(s.now, s.now, nil) {
		if w, is := o.(lease.Write); is {
			s.note, s.writtenAt = w.Data, s.now // stored in the note, and never begun
		}
	}
	s.restart(5000, lease.Never)
	assert.Equal(t, []float64{2 * minute}, s.run(minute))
	log, err := ReadLog(s.note)
	require.NoError(t, err)
	assert.Equal(t, [3]any{"a", true, 3}, [3]any{log.By, log.Ended, log.Code})
}

// A lease is handed over only once its occurrence has ended and its end is stored; nothing begins after the lease
// was lost.
func TestHandOver(t *testing.T) {
	s := newTestMember(t, Task{Every: minute, Prefer: []string{"b", "a"}})
	assert.False(t, s.held, "b is preferred")
	s = newTestMember(t, Task{Every: minute})
	s.now += minute
	s.step()
	s.out = nil
	s.step(Membership{Majority: true, Rank: func(string) []string { return []string{"b", "a"} }})
	assert.True(t, s.held, "an occurrence runs")
	s.step(Order{ID: 4, Lease: leaseName, Do: Release})
	assert.Contains(t, s.out, Cancel{leaseName, s.fence, "handed over by an operator"})
	assert.True(t, s.held)
	s.step(Ended{Lease: leaseName, Fence: s.fence, Code: 143, Why: "cancelled"})
	assert.False(t, s.held)
	log, _ := ReadLog(s.note)
	assert.Equal(t, [2]any{143, "cancelled"}, [2]any{log.Code, log.Why})
	s.out = nil
	s.step(lease.Noted{Lease: leaseName, Fence: s.fence, Until: s.now + 1e6}, Order{ID: 5, Lease: leaseName, Do: Trigger})
	assert.Equal(t, []Output{Answer{5, false, "this broker does not hold that lease"}}, s.out)
	s = newTestMember(t, Task{Every: minute})
	s.now += minute
	s.step()
	s.out = nil
	s.step(lease.Lost{Lease: leaseName, Fence: s.fence})
	assert.Equal(t, []Output{Cancel{leaseName, s.fence, "its lease was lost"}}, s.out)
}

// For manual leases, free slots are requested first and no slot twice at one member; the lease of a hold that is
// not closed cleanly is left to expire.
func TestHolds(t *testing.T) {
	taken := map[string]float64{"hold/m/0": 5000}
	h := NewHolds("a", func(l string) (string, float64) {
		if taken[l] > 0 {
			return "z", taken[l]
		}
		return "", 0
	})
	out := h.Step(1, 1, []Input{Hold{ID: 1, Name: "m", Holders: 3, Term: 1000}, Hold{ID: 2, Name: "m", Holders: 3, Term: 1000}})
	assert.Equal(t, []Output{lease.Want{Lease: "hold/m/1", Term: 1000, On: true}, lease.Want{Lease: "hold/m/2", Term: 1000, On: true}}, out)
	out = h.Step(2, 2, []Input{lease.Held{Lease: "hold/m/2", Fence: 7, Until: 900}})
	assert.Equal(t, Granted{ID: 2, Lease: "hold/m/2", Slot: 2, Fence: 7, Until: 900}, out[1])
	taken = map[string]float64{"hold/m/1": 9000}
	assert.Equal(t, []Output{lease.Want{Lease: "hold/m/1"}, lease.Want{Lease: "hold/m/0", Term: 1000, On: true}}, h.Step(600, 600, nil), "slot 0 is free now")
	assert.Equal(t, []Output{Extended{2, 1900}}, h.Step(700, 700, []Input{lease.Renewed{Lease: "hold/m/2", Fence: 7, Until: 1900}}))
	assert.Equal(t, []Output{Revoked{2, "released by an operator"}, Answer{9, true, ""}}, h.Step(701, 701, []Input{Order{9, "hold/m/2", Release}}))
	assert.Equal(t, []Output{lease.Want{Lease: "hold/m/2"}, lease.Drop{Lease: "hold/m/2", Fence: 7, LetExpire: true}}, h.Step(702, 702, []Input{Close{ID: 2}}))
	h.Step(703, 703, []Input{lease.Held{Lease: "hold/m/0", Fence: 8, Until: 1700}})
	assert.Equal(t, []Output{lease.Want{Lease: "hold/m/0"}, Revoked{1, "its lease was lost"}}, h.Step(704, 704, []Input{lease.Lost{Lease: "hold/m/0", Fence: 8}}))
	assert.Zero(t, h.Open())
	for i := range maxHolds + 1 {
		out = h.Step(800, 800, []Input{Hold{ID: uint64(i), Name: time.Duration(i).String(), Term: 1000}})
	}
	assert.Equal(t, Revoked{maxHolds, "too many manual leases at this broker"}, out[0])
}
