package gateway

import (
	"context"

	"gullstair/internal/clientlimit"
	"gullstair/internal/readturns"
	"gullstair/internal/upstream"
)

// firstOutlierCheck is the number of bytes of a response after which it is first checked whether it is an outlier; it is
// checked again whenever that number has doubled.
const firstOutlierCheck = 64 << 10

// transfer reads the body of a response that is forwarded, in turns with the other large ones.
type transfer struct {
	ctx       context.Context
	response  *upstream.Response
	turn      *readturns.Copy
	account   *clientlimit.Account // of the client
	onData    func()               // called when bytes have been read; may be nil
	mayBegin  func() bool          // called before the answer to the client begins; it must not if false is returned
	isOutlier func(received int64) bool
	nextCheck int64 // bytes
	outlier   bool
}

func (c *call) newTransfer(ctx context.Context, response *upstream.Response, instance string) *transfer {
	return &transfer{ctx: ctx, response: response, turn: c.server.turns.Join(instance), account: c.account, nextCheck: firstOutlierCheck,
		mayBegin:  c.exchange.beginAnswer,
		isOutlier: func(received int64) bool { return c.server.observeSize(c.route.Name, instance, received) }}
}

// read reads the next piece of the body.
func (t *transfer) read(buffer []byte) (int, error) {
	received := t.response.Received()
	if err := t.turn.Await(t.ctx, received); err != nil {
		return 0, err
	}
	if !t.outlier && received >= t.nextCheck {
		t.nextCheck = 2 * received
		t.outlier = t.isOutlier(received)
	}
	n, err := t.response.Read(buffer)
	if n > 0 && t.onData != nil {
		t.onData()
	}
	return n, err
}

// observeSize checks whether a response of which this many bytes have arrived is an outlier. If it is, its instance may be
// ejected.
func (s *Server) observeSize(route, instance string, received int64) (outlier bool) {
	s.mu.Lock()
	outlier = s.outliers.Exceeds(route, received)
	eject := outlier && s.outliers.Outlier(instance)
	s.mu.Unlock()
	if eject {
		s.logger.Warn().Str("instance", instance).Str("route", route).Int64("bytes", received).Msg("answers go on without end; the instance is ejected")
		s.dispatcher.eject(instance)
	}
	return outlier
}

// observeWhole records a response that has come to its end.
func (s *Server) observeWhole(route, instance string, received int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outliers.Whole(route, instance, received)
}
