package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/balance"
	"gullstair/internal/cachetable"
	"gullstair/internal/chunks"
	"gullstair/internal/clientbudget"
	"gullstair/internal/clientlimit"
	"gullstair/internal/configuration"
	"gullstair/internal/instances"
	"gullstair/internal/keepalive"
	"gullstair/internal/lifecycle"
	"gullstair/internal/upstream"
	"gullstair/logic"
)

// call is the handling of one client request.
type call struct {
	server   *Server
	writer   http.ResponseWriter
	incoming *http.Request
	arrived  time.Time
	deadline time.Time // deadline of the request
	config   *configuration.Configuration
	route    *configuration.Route
	tenant   *configuration.Tenant
	service  *configuration.Service
	prompt   *prompt
	body     [][]byte // in chunks
	id       string
	account  *clientlimit.Account // of what the client holds; nil: not bounded

	exchange    *exchange
	attempts    int
	command     balance.Command // command that started the latest attempt
	timing      streamTiming
	cacheSalt   string         // salt of the current attempt's cached parts
	mayRun      bool           // an instance may have started to run the request
	answer      *answer        // the response to the client; nil before any of it is forwarded
	errorAnswer *errorResponse // the latest error response of an instance
}

const (
	requestDeadline = "X-Deadline-Ms"
	notExecuted     = "X-Not-Executed"
	serverStamp     = "X-Server-Stamp"
	lastEventID     = "Last-Event-Id"
	versionsHeader  = "Versions"

	answerSlack    = time.Second // time after the deadline of a request in which its client may still take the answer
	discardTimeout = time.Second // time in which the rest of a denied request's body may arrive
	maxPriority    = 9
)

func newCall(server *Server, writer http.ResponseWriter, incoming *http.Request) *call {
	return &call{server: server, writer: writer, incoming: incoming, arrived: time.Now(), id: incoming.Header.Get(upstream.RequestIDHeader),
		account: keepalive.Account(incoming.Context())}
}

func (c *call) serve() {
	defer func() { chunks.Release(c.body) }()
	defer c.dropErrorResponse()
	if !c.admit() {
		return
	}
	c.exchange = newExchange()
	service := c.pickService()
	c.service = c.config.Services[service]
	request := balance.Request{Route: c.route, Service: service, TimeLeft: float64(time.Until(c.deadline)) / float64(time.Millisecond)}
	if c.prompt = parsePrompt(c.incoming.Header); c.prompt != nil {
		candidates, limited := c.server.candidates(service, c.prompt.model)
		request.Restricted = limited
		for _, i := range candidates {
			request.Permitted = append(request.Permitted, i.ID)
		}
		request.Prompt = c.server.describe(c.prompt, c.config, c.tenant, c.service.Engine, candidates)
	}
	c.server.logger.Debug().Str("request", c.id).Str("route", c.route.Name).Str("service", service).Msg("request arrived")
	c.server.dispatcher.arrive(c.exchange, request)
	defer c.server.dispatcher.forget(c.exchange)
	for {
		select {
		case <-c.incoming.Context().Done():
			c.server.logger.Info().Str("request", c.id).Int("attempts", c.attempts).Bool("begun", c.answer != nil && c.answer.begun).
				Dur("after", time.Since(c.arrived)).Msg("the client's connection ended before its answer")
			panic(http.ErrAbortHandler) // returning would send an empty 200, and the client may have closed only its writing side
		case command := <-c.exchange.commands:
			if c.execute(command) {
				return
			}
		}
	}
}

