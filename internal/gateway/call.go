package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/balance"
	"gullstair/internal/configuration"
	"gullstair/internal/holders"
	"gullstair/internal/instances"
	"gullstair/internal/upstream"
	"gullstair/logic"
)

// call is one request of a client on its way through the data path.
type call struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	exit    time.Time // when it must have ended
	config  *configuration.Configuration
	route   *configuration.Route
	tenant  *configuration.Tenant
	service *configuration.Service
	prompt  *prompt
	body    []byte
	id      string

	exchange *exchange
	attempts int
	chosen   balance.Command // of the newest attempt
	pace     pace
	memory   string  // that the attempt under way runs on
	mayRun   bool    // an instance may have begun to work on it
	answer   *answer // what is passed on to the client; nil until something is
	failure  *failed // the last answer of an instance that was a failure
}

// failed is an instance's own failure, kept to be passed on unchanged if no other attempt follows.
type failed struct {
	status int
	header http.Header
	body   []byte
}

const (
	requestDeadline = "X-Deadline-Ms"
	notExecuted     = "X-Not-Executed"
	serverStamp     = "X-Server-Stamp"
	lastEventID     = "Last-Event-Id"
	versionsHeader  = "Versions"

	mostFailureBody = 256 << 10
	mostPriority    = 9
)

func newCall(s *Server, w http.ResponseWriter, r *http.Request) *call {
	return &call{s: s, w: w, r: r, arrived: time.Now(), id: r.Header.Get(upstream.RequestID)}
}

func (c *call) serve() {
	if !c.admit() {
		return
	}
	c.exchange = newExchange()
	service := c.pickService()
	c.service = c.config.Services[service]
	request := balance.Request{Route: c.route, Service: service, Budget: float64(time.Until(c.exit)) / float64(time.Millisecond)}
	if c.prompt = parsePrompt(c.r.Header); c.prompt != nil {
		candidates, limited := c.s.candidates(service, c.prompt.model)
		request.Limited = limited
		for _, i := range candidates {
			request.Permitted = append(request.Permitted, i.ID)
		}
		request.Prompt = c.s.describe(c.prompt, c.config, c.tenant, c.service.Engine, candidates)
	}
	c.s.logger.Debug().Str("request", c.id).Str("route", c.route.Name).Str("service", service).Msg("request arrived")
	c.s.dispatcher.arrive(c.exchange, request)
	defer c.s.dispatcher.forget(c.exchange)
	for {
		select {
		case <-c.r.Context().Done():
			c.s.logger.Info().Str("request", c.id).Int("attempts", c.attempts).Bool("begun", c.answer != nil && c.answer.begun).
				Dur("after", time.Since(c.arrived)).Msg("the client's connection ended before its answer")
			panic(http.ErrAbortHandler) // to return would be an empty success, and a client may have ended its side alone
		case command := <-c.exchange.commands:
			if c.carry(command) {
				return
			}
		}
	}
}

// admit checks the request against the configuration and reads it; false: it has been answered.
func (c *call) admit() bool {
	if c.s.leaving.Load() {
		c.w.Header().Set("Connection", "close")
	}
	if c.config = c.s.awaitConfiguration(c.r.Context()); c.config == nil {
		c.refuse(notReadyRetry)
		return false
	}
	if c.route = c.config.Route(c.r.Host, c.r.URL.Path); c.route == nil {
		c.deny(http.StatusNotFound)
		return false
	}
	if !c.authorized() {
		c.deny(http.StatusUnauthorized)
		return false
	}
	c.exit = c.arrived.Add(c.route.Timeout)
	if left, err := strconv.ParseFloat(c.r.Header.Get(requestDeadline), 64); err == nil && left >= 0 {
		if until := c.arrived.Add(time.Duration(left * float64(time.Millisecond))); until.Before(c.exit) {
			c.exit = until
		}
	}
	if !c.readBody() {
		return false
	}
	if c.s.closing.Load() {
		c.refuse(0) // others take it at once; passed on, it would be cut when this broker ends
		return false
	}
	return true
}

