// Package operatorapi serves the control address: the operator's configuration, the versions of weights, and the
// heartbeats of service instances.
package operatorapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"github.com/phuslu/log"

	"gullstair/internal/configuration"
	"gullstair/internal/controlstate"
	"gullstair/internal/finding"
	"gullstair/internal/instances"
)

const (
	mostBody       = 64 << 20
	mostHeartbeat  = 256 << 10
	baseVersion    = "X-If-Base-Version"
	requestTimeout = 2500 * time.Millisecond
)

// Control is what the API needs of the broker.
type Control interface {
	// Replace has a checked configuration take the place of version base.
	Replace(ctx context.Context, base int64, c *configuration.Configuration) error
	// Update has a patch change version base.
	Update(ctx context.Context, base int64, patch *configuration.Patch) error
	// Configuration returns the newest configuration as it was sent; nil: there is none yet.
	Configuration(ctx context.Context) ([]byte, error)
	// NameWeights names a version of a model's weights.
	NameWeights(ctx context.Context, model string, version int64) error
	// Heartbeat takes what an instance says of itself. It returns once all who may send to it know what matters.
	Heartbeat(ctx context.Context, i instances.Instance) error
	// Deregister notes that an instance ends.
	Deregister(ctx context.Context, id string) error
	// Status describes this broker and what it knows.
	Status() any
}

type api struct {
	control Control
	logger  *log.Logger
}

// New makes the handler of the control address.
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

// problem is the body of a refusal.
type problem struct {
	Error    string   `json:"error"`
	Findings []string `json:"findings,omitempty"`
}

func (a *api) refuse(w http.ResponseWriter, status int, err error) {
	body := problem{Error: err.Error()}
	var found *finding.Error
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
	_ = json.NewEncoder(w).Encode(body) // the caller has gone if this fails
}

// bound keeps an order going when its caller leaves: the answer may be lost, the order is carried on.
func bound(r *http.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(r.Context()), requestTimeout)
}

func (a *api) replace(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	base, raw, ok := a.readChange(w, r)
	if !ok {
		return
	}
	c, err := configuration.Parse(raw)
	if err != nil {
		a.refuse(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := bound(r)
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
		a.refuse(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := bound(r)
	defer cancel()
	a.answerChange(w, patch.Version, a.control.Update(ctx, base, patch))
}

// readChange reads a change of the configuration and the version that it builds on; false: it has been refused.
func (a *api) readChange(w http.ResponseWriter, r *http.Request) (base int64, raw []byte, ok bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		a.refuse(w, http.StatusRequestEntityTooLarge, errors.Newf("the body has more than %d bytes", tooLarge.Limit))
		return 0, nil, false
	}
	if err != nil {
		a.refuse(w, http.StatusBadRequest, errors.Wrap(err, "read the body"))
		return 0, nil, false
	}
	base, err = strconv.ParseInt(strings.TrimSpace(r.Header.Get(baseVersion)), 10, 64)
	if err != nil && r.Header.Get(baseVersion) != "" {
		a.refuse(w, http.StatusBadRequest, errors.Newf("%s is not a number", baseVersion))
		return 0, nil, false
	}
	return base, raw, true
}

// answerChange tells the operator what became of a change of the configuration to a version.
func (a *api) answerChange(w http.ResponseWriter, version int64, err error) {
	var found *finding.Error
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, struct {
			Version int64 `json:"version"`
		}{version})
	case errors.Is(err, controlstate.ErrConflict):
		a.refuse(w, http.StatusPreconditionFailed, err)
	case errors.Is(err, controlstate.ErrOld), errors.As(err, &found):
		a.refuse(w, http.StatusBadRequest, err)
	default:
		a.unclear(w, "configuration", err)
	}
}

// unclear answers that it is not certain whether an order was taken; the caller sends it again.
func (a *api) unclear(w http.ResponseWriter, what string, err error) {
	a.logger.Warn().Err(err).Str("order", what).Msg("no clear answer to an order")
	a.refuse(w, http.StatusServiceUnavailable, err)
}

func (a *api) read(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ctx, cancel := bound(r)
	defer cancel()
	begun := time.Now()
	raw, err := a.control.Configuration(ctx)
	a.logger.Info().Err(err).Str("from", r.RemoteAddr).Int("bytes", len(raw)).Dur("took", time.Since(begun)).Msg("configuration asked for")
	if err != nil {
		a.unclear(w, "read", err)
		return
	}
	if raw == nil {
		a.refuse(w, http.StatusNotFound, errors.New("there is no configuration yet"))
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
	if err := json.NewDecoder(io.LimitReader(r.Body, mostHeartbeat)).Decode(&body); err != nil || body.Model == "" || body.Version < 1 {
		a.refuse(w, http.StatusBadRequest, errors.New("a model and a version of 1 or more are needed"))
		return
	}
	ctx, cancel := bound(r)
	defer cancel()
	if err := a.control.NameWeights(ctx, body.Model, body.Version); err != nil {
		a.unclear(w, "weights", err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (a *api) heartbeat(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, mostHeartbeat))
	if err != nil {
		return
	}
	i, err := instances.ParseHeartbeat(p.ByName("id"), raw)
	if err != nil {
		a.refuse(w, http.StatusBadRequest, err)
		return
	}
	if err := a.control.Heartbeat(r.Context(), i); err != nil {
		a.unclear(w, "heartbeat", err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (a *api) deregister(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	if err := a.control.Deregister(r.Context(), p.ByName("id")); err != nil {
		a.unclear(w, "deregister", err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (a *api) status(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, a.control.Status())
}