// admit checks the request against the configuration and reads its body. It returns false if it has already responded.
func (c *call) admit() bool {
	if c.server.leaving.Load() {
		c.writer.Header().Set("Connection", "close")
	}
	if c.config = c.server.awaitConfiguration(c.incoming.Context()); c.config == nil {
		c.refuse(notReadyRetryAfter)
		return false
	}
	if c.route = c.config.Route(c.incoming.Host, c.incoming.URL.Path); c.route == nil {
		c.deny(http.StatusNotFound)
		return false
	}
	if !c.authorized() {
		c.deny(http.StatusUnauthorized)
		return false
	}
	c.deadline = c.arrived.Add(c.route.Timeout)
	if left, err := strconv.ParseFloat(c.incoming.Header.Get(requestDeadline), 64); err == nil && left >= 0 {
		if until := c.arrived.Add(time.Duration(left * float64(time.Millisecond))); until.Before(c.deadline) {
			c.deadline = until
		}
	}
	_ = http.NewResponseController(c.writer).SetWriteDeadline(c.deadline.Add(answerSlack))
	if !c.readBody() {
		return false
	}
	if c.server.closing.Load() {
		c.refuse(0) // another broker can serve it at once; here it would be cut off when this broker shuts down
		return false
	}
	return true
}

// authorized looks up the tenant by the bearer key. It returns false if the key is unknown, or if the configuration has
// tenants and the request has no key. Public routes ignore keys.
func (c *call) authorized() bool {
	if c.route.Public {
		return true
	}
	key, hasKey := strings.CutPrefix(c.incoming.Header.Get("Authorization"), "Bearer ")
	if !hasKey {
		return !c.config.HasTenants()
	}
	c.tenant = c.config.TenantByKey(strings.TrimSpace(key))
	return c.tenant != nil
}

// readBody reads the body, until the deadline of the request. It returns false if it has already responded.
func (c *call) readBody() bool {
	limit := c.config.Limits.BodyBytes
	if c.incoming.ContentLength > limit {
		c.deny(http.StatusRequestEntityTooLarge)
		return false
	}
	if c.incoming.Body == http.NoBody {
		return true
	}
	_ = http.NewResponseController(c.writer).SetReadDeadline(c.deadline) // net/http clears it once the body has been read
	body, err := chunks.Read(io.LimitReader(c.incoming.Body, limit+1))
	switch {
	case errors.Is(err, clientbudget.ErrNoRoom):
		c.refuseUnread(http.StatusServiceUnavailable, clientbudget.RetryAfter)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuseUnread(http.StatusRequestTimeout, 0)
		return false
	case err != nil:
		panic(http.ErrAbortHandler) // the client has disconnected
	case chunks.Size(body) > limit:
		chunks.Release(body)
		c.deny(http.StatusRequestEntityTooLarge)
		return false
	}
	c.body = body
	return true
}

// pickService chooses one of the route's services at random by weight.
func (c *call) pickService() string {
	sum := 0.0
	for _, split := range c.route.Splits {
		sum += split.Weight
	}
	at := rand.Float64() * sum
	for _, split := range c.route.Splits {
		if at -= split.Weight; at < 0 {
			return split.Service
		}
	}
	return c.route.Splits[len(c.route.Splits)-1].Service
}

// execute carries out a command. It returns true if the request has ended.
func (c *call) execute(command balance.Command) bool {
	c.server.logger.Debug().Str("request", c.id).Int("command", int(command.Kind)).Str("instance", command.Instance).Msg("decided")
	switch command.Kind {
	case balance.Send:
		c.attempt(command)
		return false
	case balance.Finish:
		c.server.Served.Add(1)
		c.recordStream()
		return true
	case balance.Refuse:
		if c.mayRun {
			c.fail()
			return true
		}
		c.refuse(time.Duration(command.RetryAfter * float64(time.Millisecond)))
		return true
	case balance.Fail:
		c.fail()
		return true
	}
	return false
}

