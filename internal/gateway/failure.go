package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"gullstair/internal/clientbudget"
	"gullstair/internal/clientlimit"
	"gullstair/internal/lifecycle"
	"gullstair/internal/upstream"
	"gullstair/logic"
)

const (
	failureStartBytes  = 16 << 10              // of the body of a failure that is read while another attempt may follow
	failureCrowdBytes  = 1 << 10               // the same without room in the budget
	failureStartWithin = 50 * time.Millisecond // in which a short body usually arrives
)

// errorResponse is an error response of an instance. It is forwarded unchanged if no other attempt follows. Until then only the
// start of its body is read, and the rest stays with the instance.
type errorResponse struct {
	status   int
	header   http.Header
	response *upstream.Response // nil once its body has been read whole
	instance string
	ctx      context.Context
	cancel   context.CancelFunc
	done     chan struct{} // closed once start and err are set
	start    []byte        // of the body
	err      error         // io.EOF: start is the whole body; nil: more may follow
	held     clientbudget.Amount
}

// keepErrorResponse stores an error response, which is forwarded unless another attempt replaces it. It takes over the
// response and its context, which cancel ends.
func (c *call) keepErrorResponse(ctx context.Context, cancel context.CancelFunc, response *upstream.Response, instance string) logic.Outcome {
	e := &errorResponse{status: response.Status, header: response.Header, response: response, instance: instance, ctx: ctx, cancel: cancel, done: make(chan struct{})}
	limit := failureCrowdBytes
	if amount := (clientbudget.Amount{Bytes: failureStartBytes}); c.account.Hold(amount) {
		limit, e.held = failureStartBytes, amount
	}
	lifecycle.Go(func() { e.readStart(limit) })
	if e.awaitStart() && e.err != nil && e.err != io.EOF {
		e.drop(c.account)
		return logic.Severed
	}
	c.dropErrorResponse()
	c.errorAnswer = e
	return logic.Errored
}

// awaitStart waits a moment until the start of the body has been read. If it is the whole body, the response is closed.
func (e *errorResponse) awaitStart() bool {
	timer := time.NewTimer(failureStartWithin)
	defer timer.Stop()
	select {
	case <-timer.C:
		return false
	case <-e.done:
	}
	if e.err == io.EOF {
		e.response.Close()
		e.response = nil
	}
	return true
}

// readStart reads the start of the body.
func (e *errorResponse) readStart(limit int) {
	defer close(e.done)
	start := make([]byte, 0, min(limit, clampLength(e.response.Length, limit)))
	for len(start) < limit && e.err == nil {
		if len(start) == cap(start) {
			start = append(start, 0)[:len(start)]
		}
		var n int
		n, e.err = e.response.Read(start[len(start):min(cap(start), limit)])
		start = start[:len(start)+n]
	}
	e.start = start
}

// clampLength returns the size of a buffer for a body of a length, which may be unknown, so that its end is seen.
func clampLength(length int64, limit int) int {
	const unknown = 512
	if length < 0 {
		return unknown
	}
	return int(min(length+1, int64(limit)))
}

// dropErrorResponse drops the error response that was stored, if there is one.
func (c *call) dropErrorResponse() {
	if c.errorAnswer != nil {
		c.errorAnswer.drop(c.account)
		c.errorAnswer = nil
	}
}

// drop ends the reading of the response and closes it.
func (e *errorResponse) drop(account *clientlimit.Account) {
	e.cancel()
	<-e.done
	account.Drop(e.held)
	if e.response != nil {
		e.response.Close()
	}
}

// forwardErrorResponse forwards the error response that was stored. It returns false if there is none, or if its body broke off
// before any of it was forwarded.
func (c *call) forwardErrorResponse() bool {
	e := c.errorAnswer
	if e == nil {
		return false
	}
	<-e.done // at the deadline of the request at the latest
	if e.err != nil && e.err != io.EOF {
		return false
	}
	copyHeader(c.writer.Header(), e.header)
	if e.err == nil && e.response.Length >= 0 {
		c.writer.Header().Set("Content-Length", strconv.FormatInt(e.response.Length, 10))
	}
	c.writer.WriteHeader(e.status)
	if _, err := c.writer.Write(e.start); err == nil && e.err == nil {
		c.forwardErrorBody(e)
	}
	return true
}

// forwardErrorBody forwards the rest of the body of an error response.
func (c *call) forwardErrorBody(e *errorResponse) {
	t := c.newTransfer(e.ctx, e.response, e.instance)
	defer t.turn.Leave()
	out := &answer{writer: c.writer, begun: true, length: e.response.Length, sentBytes: int64(len(e.start))}
	if out.copyBody(t) != nil {
		panic(http.ErrAbortHandler)
	}
}
