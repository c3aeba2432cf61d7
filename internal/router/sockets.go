package router

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"gullstair/internal/lifecycle"
	"gullstair/internal/netio"
	"gullstair/internal/settings"
)

// addressLimit is how long a start waits for its addresses: longer than the kernel keeps the port of a closed connection.
const addressLimit = 90 * time.Second

// sockets are the sockets of one broker. Those for which the settings name no address are nil.
type sockets struct {
	front, readiness, control net.Listener
	peers                     net.Listener
	notes                     netio.Datagrams
}

// openSockets takes all addresses of a broker, and reports whether it had to wait for them. While one is missing it holds
// none, so that nobody waits for an answer here. Where another process may use the same disk, it does not wait: the
// addresses keep the two apart.
func openSockets(ctx context.Context, s *settings.Settings, network netio.Network, logger *log.Logger, diskLocked bool) (opened *sockets, waited bool, failure *lifecycle.Failure) {
	wait := lifecycle.Wait{Step: lifecycle.Listen, Passes: netio.AddressPasses, Logger: logger}
	if diskLocked {
		wait.Limit = addressLimit
	}
	failure = wait.Until(ctx, func() (err error) {
		opened, err = trySockets(s, network)
		waited = waited || err != nil
		return err
	})
	return opened, waited, failure
}

func trySockets(s *settings.Settings, network netio.Network) (*sockets, error) {
	opened := &sockets{}
	for _, address := range []struct {
		listen string
		to     *net.Listener
	}{{s.ListenFront, &opened.front}, {s.ListenReadiness, &opened.readiness}, {s.ListenControl, &opened.control}, {s.PeerAddress(s.IP), &opened.peers}} {
		if address.listen == "" {
			continue
		}
		listener, err := network.Listen(address.listen)
		if err != nil {
			opened.close()
			return nil, errors.Wrap(err, "listen")
		}
		*address.to = listener
	}
	notes, err := network.ListenDatagrams(s.PeerAddress(s.IP))
	if err != nil {
		opened.close()
		return nil, errors.Wrap(err, "listen for notes")
	}
	opened.notes = notes
	return opened, nil
}

// close closes the listeners.
func (s *sockets) close() {
	for _, listener := range []net.Listener{s.front, s.readiness, s.control, s.peers} {
		if listener != nil {
			listener.Close()
		}
	}
}