// attempt sends the request to one instance and forwards its response.
func (c *call) attempt(command balance.Command) {
	number := c.attempts
	c.attempts++
	c.command = command
	instance, known := c.server.instance(command.Instance)
	if !known || instance.State == instances.Gone || c.outdated(instance) {
		c.server.dispatcher.attemptEnded(c.exchange, number, logic.Superseded, 0)
		return
	}
	ctx, cancel := c.exchange.beginAttempt(c.incoming.Context())
	ctx, stop := context.WithDeadline(ctx, c.deadline)
	end := func() { stop(); cancel() }
	sentAt := time.Now()
	request, version := c.request(instance, command)
	canceled := c.cancelWhenOutdated(cancel, instance, version)
	response, progress, err := c.server.pool.Send(ctx, instance.Address, request)
	if canceled() {
		c.exchange.markRecalled()
	}
	outcome := logic.ConnRefused
	if err != nil {
		outcome = c.sendFailed(progress)
		end()
	} else {
		outcome = c.processResponse(ctx, end, response, instance, number, sentAt)
	}
	outcome = c.adjustOutcome(outcome)
	c.server.logger.Debug().Str("request", c.id).Str("instance", instance.ID).Str("source", command.Source).Int("attempt", number).
		Int64("version", version).Int("outcome", int(outcome)).Err(err).Dur("took", time.Since(sentAt)).Msg("attempt ended")
	c.server.dispatcher.attemptEnded(c.exchange, number, outcome, time.Since(sentAt))
	if outcome != logic.Completed && c.answer != nil && c.answer.committed() {
		c.fail() // regardless of the next command: no other attempt can continue this response
	}
}

// outdated reports whether an instance's weights are too old by now. The permitted instances were determined when the
// request arrived, which may be long ago.
func (c *call) outdated(instance instances.Instance) bool {
	return c.prompt != nil && instance.VersionOf(c.prompt.model) < c.server.weights.MinVersion(time.Now(), c.prompt.model)
}

// cancelWhenOutdated sets a timer that cancels the attempt at the time by which requests on the instance's weights must have
// begun: one that begins later would run on weights that are too old. The caller stops the timer with the returned function
// once the response begins or fails; the function reports whether the timer has fired.
func (c *call) cancelWhenOutdated(cancel context.CancelFunc, instance instances.Instance, version int64) (stop func() (fired bool)) {
	if c.prompt == nil {
		return func() bool { return false }
	}
	startDeadline := c.server.weights.StartDeadline(c.prompt.model, version)
	if startDeadline.IsZero() {
		return func() bool { return false }
	}
	timer := time.AfterFunc(time.Until(startDeadline), lifecycle.Guard(func() {
		c.server.logger.Info().Str("request", c.id).Str("instance", instance.ID).Int64("version", version).Msg("taken back: its weights' time is over")
		cancel()
	}))
	return func() bool { return !timer.Stop() }
}

// adjustOutcome corrects the outcome of an attempt that this broker, its deadline or the client ended, so that it does not
// count as a failure of the instance.
func (c *call) adjustOutcome(outcome logic.Outcome) logic.Outcome {
	recalled, ended := c.exchange.endAttempt()
	switch {
	case outcome != logic.Severed && outcome != logic.ConnRefused:
		return outcome
	case !time.Now().Before(c.deadline):
		return logic.Overdue
	case recalled || ended || c.incoming.Context().Err() != nil:
		return logic.Recalled
	}
	return outcome
}

// sendFailed returns the outcome of an attempt without a response.
func (c *call) sendFailed(progress upstream.Progress) logic.Outcome {
	if progress == upstream.NotSent {
		return logic.ConnRefused
	}
	c.mayRun = true
	return logic.Severed
}

// processResponse processes a response and returns the outcome of the attempt. It closes the response and calls end, which
// ends the context, unless it stores the response as an error response.
func (c *call) processResponse(ctx context.Context, end func(), response *upstream.Response, instance instances.Instance, number int,
	sentAt time.Time) logic.Outcome {
	c.learnVersion(instance, response.Header)
	rejected, outcome := c.rejected(response, instance)
	c.mayRun = c.mayRun || !rejected
	switch {
	case rejected:
	case response.Header.Get("Content-Encoding") != "" || response.Status < http.StatusOK:
		outcome = logic.Errored // encoded or interim: not the response that the client expects
	case response.Status >= http.StatusInternalServerError:
		return c.keepErrorResponse(ctx, end, response, instance.ID)
	default:
		outcome = c.forward(ctx, response, instance, number, sentAt)
	}
	response.Close()
	end()
	return outcome
}

