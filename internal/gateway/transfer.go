package gateway

import (
	"context"

	"gullstair/internal/clientlimit"
	"gullstair/internal/readturns"
	"gullstair/internal/upstream"
)

// transfer reads the body of a response that is forwarded, in turns with the other large ones.
type transfer struct {
	ctx      context.Context
	response *upstream.Response
	turn     *readturns.Copy
	account  *clientlimit.Account // of the client
	onData   func()               // called when bytes have been read; may be nil
	mayBegin func() bool          // called before the answer to the client begins; it must not if false is returned
}

func (c *call) newTransfer(ctx context.Context, response *upstream.Response, instance string) *transfer {
	return &transfer{ctx: ctx, response: response, turn: c.server.turns.Join(instance), account: c.account,
		mayBegin: c.exchange.beginAnswer}
}

// read reads the next piece of the body.
func (t *transfer) read(buffer []byte) (int, error) {
	if err := t.turn.Await(t.ctx, t.response.Received()); err != nil {
		return 0, err
	}
	n, err := t.response.Read(buffer)
	if n > 0 && t.onData != nil {
		t.onData()
	}
	return n, err
}
