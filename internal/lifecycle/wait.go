package lifecycle

import (
	"context"
	"time"

	"github.com/phuslu/log"
)

const (
	retryInterval  = 50 * time.Millisecond
	reportInterval = 5 * time.Second // between two lines about the same wait
)

// Wait is a wait for something that a start needs.
type Wait struct {
	Step   Step
	Limit  time.Duration
	Passes func(error) bool // reports whether a cause may pass by itself; others are not waited for
	Logger *log.Logger
}

// Until calls try until it succeeds. It returns a Failure once the cause cannot pass by itself, the limit is over, or the
// context ends, and logs what it waits for.
func (w Wait) Until(ctx context.Context, try func() error) *Failure {
	begun := time.Now()
	var reported time.Time
	for {
		err := try()
		if err == nil {
			if !reported.IsZero() {
				w.Logger.Info().Str("step", string(w.Step)).Dur("took", time.Since(begun)).Msg("the wait is over")
			}
			return nil
		}
		passes := w.Passes(err)
		if !passes || time.Since(begun) >= w.Limit {
			return &Failure{Step: w.Step, Passes: passes, Cause: err}
		}
		if time.Since(reported) >= reportInterval {
			reported = time.Now()
			w.Logger.Warn().Str("step", string(w.Step)).Str("cause", err.Error()).Dur("limit", w.Limit).Msg("waiting")
		}
		select {
		case <-ctx.Done():
			return &Failure{Step: w.Step, Passes: true, Cause: ErrStopped}
		case <-time.After(retryInterval):
		}
	}
}