// rejected reports whether an instance refused the request without running it, and with which outcome.
func (c *call) rejected(response *upstream.Response, instance instances.Instance) (bool, logic.Outcome) {
	if response.Status == http.StatusMisdirectedRequest {
		response.Discard()
		if response.Misdirected(instance.ID) {
			c.server.onDisplaced(instance.ID)
		}
		return true, logic.Superseded
	}
	if response.Header.Get(notExecuted) == "" {
		return false, 0
	}
	response.Discard()
	return true, logic.Saturated
}

// forward forwards a response to the client.
func (c *call) forward(ctx context.Context, response *upstream.Response, instance instances.Instance, number int, sentAt time.Time) logic.Outcome {
	if c.answer == nil {
		c.answer = &answer{writer: c.writer, stream: c.route.Kind == configuration.Streaming, resumable: c.route.Resumable,
			lastSentID: c.incoming.Header.Get(lastEventID)}
	}
	t := c.newTransfer(ctx, response, instance.ID)
	defer t.turn.Leave()
	began := false
	t.onData = func() {
		c.timing.record(time.Now())
		if began || c.route.Kind != configuration.Streaming {
			return
		}
		began = true
		c.server.dispatcher.streamBegan(c.exchange, number, time.Since(sentAt))
		c.recordRead(instance.ID)
	}
	switch err := c.answer.copy(t); {
	case err == nil:
		c.server.observeWhole(c.route.Name, instance.ID, response.Received())
		return logic.Completed
	case errors.Is(err, errClientGone):
		return logic.Recalled
	}
	return logic.Severed
}

// recordRead records in the table of cached parts that an instance has read the request's prompt.
func (c *call) recordRead(id string) {
	if c.prompt == nil {
		return
	}
	c.server.cacheTable.with(func(t *cachetable.Table) { t.Read(id, c.prompt.keys(c.cacheSalt), c.prompt.tokenCounts()) })
}

// learnVersion updates the instance's version of the weights from the headers of a response.
func (c *call) learnVersion(instance instances.Instance, header http.Header) {
	if c.prompt == nil {
		return
	}
	version, err := strconv.ParseInt(strings.TrimSpace(header.Get(versionsHeader)), 10, 64)
	if err != nil || version <= instance.VersionOf(c.prompt.model) {
		return
	}
	c.server.setVersion(instance.ID, c.prompt.model, version)
}

// setVersion records a version of a model's weights that an instance was observed to serve.
func (s *Server) setVersion(id, model string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, known := s.instances[id]
	if !known || i.VersionOf(model) >= version {
		return
	}
	models := slices.Clone(i.Models)
	for at := range models {
		if models[at].Name == model {
			models[at].Version = version
		}
	}
	i.Models = models
	s.instances[id] = i
}

// request returns the request to send to an instance, and the version of the weights that it expects.
func (c *call) request(instance instances.Instance, command balance.Command) (*upstream.Request, int64) {
	header := forwarded(c.incoming.Header)
	header.Set(upstream.RequestIDHeader, c.id)
	header.Set("X-Expect-Instance", instance.ID)
	priority := c.route.Priority
	if c.tenant != nil {
		header.Set("X-Tenant", c.tenant.Name)
		priority = c.tenant.Priority
	}
	header.Set("Priority", strconv.Itoa(min(max(0, priority), maxPriority)))
	if c.answer != nil && c.answer.lastSentID != "" {
		header.Set(lastEventID, c.answer.lastSentID)
	}
	version := int64(0)
	if c.prompt != nil {
		version = instance.VersionOf(c.prompt.model)
		header.Set("Expect-Version", strconv.FormatInt(version, 10))
		c.cacheSalt = c.salt(version)
		header.Set("Cache-Salt", c.cacheSalt)
		if address := c.sourceAddress(command.Source, version); address != "" {
			header.Set("Kv-Fetch", address)
		}
		if name, store := c.config.KVStore(); store != nil && command.SaveToStore && command.Source != StoreName(name) {
			header.Set("Kv-Save", store.Address)
		}
	}
	return &upstream.Request{Method: c.incoming.Method, Target: c.incoming.RequestURI, Host: c.incoming.Host, Header: header, Body: c.body, ID: c.id,
		Account: c.account, SetHeaders: func(h http.Header) {
			h.Set(requestDeadline, strconv.FormatInt(max(1, time.Until(c.deadline).Milliseconds()), 10))
		}}, version
}

