package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"gullstair/internal/configuration"
)

// How streams kept to their routes' targets, as seen by this broker.

// pace is when the events of one stream came.
type pace struct {
	first   time.Time
	last    time.Time
	longest time.Duration // between two events
}

// event notes that something of the stream has come.
func (p *pace) event(now time.Time) {
	if p.first.IsZero() {
		p.first = now
	} else {
		p.longest = max(p.longest, now.Sub(p.last))
	}
	p.last = now
}

// Streams is how the answers of one streaming route that were passed on whole kept to its targets.
type Streams struct {
	Route string `json:"route"`
	// Served counts all of them.
	Served int64 `json:"served"`
	// LateStarts are those whose first event came later than target_latency_ms.
	LateStarts int64 `json:"late_starts"`
	// LongPauses are those of the others that paused for longer than gap_aim_ms.
	LongPauses int64 `json:"long_pauses"`
	// LateStartsAtLoad are the late starts whose instance was taken to have work outstanding for more than half of the target.
	LateStartsAtLoad int64 `json:"late_starts_at_load"`
	// LongPromptLateStarts are those whose own prompt was expected to take more than half of the target.
	LongPromptLateStarts int64 `json:"late_starts_of_long_prompts"`
}

// streamFigures counts by route.
type streamFigures struct {
	mu     sync.Mutex
	routes map[string]*Streams
}

// keep forgets the routes that a configuration does not have.
func (f *streamFigures) keep(c *configuration.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.routes
	f.routes = map[string]*Streams{}
	for _, route := range c.Routes {
		if known := before[route.Name]; known != nil && route.Kind == configuration.Streaming {
			f.routes[route.Name] = known
		}
	}
}

// note counts a stream that has ended. backlog and work are the ms that were expected at its instance before it, and for it.
func (f *streamFigures) note(route *configuration.Route, first, pause time.Duration, backlog, work float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.routes == nil {
		f.routes = map[string]*Streams{}
	}
	s := f.routes[route.Name]
	if s == nil {
		s = &Streams{Route: route.Name}
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

// Streams returns the figures of the streaming routes, by name.
func (s *Server) Streams() []Streams {
	s.streams.mu.Lock()
	defer s.streams.mu.Unlock()
	all := make([]Streams, 0, len(s.streams.routes))
	for _, figures := range s.streams.routes {
		all = append(all, *figures)
	}
	slices.SortFunc(all, func(x, y Streams) int { return cmp.Compare(x.Route, y.Route) })
	return all
}

// notePace counts the call's stream and logs it.
func (c *call) notePace() {
	if c.route.Kind != configuration.Streaming || c.pace.first.IsZero() {
		return
	}
	first := c.pace.first.Sub(c.arrived)
	c.s.streams.note(c.route, first, c.pace.longest, c.chosen.Backlog, c.chosen.Work)
	entry := c.s.logger.Debug().Str("request", c.id).Str("route", c.route.Name).Str("instance", c.chosen.Instance).
		Dur("first_event", first).Dur("longest_pause", c.pace.longest).Float64("backlog_ms", c.chosen.Backlog).
		Float64("work_ms", c.chosen.Work).Str("source", c.chosen.Source).Bool("save", c.chosen.Save)
	if c.prompt != nil {
		shared := 0.0
		for _, part := range c.prompt.shared() {
			shared += part.tokens
		}
		entry = entry.Float64("tokens", c.prompt.tokens).Float64("shared_tokens", shared)
	}
	entry.Msg("stream ended")
}
