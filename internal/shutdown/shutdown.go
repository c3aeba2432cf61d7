// Package shutdown schedules the shutdown of a broker: how long it serves clients, when it starts to send them
// elsewhere, when it rejects new requests, when it gives up open ones, and when it may exit. It does no I/O and
// reads no clock.
//
// During a rolling restart there may be no other broker to take over. So a broker serves for as long as it can,
// and every request that it has accepted gets an answer before the platform kills it.
package shutdown

// Times of the platform, in ms after the stop signal. A kill comes no sooner than the longest query timeout,
// capped at maxQueryTimeout, plus killDelay.
const (
	maxQueryTimeout = 3000.0
	killDelay       = 700.0
	// exitReserve is kept of that time for the process to exit, on a core that it shares.
	exitReserve = 400.0
	// minAnswerTime is the shortest time that an answer is assumed to need, and answerTimeFactor the multiple
	// of recent answer times: requests that arrive while the broker closes its connections find the stores
	// busier than before.
	minAnswerTime    = 150.0
	answerTimeFactor = 2.0
	// inFlightWindow is how long after the last Connection: close the broker still accepts requests that were
	// in flight.
	inFlightWindow = 200.0
	// arrivalWindow is the longest time after the stop signal in which new connections arrive. The broker sends no
	// client away before its end, if there is time for that.
	arrivalWindow = 400.0
)

// Schedule holds the times of a shutdown, in ms after the stop signal, in non-decreasing order.
type Schedule struct {
	Drain  float64 // clients are served until then; afterwards answers say that the connection closes, and idle ones are closed
	Reject float64 // later requests are throttled
	Fail   float64 // requests that are still open are answered with a failure
}

// Plan computes the schedule of a shutdown. The argument longest is the longest query timeout, answer the
// recent answer time, and patience the operator's limit for open requests, all in ms; a patience below 0 means
// no limit.
func Plan(longest, answer, patience float64) Schedule {
	end := min(max(longest, 0), maxQueryTimeout) + killDelay - exitReserve
	m := Schedule{Fail: end}
	if patience >= 0 {
		m.Fail, end = patience, min(end, patience)
	}
	// Long answer times do not shorten the service for clients that have no other broker: they are served until
	// the arrivals end, and for half of the time in any case.
	need := max(minAnswerTime, answerTimeFactor*answer)
	m.Drain = max(end-need-inFlightWindow/2, min(arrivalWindow, end-minAnswerTime), end/2)
	m.Reject = min(m.Drain+inFlightWindow, m.Fail)
	return m
}

// State is the observed state of the broker.
type State struct {
	Elapsed    float64 // ms since the stop signal
	AnswerTime float64 // recent answer time, in ms
	Clients    int     // open connections
}

// Actions are the actions in force. Once set, an action stays set.
type Actions struct {
	Drain  bool // answers say that the connection closes, and idle connections are closed
	Reject bool // new requests are throttled
	Fail   bool // open requests get their final answer now
	Done   bool // the broker may exit
}

// Shutdown is the state of one shutdown. It is not safe for concurrent use.
type Shutdown struct {
	longest, patience float64
	actions           Actions
	drainStart        float64
}

// New starts a shutdown; see Plan for the arguments.
func New(longest, patience float64) *Shutdown { return &Shutdown{longest: longest, patience: patience} }

// Step returns the actions in force. The broker keeps serving even without open connections, because its
// clients may have no other broker and an open listener costs nothing. Once it sends clients away it does not
// return to normal service.
func (e *Shutdown) Step(s State) Actions {
	m := Plan(e.longest, s.AnswerTime, e.patience)
	if e.actions.Drain {
		m.Reject = min(e.drainStart+inFlightWindow, m.Fail)
	} else if s.Elapsed >= m.Drain {
		e.actions.Drain, e.drainStart = true, s.Elapsed
		m.Reject = min(s.Elapsed+inFlightWindow, m.Fail)
	}
	e.actions.Reject = e.actions.Reject || e.actions.Drain && s.Elapsed >= m.Reject
	e.actions.Fail = e.actions.Fail || s.Elapsed >= m.Fail
	e.actions.Done = e.actions.Done || e.actions.Drain && s.Clients == 0
	return e.actions
}
