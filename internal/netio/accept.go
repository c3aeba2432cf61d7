package netio

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
	acceptLimit    = time.Minute // a listener that has failed for so long is given up
)

// persistentListener tries again to accept a connection after an error, for instance when there is no descriptor left.
type persistentListener struct {
	net.Listener
	report func(error)
}

// Persistent returns a listener whose Accept returns an error only if it is closed, or if it has failed for a minute.
// report is called with the first error of a series.
func Persistent(l net.Listener, report func(error)) net.Listener {
	return persistentListener{l, report}
}

// Accept implements net.Listener.
func (p persistentListener) Accept() (net.Conn, error) {
	delay := minAcceptDelay
	var since time.Time
	for {
		conn, err := p.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if since.IsZero() {
			since = time.Now()
			p.report(err)
		}
		if time.Since(since) >= acceptLimit {
			return nil, err
		}
		time.Sleep(delay)
		delay = min(2*delay, maxAcceptDelay)
	}
}