// salt returns the cache salt for an attempt that is sent now. It uses the current configuration to decide which tenants
// are isolated, because the request may have arrived long ago.
func (c *call) salt(version int64) string {
	config, tenant := c.server.Configuration(), c.tenant
	if tenant != nil {
		if current := config.TenantByName(tenant.Name); current != nil {
			tenant = current
		}
	}
	return salt(c.prompt.model, version, config.IsolationHash(), tenant)
}

// sourceAddress returns the address of the instance or store to fetch from. It is empty if there is none or if the instance
// has another version of the weights.
func (c *call) sourceAddress(source string, version int64) string {
	if name, store := c.config.KVStore(); store != nil && source == StoreName(name) {
		return store.Address
	}
	if from, known := c.server.instance(source); known && from.VersionOf(c.prompt.model) == version {
		return from.Address
	}
	return ""
}

// ownHeaders are hop-by-hop headers and headers that only the broker sets. They are removed from client requests.
var ownHeaders = []string{"Authorization", "Cache-Salt", "Connection", "Content-Length", "Expect", "Expect-Version", "Keep-Alive", "Kv-Fetch",
	"Kv-Save", "Priority", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"X-Deadline-Ms", "X-Expect-Instance", "X-Tenant"}

// forwarded returns the client's headers that are forwarded to instances.
func forwarded(h http.Header) http.Header {
	out := h.Clone()
	for field := range strings.SplitSeq(h.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(field))
	}
	for _, name := range ownHeaders {
		out.Del(name)
	}
	return out
}

// deny responds with the status of a request that the configuration does not allow. The rest of its body has discardTimeout
// to arrive, so that the connection can be kept.
func (c *call) deny(status int) {
	if c.incoming.Body != http.NoBody {
		_ = http.NewResponseController(c.writer).SetReadDeadline(time.Now().Add(discardTimeout))
	}
	c.setRequestID()
	c.writer.WriteHeader(status)
}

// refuse responds that the request has not run and never will, with the delay after which the client may retry.
func (c *call) refuse(after time.Duration) { c.refuseWith(http.StatusServiceUnavailable, after) }

func (c *call) refuseWith(status int, after time.Duration) {
	c.server.Refused.Add(1)
	c.setRequestID()
	c.writer.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	c.writer.WriteHeader(status)
}

// refuseUnread responds that the request has not run and never will, and closes the connection, on which the rest of its
// body is not read.
func (c *call) refuseUnread(status int, after time.Duration) {
	_ = http.NewResponseController(c.writer).SetReadDeadline(time.Now().Add(discardTimeout))
	c.writer.Header().Set("Connection", "close")
	c.refuseWith(status, after)
}

// fail gives the request up. It aborts a response that has begun, and otherwise forwards the error response of an instance if
// there is one.
func (c *call) fail() {
	c.server.Failed.Add(1)
	if c.answer != nil && c.answer.begun {
		panic(http.ErrAbortHandler)
	}
	c.setRequestID()
	if c.forwardErrorResponse() {
		return
	}
	if !time.Now().Before(c.deadline.Add(-time.Duration(endMargin))) {
		c.writer.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	c.writer.WriteHeader(http.StatusBadGateway)
}

// endMargin is how long before its deadline a failed request is reported as timed out.
const endMargin = 20 * time.Millisecond

func (c *call) setRequestID() {
	if c.id != "" {
		c.writer.Header().Set(upstream.RequestIDHeader, c.id)
	}
}
