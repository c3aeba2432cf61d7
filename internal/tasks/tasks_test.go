package tasks

import (
	"testing"
	"time"

	"github.com/robfig/cron/v3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/lease"
)

// seat is one member's tasks with a lease that does what it is told at once; the note outlives the seat.
type seat struct {
	t    *testing.T
	c    *Core
	now  float64
	off  float64 // the wall clock's error
	note []byte
	at   float64 // when the note was written
	held bool
	num  uint64
	out  []Output
}

const (
	name = "task/t/0"
	noon = 1796126400000.0 // 2026-12-01 12:00 UTC
)

func newSeat(t *testing.T, task Task) *seat {
	task.Name, task.Term = "t", 1000
	s := &seat{t: t, c: New("a", []Task{task}), now: noon}
	s.step(Crew{Majority: true, Rank: func(string) []string { return []string{"a", "b"} }})
	return s
}

func (s *seat) step(in ...Input) {
	for _, o := range s.c.Step(s.now, s.now+s.off, in) {
		s.out = append(s.out, o)
		switch v := o.(type) {
		case lease.Want:
			if v.On && !s.held {
				s.hold(lease.Never)
			}
		case lease.Write:
			s.note, s.at = v.Data, s.now
			s.step(lease.Noted{Lease: name, Fence: s.num, Until: s.now + 1000})
		case lease.Drop:
			s.held = false
		}
	}
}

func (s *seat) hold(blank float64) {
	s.held = true
	s.num++
	s.step(lease.Held{Lease: name, Fence: s.num, Until: s.now + 1000, Note: s.note, NoteAt: s.at, Blank: blank})
}

// restart is another process, or another member: it knows the note alone.
func (s *seat) restart(after, blank float64) {
	task := *s.c.slots[0].Task
	s.c, s.now, s.held = New("a", []Task{task}), s.now+after, true
	s.step(Crew{Majority: true, Rank: func(string) []string { return []string{"a"} }})
	s.hold(blank)
}

// run lets time pass and counts what begins; each occurrence ends at once.
func (s *seat) run(forMs float64) (begun []float64) {
	for end := s.now + forMs; s.now < end; s.now += 100 {
		s.step()
		out := s.out
		s.out = nil
		for _, o := range out {
			if b, is := o.(Begin); is {
				begun = append(begun, s.now-noon)
				s.step(Ended{Lease: name, Fence: b.Fence, Code: 3})
			}
		}
	}
	return begun
}

func at(t *testing.T, expr string) Schedule {
	x, err := cron.ParseStandard("CRON_TZ=UTC " + expr)
	require.NoError(t, err)
	return x
}

const minute = 60000.0

func TestOccurrences(t *testing.T) {
	for what, c := range map[string]struct {
		task Task
		do   func(s *seat) []float64
		want []float64
	}{
		"every so often":    {Task{Every: minute}, func(s *seat) []float64 { return s.run(2.5 * minute) }, []float64{minute, 2 * minute}},
		"by the wall clock": {Task{At: at(t, "*/2 * * * *")}, func(s *seat) []float64 { return s.run(4.5 * minute) }, []float64{2 * minute, 4 * minute}},
		"a new holder goes on": {Task{Every: minute}, func(s *seat) []float64 {
			begun := s.run(1.5 * minute)
			s.restart(1000, lease.Never)
			return append(begun, s.run(minute)...)
		}, []float64{minute, 2 * minute}},
		"a takeover's delay is not a miss": {Task{At: at(t, "1 12 * * *")}, func(s *seat) []float64 {
			s.restart(minute+2000, lease.Never)
			return s.run(minute)
		}, []float64{minute + 2000}},
		"missed, and left out": {Task{At: at(t, "*/2 * * * *")}, func(s *seat) []float64 {
			s.restart(7*minute, lease.Never)
			return s.run(2 * minute)
		}, []float64{8 * minute}},
		"missed, and made up for once": {Task{At: at(t, "*/2 * * * *"), Once: true}, func(s *seat) []float64 {
			s.restart(7*minute, lease.Never)
			return s.run(2 * minute)
		}, []float64{7 * minute, 8 * minute}},
		"every so often, missed, in step": {Task{Every: minute}, func(s *seat) []float64 {
			s.run(1.5 * minute)
			s.restart(5*minute, lease.Never)
			return s.run(2 * minute)
		}, []float64{7 * minute, 8 * minute}},
		"what nobody remembers counts as begun": {Task{Every: minute}, func(s *seat) []float64 {
			s.note = nil
			s.restart(0.5*minute, noon+0.5*minute)
			return s.run(minute + 1000)
		}, []float64{1.5 * minute}},
		"a clock that is set back begins nothing again": {Task{At: at(t, "1 12 * * *")}, func(s *seat) []float64 {
			begun := s.run(1.5 * minute)
			s.off = -minute
			return append(begun, s.run(2*minute)...)
		}, []float64{minute}},
		"paused, over a new holder, and resumed": {Task{Every: minute}, func(s *seat) []float64 {
			s.step(Order{ID: 1, Lease: name, Do: Pause})
			s.run(3 * minute)
			s.restart(0, lease.Never)
			begun := s.run(3 * minute)
			s.step(Order{ID: 2, Lease: name, Do: Resume})
			return append(begun, s.run(1.5*minute)...)
		}, []float64{7 * minute}},
		"triggered, the same order twice": {Task{At: at(t, "5 12 * * *")}, func(s *seat) []float64 {
			s.step(Order{ID: 1, Lease: name, Do: Trigger})
			n := 0
			for _, o := range s.out {
				if b, is := o.(Begin); is {
					n++
					s.step(Ended{Lease: name, Fence: b.Fence})
				}
			}
			s.step(Order{ID: 1, Lease: name, Do: Trigger})
			assert.Equal(t, 1, n)
			s.out = nil
			return s.run(6 * minute)
		}, []float64{5 * minute}},
	} {
		s := newSeat(t, c.task)
		assert.Equal(t, c.want, c.do(s), what)
	}
}

