// Package operatorapi provides the HTTP handler of the control address: operators change and read the configuration and
// name versions of weights, and service instances send heartbeats and deregister. It does no I/O of its own.
package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"github.com/phuslu/log"

	"gullstair/internal/chunks"
	"gullstair/internal/clientbudget"
	"gullstair/internal/configuration"
	"gullstair/internal/controlstate"
	"gullstair/internal/inputerrors"
	"gullstair/internal/instances"
)

const (
	maxBodyBytes      = 64 << 20
	maxHeartbeatBytes = 256 << 10
	baseVersionHeader = "X-If-Base-Version"
	requestTimeout    = 2500 * time.Millisecond
)

// Control provides the operations of a broker that the API exposes.
type Control interface {
	// Replace replaces version base of the configuration by a validated one.
	Replace(ctx context.Context, base int64, c *configuration.Configuration) error
	// Update applies a patch to version base of the configuration.
	Update(ctx context.Context, base int64, patch *configuration.Patch) error
	// Configuration returns the newest configuration as it was sent, or nil if there is none yet.
	Configuration(ctx context.Context) ([]byte, error)
	// NameWeights makes a version of a model's weights the target of a roll-out.
	NameWeights(ctx context.Context, model string, version int64) error
	// Heartbeat records the heartbeat of an instance. If the instance drains, it returns nil only once the brokers that may
	// send requests to the instance have been notified.
	Heartbeat(ctx context.Context, i instances.Instance) error
	// Deregister records that an instance has gone.
	Deregister(ctx context.Context, id string) error
	// Status returns the state of this broker and what it knows about the fleet.
	Status() any
}

type api struct {
	control Control
	logger  *log.Logger
}

// New returns the handler of the control address.
func New(control Control, logger *log.Logger) http.Handler {
	a := &api{control: control, logger: logger}
	router := httprouter.New()
	router.POST("/v1/config/replace", a.replace)
	router.POST("/v1/config/update", a.update)
	router.GET("/v1/config/read", a.read)
	router.POST("/v1/version-put", a.nameWeights)
	router.POST("/v1/instances/:id/heartbeat", a.heartbeat)
	router.POST("/v1/instances/:id/deregister", a.deregister)
	router.GET("/v1/status", a.status)
	return router
}

// errorBody is the JSON body of an error answer.
type errorBody struct {
	Error    string   `json:"error"`
	Findings []string `json:"findings,omitempty"`
}

func (a *api) writeError(w http.ResponseWriter, status int, err error) {
	body := errorBody{Error: err.Error()}
	var found *inputerrors.Error
	if errors.As(err, &found) {
		for _, f := range found.Findings {
			body.Findings = append(body.Findings, f.Place+" "+f.Message)
		}
	}
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the client has disconnected
}

// detachedContext returns a context with the request timeout that is not cancelled when the client disconnects: the order is carried
// out even if its answer is lost.
func detachedContext(r *http.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(r.Context()), requestTimeout)
}