// authorized finds the tenant by the key; false: the route needs one and there is none.
func (c *call) authorized() bool {
	if c.route.Public || !c.config.HasTenants() {
		return true
	}
	key, isBearer := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
	if !isBearer {
		return false
	}
	c.tenant = c.config.TenantOf(strings.TrimSpace(key))
	return c.tenant != nil
}

func (c *call) readBody() bool {
	limit := c.config.Limits.BodyBytes
	if c.r.ContentLength > limit {
		c.deny(http.StatusRequestEntityTooLarge)
		return false
	}
	body, err := io.ReadAll(io.LimitReader(c.r.Body, limit+1))
	if err != nil {
		panic(http.ErrAbortHandler) // the client has gone
	}
	if int64(len(body)) > limit {
		c.deny(http.StatusRequestEntityTooLarge)
		return false
	}
	c.body = body
	return true
}

// pickService draws one of the route's services by weight.
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

// carry does what the module wants; true: the request has ended.
func (c *call) carry(command balance.Command) bool {
	c.s.logger.Debug().Str("request", c.id).Int("command", int(command.Kind)).Str("instance", command.Instance).Msg("decided")
	switch command.Kind {
	case balance.Send:
		c.attempt(command)
		return false
	case balance.Finish:
		c.s.Served.Add(1)
		c.notePace()
		return true
	case balance.Refuse:
		if c.mayRun {
			c.fail()
			return true
		}
		c.refuse(time.Duration(command.After * float64(time.Millisecond)))
		return true
	case balance.Fail:
		c.fail()
		return true
	}
	return false
}

// attempt sends the request to one instance and passes its answer on.
func (c *call) attempt(command balance.Command) {
	number := c.attempts
	c.attempts++
	c.chosen = command
	instance, known := c.s.instance(command.Instance)
	if !known || instance.State == instances.Gone || c.outdated(instance) {
		c.s.dispatcher.ended(c.exchange, number, logic.Superseded, 0)
		return
	}
	ctx, cancel := c.exchange.begin(c.r.Context())
	defer cancel()
	ctx, stop := context.WithDeadline(ctx, c.exit)
	defer stop()
	begun := time.Now()
	request, version := c.request(instance, command)
	withdrawn := c.withdraw(cancel, instance, version)
	response, progress, err := c.s.pool.Send(ctx, instance.Address, request)
	if withdrawn() {
		c.exchange.withdraw()
	}
	outcome := c.take(response, progress, err, instance, number, begun)
	if response != nil {
		response.Close()
	}
	outcome = c.cause(outcome)
	c.s.logger.Debug().Str("request", c.id).Str("instance", instance.ID).Str("source", command.Source).Int("attempt", number).
		Int64("version", version).Int("outcome", int(outcome)).Err(err).Dur("took", time.Since(begun)).Msg("attempt ended")
	c.s.dispatcher.ended(c.exchange, number, outcome, time.Since(begun))
	if outcome != logic.Completed && c.answer != nil && c.answer.closed() {
		c.fail() // whatever the module wants next: no second run goes on with these bytes
	}
}

// outdated says whether an instance's weights are too old by now. A request was told at its arrival where it may run; it may
// come here much later.
func (c *call) outdated(instance instances.Instance) bool {
	return c.prompt != nil && instance.VersionOf(c.prompt.model) < c.s.weights.Oldest(time.Now(), c.prompt.model)
}

// withdraw cancels an attempt that has not begun when the time of the instance's weights is over: it would begin on them
// later. The function that it returns stops that, once the answer begins or fails, and says whether it was done.
func (c *call) withdraw(cancel context.CancelFunc, instance instances.Instance, version int64) (stop func() (done bool)) {
	if c.prompt == nil {
		return func() bool { return false }
	}
	by := c.s.weights.BeginBy(c.prompt.model, version)
	if by.IsZero() {
		return func() bool { return false }
	}
	timer := time.AfterFunc(time.Until(by), func() {
		c.s.logger.Info().Str("request", c.id).Str("instance", instance.ID).Int64("version", version).Msg("taken back: its weights' time is over")
		cancel()
	})
	return func() bool { return !timer.Stop() }
}

