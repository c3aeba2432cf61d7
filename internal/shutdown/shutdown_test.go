package shutdown

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestMoments(t *testing.T) {
	for _, c := range []struct {
		longest, answer, patience float64
		drain, fail               float64
	}{
		{300, 20, -1, 400, 600}, // connections that still arrive are served
		{300, 5000, -1, 400, 600},
		{1000, 50, -1, 1050, 1300},
		{4000, 100, -1, 3000, 3300},
		{4000, 2000, -1, 1650, 3300},
		{12000, 300, -1, 2600, 3300},
		{4000, 100, 0, 0, 0},
		{4000, 100, 10000, 3000, 10000},
	} {
		m := Plan(c.longest, c.answer, c.patience)
		assert.Equal(t, c.drain, m.Drain, "%+v", c)
		assert.Equal(t, c.fail, m.Fail, "%+v", c)
	}
}

// For any timeout and any answer times, the shutdown finishes in time, its steps are in order, and no action is
// taken back.
func TestOrderAndDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		longest := rapid.Float64Range(300, 12000).Draw(t, "longest")
		kill := min(longest, maxQueryTimeout) + killDelay
		e, was := New(longest, -1), Actions{}
		clients := rapid.IntRange(0, 3).Draw(t, "clients")
		for at := 0.0; at < kill; at += 20 {
			if rapid.IntRange(0, 20).Draw(t, "change") == 0 {
				clients = rapid.IntRange(0, 3).Draw(t, "clients")
			}
			is := e.Step(State{Elapsed: at, AnswerTime: rapid.Float64Range(0, 4000).Draw(t, "answer"), Clients: clients})
			if was.Drain && !is.Drain || was.Reject && !is.Reject || was.Fail && !is.Fail {
				t.Fatalf("action taken back at %v: %+v after %+v", at, is, was)
			}
			if is.Reject && !is.Drain || is.Drain && at < min(arrivalWindow, kill-exitReserve-minAnswerTime) {
				t.Fatalf("too early at %v: %+v", at, is)
			}
			if is.Done {
				if !is.Drain {
					t.Fatalf("exits at %v while it could still serve", at)
				}
				return
			}
			was = is
		}
		if !was.Fail || !was.Reject {
			t.Fatalf("open requests were not given up before the kill at %v: %+v", kill, was)
		}
	})
}

// Every client closes its connections 1.4 s after the stop signal, as in a recorded run. The broker keeps
// serving clients that have no other broker until 3 s, its limit.
func TestStaysWithoutClients(t *testing.T) {
	e := New(4000, -1)
	for at := 0.0; at < 2900; at += 20 {
		o := e.Step(State{Elapsed: at, AnswerTime: 60, Clients: 0})
		assert.Equal(t, Actions{}, o, fmt.Sprint(at))
	}
	assert.True(t, e.Step(State{Elapsed: 3050, AnswerTime: 60}).Done)
}
