package founding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gullstair/internal/register"
)

// TestEmptyDiskJoinsOnlyWithEnoughReports gives a machine with an empty disk reports of the others.
func TestEmptyDiskJoinsOnlyWithEnoughReports(t *testing.T) {
	seeds := []string{"a", "b", "c"}
	ballot := register.Ballot{Counter: Leap}
	empty := Report{Seeds: seeds}
	marked := Report{Seeds: seeds, Marked: true, Promise: register.Promise{Promised: ballot}}
	refused := Report{Seeds: seeds, Marked: true, Promise: register.Promise{Refused: true}}
	noDisk := Report{Seeds: seeds, Marked: true, Promise: register.Promise{Foreign: true}}
	for name, c := range map[string]struct {
		seeds   []string
		losses  int
		long    bool // it has been asking for the catch-up time
		reports map[string]Report
		joins   bool
	}{
		"all seeds are empty":                       {seeds, 1, false, map[string]Report{"b": empty, "c": empty}, true},
		"one is marked":                             {seeds, 1, false, map[string]Report{"b": empty, "c": marked}, true},
		"one is silent":                             {seeds, 1, false, map[string]Report{"b": empty}, false},
		"one is silent for the catch-up time":       {seeds, 1, true, map[string]Report{"b": empty}, true},
		"both are silent":                           {seeds, 1, true, nil, false},
		"a machine that is no seed in its place":    {seeds, 1, true, map[string]Report{"d": empty}, false},
		"a register exists":                         {seeds, 1, true, map[string]Report{"b": empty, "c": {Founded: true}}, false},
		"a machine that is no seed knows of one":    {seeds, 1, true, map[string]Report{"b": empty, "c": empty, "d": {Founded: true}}, false},
		"another list of seeds":                     {seeds, 1, true, map[string]Report{"b": empty, "c": {Seeds: []string{"a", "c", "d"}}}, false},
		"an acceptor has promised a higher ballot":  {seeds, 1, true, map[string]Report{"b": empty, "c": refused}, false},
		"an acceptor cannot write":                  {seeds, 1, true, map[string]Report{"b": empty, "c": noDisk}, false},
		"two losses: the deciders may all be lost":  {seeds, 2, false, map[string]Report{"b": empty, "c": empty}, false},
		"two losses, for the catch-up time":         {seeds, 2, true, map[string]Report{"b": empty, "c": empty}, true},
		"two losses, too few machines":              {seeds, 2, true, map[string]Report{"b": empty}, false},
		"not a seed":                                {[]string{"b", "c", "d"}, 1, true, map[string]Report{"b": {Seeds: []string{"b", "c", "d"}}, "c": {Seeds: []string{"b", "c", "d"}}}, false},
		"alone, the only seed":                      {[]string{"a"}, 1, true, nil, false},
		"two seeds":                                 {[]string{"a", "b"}, 1, false, map[string]Report{"b": {Seeds: []string{"a", "b"}}}, true},
		"a machine without a disk in place of seed": {seeds, 1, true, map[string]Report{"b": {}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(Fleet{Self: "a", Seeds: c.seeds, Losses: c.losses, CatchUp: 4 * time.Second})
			if c.long {
				s.Observed(4 * time.Second)
			}
			state, joins := s.Add(ballot, c.reports)
			require.Equal(t, c.joins, joins)
			if joins {
				require.Equal(t, ballot, state.Promised)
			}
		})
	}
}

// TestJoinsFromWhatAcceptorsReported guards against first members that are decided twice: what an acceptor of the
// founding has accepted is carried on, also if only an earlier attempt heard of it.
func TestJoinsFromWhatAcceptorsReported(t *testing.T) {
	seeds := []string{"a", "b", "c"}
	ballot := register.Ballot{Counter: Leap}
	accepted := func(counter uint64, payload string) Report {
		value := register.Value{Payload: []byte(payload)}
		return Report{Seeds: seeds, Marked: true, Promise: register.Promise{Promised: ballot, Accepted: register.Ballot{Counter: counter}, Value: &value}}
	}
	s := New(Fleet{Self: "a", Seeds: seeds, Losses: 1, CatchUp: time.Second})
	_, joins := s.Add(ballot, map[string]Report{"c": accepted(7, "newer")})
	require.False(t, joins)
	state, joins := s.Add(ballot, map[string]Report{"b": accepted(6, "older"), "c": {Seeds: seeds}})
	require.True(t, joins)
	require.Equal(t, register.State{Promised: ballot, Accepted: register.Ballot{Counter: 7}, Value: register.Value{Payload: []byte("newer")}}, state)

	s = New(Fleet{Self: "a", Seeds: seeds, Losses: 1, CatchUp: time.Second})
	_, joins = s.Add(ballot, map[string]Report{"b": {Founded: true}})
	require.False(t, joins)
	_, joins = s.Add(ballot, map[string]Report{"b": {Seeds: seeds}, "c": {Seeds: seeds}})
	require.False(t, joins, "a register that somebody knew of does not cease to exist")
}