// cause tells apart what this broker or its client broke off, which says nothing of the instance.
func (c *call) cause(outcome logic.Outcome) logic.Outcome {
	recalled, ended := c.exchange.end()
	switch {
	case outcome != logic.Severed && outcome != logic.ConnRefused:
		return outcome
	case !time.Now().Before(c.exit):
		return logic.Overdue
	case recalled || ended || c.r.Context().Err() != nil:
		return logic.Recalled
	}
	return outcome
}

// take reads an answer and says how the attempt ended.
func (c *call) take(response *upstream.Response, progress upstream.Progress, err error, instance instances.Instance, number int,
	begun time.Time) logic.Outcome {
	if err != nil {
		if progress == upstream.NotSent {
			return logic.ConnRefused
		}
		c.mayRun = true
		return logic.Severed
	}
	c.learnVersion(instance, response.Header)
	if rejected, outcome := c.rejected(response, instance); rejected {
		return outcome
	}
	c.mayRun = true
	if response.Header.Get("Content-Encoding") != "" || response.Status < http.StatusOK {
		return logic.Errored // not the instance's body
	}
	if response.Status >= http.StatusInternalServerError {
		return c.keepFailure(response)
	}
	return c.pass(response, instance, number, begun)
}

// rejected says whether an instance did not run the request.
func (c *call) rejected(response *upstream.Response, instance instances.Instance) (bool, logic.Outcome) {
	if response.Status == http.StatusMisdirectedRequest {
		_, _ = io.Copy(io.Discard, response)
		if response.FromAnother(instance.ID) {
			c.s.displaced(instance.ID)
		}
		return true, logic.Superseded
	}
	if response.Header.Get(notExecuted) == "" {
		return false, 0
	}
	_, _ = io.Copy(io.Discard, response)
	return true, logic.Saturated
}

// keepFailure keeps an instance's own failure. Where the request may run again the module decides; else it ends here.
func (c *call) keepFailure(response *upstream.Response) logic.Outcome {
	body, err := io.ReadAll(io.LimitReader(response, mostFailureBody))
	if err != nil {
		return logic.Severed
	}
	c.failure = &failed{status: response.Status, header: response.Header, body: body}
	return logic.Errored
}

// pass passes an answer on to the client.
func (c *call) pass(response *upstream.Response, instance instances.Instance, number int, begun time.Time) logic.Outcome {
	if c.answer == nil {
		c.answer = &answer{w: c.w, stream: c.route.Kind == configuration.Streaming, resumable: c.route.Resumable, last: c.r.Header.Get(lastEventID)}
	}
	began := false
	onData := func() {
		c.pace.event(time.Now())
		if began || c.route.Kind != configuration.Streaming {
			return
		}
		began = true
		c.s.dispatcher.began(c.exchange, number, time.Since(begun))
		c.noteRead(instance.ID)
	}
	if err := c.answer.copy(response, onData); err != nil {
		if errors.Is(err, errClientGone) {
			return logic.Recalled
		}
		return logic.Severed
	}
	return logic.Completed
}

// noteRead notes in the holder table that an instance has read the request's prompt.
func (c *call) noteRead(id string) {
	if c.prompt == nil {
		return
	}
	c.s.holders.with(func(t *holders.Table) { t.Read(id, c.prompt.keys(c.memory), c.prompt.counts()) })
}

// learnVersion takes the version of the weights that an answer tells.
func (c *call) learnVersion(instance instances.Instance, header http.Header) {
	if c.prompt == nil {
		return
	}
	version, err := strconv.ParseInt(strings.TrimSpace(header.Get(versionsHeader)), 10, 64)
	if err != nil || version <= instance.VersionOf(c.prompt.model) {
		return
	}
	c.s.setVersion(instance.ID, c.prompt.model, version)
}

