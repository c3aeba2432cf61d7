package gateway

import (
	"testing"
	"time"

	"gullstair/internal/configuration"
)

// TestStreamFigures checks that streams are counted by the cause of their delay, and that the counters of routes which a
// configuration removes are dropped.
func TestStreamFigures(t *testing.T) {
	c, err := configuration.Parse([]byte(`{"version":1,"services":[{"name":"s"}],"routes":[
{"name":"a","host":"h","path_prefix":"/a/","kind":"streaming","timeout_ms":9000,"target_latency_ms":800,"gap_aim_ms":500,"service":"s"},
{"name":"b","host":"h","path_prefix":"/b/","kind":"streaming","timeout_ms":9000,"service":"s"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{}
	a, b := c.Routes[0], c.Routes[1]
	for _, f := range []struct {
		route         *configuration.Route
		first, pause  time.Duration
		backlog, work float64
	}{
		{a, 700 * time.Millisecond, 500 * time.Millisecond, 0, 0},   // within the targets
		{a, 801 * time.Millisecond, 900 * time.Millisecond, 401, 0}, // late start, large backlog
		{a, 900 * time.Millisecond, 0, 0, 500},                      // late start, long prompt
		{a, 100 * time.Millisecond, 501 * time.Millisecond, 0, 0},   // long pause
		{b, 8 * time.Second, 8 * time.Second, 900, 900},             // no targets
	} {
		s.streams.count(f.route, f.first, f.pause, f.backlog, f.work)
	}
	want := []StreamStats{{Route: "a", Served: 4, LateStarts: 2, LongPauses: 1, LateStartsAtLoad: 1, LongPromptLateStarts: 1}, {Route: "b", Served: 1}}
	for at, got := range s.Streams() {
		if got != want[at] {
			t.Errorf("%+v, want %+v", got, want[at])
		}
	}
	next, err := configuration.Parse([]byte(`{"version":2,"services":[{"name":"s"}],"routes":[
{"name":"b","host":"h","path_prefix":"/b/","kind":"streaming","timeout_ms":9000,"service":"s"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	s.streams.retain(next)
	if got := s.Streams(); len(got) != 1 || got[0].Route != "b" {
		t.Errorf("after the route was dropped: %+v", got)
	}
}

// TestPace checks the recorded time of the first event and the longest pause.
func TestPace(t *testing.T) {
	p, begun := streamTiming{}, time.Unix(0, 0)
	for _, at := range []time.Duration{20, 50, 350, 360} {
		p.record(begun.Add(at * time.Millisecond))
	}
	if p.firstEvent != begun.Add(20*time.Millisecond) || p.longestPause != 300*time.Millisecond {
		t.Errorf("first %v, longest pause %v", p.firstEvent, p.longestPause)
	}
}
