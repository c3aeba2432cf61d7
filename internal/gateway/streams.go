package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"gullstair/internal/configuration"
)

// streamTiming records when the events of one stream arrived.
type streamTiming struct {
	firstEvent   time.Time
	lastEvent    time.Time
	longestPause time.Duration // longest time between two events
}

// record notes that bytes of the stream have arrived.
func (t *streamTiming) record(now time.Time) {
	if t.firstEvent.IsZero() {
		t.firstEvent = now
	} else {
		t.longestPause = max(t.longestPause, now.Sub(t.lastEvent))
	}
	t.lastEvent = now
}

// StreamStats counts how the completely forwarded responses of one streaming route met its latency targets at this broker.
type StreamStats struct {
	Route string `json:"route"`
	// Served counts all completely forwarded responses.
	Served int64 `json:"served"`
	// LateStarts counts those whose first event arrived later than target_latency_ms.
	LateStarts int64 `json:"late_starts"`
	// LongPauses counts those without a late start that paused for longer than gap_aim_ms.
	LongPauses int64 `json:"long_pauses"`
	// LateStartsAtLoad counts the late starts whose instance had an estimated backlog of more than half of the target.
	LateStartsAtLoad int64 `json:"late_starts_at_load"`
	// LongPromptLateStarts counts the late starts whose own work was estimated at more than half of the target.
	LongPromptLateStarts int64 `json:"late_starts_of_long_prompts"`
}

// streamCounters holds the counters of all streaming routes by name.
type streamCounters struct {
	mu     sync.Mutex
	routes map[string]*StreamStats
}

// retain drops the counters of routes that are not streaming routes of the configuration.
func (f *streamCounters) retain(c *configuration.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.routes
	f.routes = map[string]*StreamStats{}
	for _, route := range c.Routes {
		if known := before[route.Name]; known != nil && route.Kind == configuration.Streaming {
			f.routes[route.Name] = known
		}
	}
}

// count adds a stream that has ended. backlog and work are the estimated ms of work at its instance before it and of itself.
func (f *streamCounters) count(route *configuration.Route, first, pause time.Duration, backlog, work float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.routes == nil {
		f.routes = map[string]*StreamStats{}
	}
	s := f.routes[route.Name]
	if s == nil {
		s = &StreamStats{Route: route.Name}
		f.routes[route.Name] = s
	}
	s.Served++
	half := float64(route.Target/2) / float64(time.Millisecond)
	switch {
	case route.Target > 0 && first > route.Target:
		s.LateStarts++
		if backlog > half {
			s.LateStartsAtLoad++
		}
		if work > half {
			s.LongPromptLateStarts++
		}
	case route.GapTarget > 0 && pause > route.GapTarget:
		s.LongPauses++
	}
}

// Streams returns the counters of the streaming routes, sorted by name.
func (s *Server) Streams() []StreamStats {
	s.streams.mu.Lock()
	defer s.streams.mu.Unlock()
	all := make([]StreamStats, 0, len(s.streams.routes))
	for _, counters := range s.streams.routes {
		all = append(all, *counters)
	}
	slices.SortFunc(all, func(x, y StreamStats) int { return cmp.Compare(x.Route, y.Route) })
	return all
}

// recordStream counts and logs the call's stream.
func (c *call) recordStream() {
	if c.route.Kind != configuration.Streaming || c.timing.firstEvent.IsZero() {
		return
	}
	first := c.timing.firstEvent.Sub(c.arrived)
	c.server.streams.count(c.route, first, c.timing.longestPause, c.command.Backlog, c.command.Work)
	entry := c.server.logger.Debug().Str("request", c.id).Str("route", c.route.Name).Str("instance", c.command.Instance).
		Dur("first_event", first).Dur("longest_pause", c.timing.longestPause).Float64("backlog_ms", c.command.Backlog).
		Float64("work_ms", c.command.Work).Str("source", c.command.Source).Bool("save", c.command.SaveToStore)
	if c.prompt != nil {
		shared := 0.0
		for _, part := range c.prompt.shared() {
			shared += part.tokens
		}
		entry = entry.Float64("tokens", c.prompt.tokens).Float64("shared_tokens", shared)
	}
	entry.Msg("stream ended")
}