// setVersion notes a version that an instance was seen to run.
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

// request makes the request as it goes to an instance.
func (c *call) request(instance instances.Instance, command balance.Command) (*upstream.Request, int64) {
	header := forwarded(c.r.Header)
	header.Set(upstream.RequestID, c.id)
	header.Set("X-Expect-Instance", instance.ID)
	priority := c.route.Priority
	if c.tenant != nil {
		header.Set("X-Tenant", c.tenant.Name)
		priority = c.tenant.Priority
	}
	header.Set("Priority", strconv.Itoa(min(max(0, priority), mostPriority)))
	if c.answer != nil && c.answer.last != "" {
		header.Set(lastEventID, c.answer.last)
	}
	version := int64(0)
	if c.prompt != nil {
		version = instance.VersionOf(c.prompt.model)
		header.Set("Expect-Version", strconv.FormatInt(version, 10))
		c.memory = c.salt(version)
		header.Set("Cache-Salt", c.memory)
		if address := c.sourceAddress(command.Source, version); address != "" {
			header.Set("Kv-Fetch", address)
		}
		if name, store := c.config.KVStore(); store != nil && command.Save && command.Source != StoreName(name) {
			header.Set("Kv-Save", store.Address)
		}
	}
	return &upstream.Request{Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body, ID: c.id,
		Complete: func(h http.Header) {
			h.Set(requestDeadline, strconv.FormatInt(max(1, time.Until(c.exit).Milliseconds()), 10))
		}}, version
}

// salt names the memory that an attempt which is sent now runs on. Who is isolated goes by the configuration in force now: the
// request may have arrived long ago.
func (c *call) salt(version int64) string {
	config, tenant := c.s.Configuration(), c.tenant
	if tenant != nil {
		if now := config.TenantNamed(tenant.Name); now != nil {
			tenant = now
		}
	}
	return salt(c.prompt.model, version, config.Walls(), tenant)
}

// sourceAddress is the address of an instance or store to fetch from; empty: there is none, or it has other weights.
func (c *call) sourceAddress(source string, version int64) string {
	if name, store := c.config.KVStore(); store != nil && source == StoreName(name) {
		return store.Address
	}
	if from, known := c.s.instance(source); known && from.VersionOf(c.prompt.model) == version {
		return from.Address
	}
	return ""
}

// ownHeaders are set by the broker, or concern one connection only; what a client sends of them is not passed on.
var ownHeaders = []string{"Authorization", "Cache-Salt", "Connection", "Content-Length", "Expect", "Expect-Version", "Keep-Alive", "Kv-Fetch",
	"Kv-Save", "Priority", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"X-Deadline-Ms", "X-Expect-Instance", "X-Tenant"}

// forwarded returns the headers that are passed along.
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

// deny answers that the configuration does not allow the request.
func (c *call) deny(status int) {
	c.head()
	c.w.WriteHeader(status)
}

// refuse answers that the request has not run and never will, and when the client may come back.
func (c *call) refuse(after time.Duration) {
	c.s.Refused.Add(1)
	c.head()
	c.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	c.w.WriteHeader(http.StatusServiceUnavailable)
}

// fail gives the request up. An answer that has begun is broken off; an instance's own failure is passed on.
func (c *call) fail() {
	c.s.Failed.Add(1)
	if c.answer != nil && c.answer.begun {
		panic(http.ErrAbortHandler)
	}
	c.head()
	if f := c.failure; f != nil {
		copyHeader(c.w.Header(), f.header)
		c.w.WriteHeader(f.status)
		_, _ = c.w.Write(f.body)
		return
	}
	if !time.Now().Before(c.exit.Add(-time.Duration(endMargin))) {
		c.w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	c.w.WriteHeader(http.StatusBadGateway)
}

// endMargin is how long before its end a request is taken to have run out of time.
const endMargin = 20 * time.Millisecond

func (c *call) head() {
	if c.id != "" {
		c.w.Header().Set(upstream.RequestID, c.id)
	}
}