func (a *api) replace(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	base, raw, ok := a.readChange(w, r)
	if !ok {
		return
	}
	c, err := configuration.Parse(raw)
	if err != nil {
		a.writeError(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := detachedContext(r)
	defer cancel()
	a.answerChange(w, c.Version, a.control.Replace(ctx, base, c))
}

func (a *api) update(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	base, raw, ok := a.readChange(w, r)
	if !ok {
		return
	}
	patch, err := configuration.ParsePatch(raw)
	if err != nil {
		a.writeError(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := detachedContext(r)
	defer cancel()
	a.answerChange(w, patch.Version, a.control.Update(ctx, base, patch))
}

// readChange reads a change of the configuration and its base version. If ok is false, it has answered with an error.
func (a *api) readChange(w http.ResponseWriter, r *http.Request) (base int64, raw []byte, ok bool) {
	raw, ok = a.readBody(w, r, maxBodyBytes)
	if !ok {
		return 0, nil, false
	}
	base, err := strconv.ParseInt(strings.TrimSpace(r.Header.Get(baseVersionHeader)), 10, 64)
	if err != nil && r.Header.Get(baseVersionHeader) != "" {
		a.writeError(w, http.StatusBadRequest, errors.Newf("%s is not a number", baseVersionHeader))
		return 0, nil, false
	}
	return base, raw, true
}

// readBody reads the body of a call. If ok is false, it has answered that the call was not carried out.
func (a *api) readBody(w http.ResponseWriter, r *http.Request, limit int64) (raw []byte, ok bool) {
	body, err := chunks.Read(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		defer chunks.Release(body)
		return chunks.Join(body), true
	}
	w.Header().Set("Connection", "close") // the rest of the body is not read
	err = errors.Wrap(err, "read the body")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		a.writeError(w, http.StatusRequestEntityTooLarge, errors.Newf("the body has more than %d bytes", tooLarge.Limit))
	case errors.Is(err, clientbudget.ErrNoRoom):
		w.Header().Set("Retry-After", strconv.FormatFloat(clientbudget.RetryAfter.Seconds(), 'f', 3, 64))
		a.writeError(w, http.StatusServiceUnavailable, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.writeError(w, http.StatusRequestTimeout, err)
	default:
		a.writeError(w, http.StatusBadRequest, err)
	}
	return nil, false
}

// answerChange answers the operator with the result of a change of the configuration to the given version.
func (a *api) answerChange(w http.ResponseWriter, version int64, err error) {
	var found *inputerrors.Error
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, struct {
			Version int64 `json:"version"`
		}{version})
	case errors.Is(err, controlstate.ErrConflict):
		a.writeError(w, http.StatusPreconditionFailed, err)
	case errors.Is(err, controlstate.ErrStaleVersion), errors.As(err, &found):
		a.writeError(w, http.StatusBadRequest, err)
	default:
		a.writeUnavailable(w, "configuration", err)
	}
}

// writeUnavailable answers 503: it is unknown whether the order was accepted, and the client must send it again.
func (a *api) writeUnavailable(w http.ResponseWriter, what string, err error) {
	a.logger.Warn().Err(err).Str("order", what).Msg("no clear answer to an order")
	a.writeError(w, http.StatusServiceUnavailable, err)
}

func (a *api) read(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ctx, cancel := detachedContext(r)
	defer cancel()
	begun := time.Now()
	raw, err := a.control.Configuration(ctx)
	a.logger.Info().Err(err).Str("from", r.RemoteAddr).Int("bytes", len(raw)).Dur("took", time.Since(begun)).Msg("configuration asked for")
	if err != nil {
		a.writeUnavailable(w, "read", err)
		return
	}
	if raw == nil {
		a.writeError(w, http.StatusNotFound, errors.New("there is no configuration yet"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

func (a *api) nameWeights(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body := struct {
		Model   string `json:"model"`
		Version int64  `json:"version"`
	}{}
	raw, ok := a.readBody(w, r, maxHeartbeatBytes)
	if !ok {
		return
	}
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(&body); err != nil || body.Model == "" || body.Version < 1 {
		a.writeError(w, http.StatusBadRequest, errors.New("a model and a version of 1 or more are needed"))
		return
	}
	ctx, cancel := detachedContext(r)
	defer cancel()
	if err := a.control.NameWeights(ctx, body.Model, body.Version); err != nil {
		a.writeUnavailable(w, "weights", err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (a *api) heartbeat(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	raw, ok := a.readBody(w, r, maxHeartbeatBytes)
	if !ok {
		return
	}
	i, err := instances.ParseHeartbeat(p.ByName("id"), raw)
	if err != nil {
		a.writeError(w, http.StatusBadRequest, err)
		return
	}
	if err := a.control.Heartbeat(r.Context(), i); err != nil {
		a.writeUnavailable(w, "heartbeat", err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (a *api) deregister(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	if err := a.control.Deregister(r.Context(), p.ByName("id")); err != nil {
		a.writeUnavailable(w, "deregister", err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (a *api) status(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, a.control.Status())
}