// One whose outcome is unknown counts as begun: its holder died between the note and the begin, or in mid-run.
func TestUnknownOutcome(t *testing.T) {
	s := newSeat(t, Task{Every: minute})
	s.now += minute
	for _, o := range s.c.Step(s.now, s.now, nil) {
		if w, is := o.(lease.Write); is {
			s.note, s.at = w.Data, s.now // noted, and never begun
		}
	}
	s.restart(5000, lease.Never)
	assert.Equal(t, []float64{2 * minute}, s.run(minute))
	log, err := Read(s.note)
	require.NoError(t, err)
	assert.Equal(t, [3]any{"a", true, 3}, [3]any{log.By, log.Ended, log.Code})
}

// A lease is handed on only once what runs under it is over and that is noted; nothing begins when it was lost.
func TestHandedOn(t *testing.T) {
	s := newSeat(t, Task{Every: minute, Prefer: []string{"b", "a"}})
	assert.False(t, s.held, "b is preferred")
	s = newSeat(t, Task{Every: minute})
	s.now += minute
	s.step()
	s.out = nil
	s.step(Crew{Majority: true, Rank: func(string) []string { return []string{"b", "a"} }})
	assert.True(t, s.held, "an occurrence runs")
	s.step(Order{ID: 4, Lease: name, Do: Release})
	assert.Contains(t, s.out, Cancel{name, s.num, "an operator has it handed on"})
	assert.True(t, s.held)
	s.step(Ended{Lease: name, Fence: s.num, Code: 143, Why: "told to"})
	assert.False(t, s.held)
	log, _ := Read(s.note)
	assert.Equal(t, [2]any{143, "told to"}, [2]any{log.Code, log.Why})
	s.out = nil
	s.step(lease.Noted{Lease: name, Fence: s.num, Until: s.now + 1e6}, Order{ID: 5, Lease: name, Do: Trigger})
	assert.Equal(t, []Output{Answer{5, false, "this broker does not hold that lease"}}, s.out)
	s = newSeat(t, Task{Every: minute})
	s.now += minute
	s.step()
	s.out = nil
	s.step(lease.Lost{Lease: name, Fence: s.num})
	assert.Equal(t, []Output{Cancel{name, s.num, "its lease was lost"}}, s.out)
}

// Leases by hand: a slot that nobody holds is asked for first, none twice at one member; what ends unclean is left to run out.
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
	assert.Equal(t, []Output{lease.Want{Lease: "hold/m/1"}, lease.Want{Lease: "hold/m/0", Term: 1000, On: true}}, h.Step(600, 600, nil), "that one is free by now")
	assert.Equal(t, []Output{Extended{2, 1900}}, h.Step(700, 700, []Input{lease.Renewed{Lease: "hold/m/2", Fence: 7, Until: 1900}}))
	assert.Equal(t, []Output{Revoked{2, "an operator has it released"}, Answer{9, true, ""}}, h.Step(701, 701, []Input{Order{9, "hold/m/2", Release}}))
	assert.Equal(t, []Output{lease.Want{Lease: "hold/m/2"}, lease.Drop{Lease: "hold/m/2", Fence: 7, Silent: true}}, h.Step(702, 702, []Input{Close{ID: 2}}))
	h.Step(703, 703, []Input{lease.Held{Lease: "hold/m/0", Fence: 8, Until: 1700}})
	assert.Equal(t, []Output{lease.Want{Lease: "hold/m/0"}, Revoked{1, "its lease was lost"}}, h.Step(704, 704, []Input{lease.Lost{Lease: "hold/m/0", Fence: 8}}))
	assert.Zero(t, h.Open())
	for i := range holdsMost + 1 {
		out = h.Step(800, 800, []Input{Hold{ID: uint64(i), Name: time.Duration(i).String(), Term: 1000}})
	}
	assert.Equal(t, Revoked{holdsMost, "too many leases are held by hand at this broker"}, out[0])
}
