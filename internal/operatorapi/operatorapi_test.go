package operatorapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/phuslu/log"

	"gullstair/internal/clientbudget"
	"gullstair/internal/configuration"
	"gullstair/internal/controlstate"
	"gullstair/internal/instances"
)

// fakeControl is a Control that holds only the control state, without a fleet.
type fakeControl struct{ state controlstate.State }

func (r *fakeControl) Replace(_ context.Context, base int64, c *configuration.Configuration) error {
	next, _, err := r.state.Replace(base, c.Version, c.Raw)
	r.state = next
	return err
}

func (r *fakeControl) Update(_ context.Context, base int64, p *configuration.Patch) error {
	next, _, err := r.state.Update(base, p.Version, p.Raw, func(whole []byte) ([]byte, error) {
		c, err := p.Apply(whole)
		if err != nil {
			return nil, err
		}
		return c.Raw, nil
	})
	r.state = next
	return err
}

func (r *fakeControl) Configuration(context.Context) ([]byte, error)     { return r.state.Config, nil }
func (*fakeControl) NameWeights(context.Context, string, int64) error    { return nil }
func (*fakeControl) Heartbeat(context.Context, instances.Instance) error { return nil }
func (*fakeControl) Deregister(context.Context, string) error            { return nil }
func (*fakeControl) Status() any                                         { return nil }

const route = `{"name":"one","host":"h","path_prefix":"/1/","timeout_ms":10,"service":"a"}`

// TestUpdateOverHTTP sends patches over HTTP and checks the status and the findings of each answer.
func TestUpdateOverHTTP(t *testing.T) {
	handler := New(&fakeControl{}, &log.Logger{Level: log.PanicLevel})
	send := func(path, base, body string) (int, errorBody) {
		request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
		request.Header.Set(baseVersionHeader, base)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		answer := errorBody{}
		if err := json.Unmarshal(recorder.Body.Bytes(), &answer); err != nil {
			t.Fatalf("%s: %v", recorder.Body, err)
		}
		return recorder.Code, answer
	}
	if status, _ := send("/v1/config/replace", "0", `{"version":2,"services":[{"name":"a"}],"routes":[`+route+`]}`); status != http.StatusOK {
		t.Fatalf("the first configuration: %d", status)
	}
	valid := `{"version":4,"upsert":{"services":[{"name":"b"}]},"remove":{"routes":["r-old"]}}`
	for _, c := range []struct {
		base, body string
		status     int
		finding    string
	}{
		{"x", valid, http.StatusBadRequest, ""},
		{"1", valid, http.StatusPreconditionFailed, ""},
		{"2", `{"version":4`, http.StatusBadRequest, ""},
		{"2", `{"version":2,"remove":{"routes":["one"]}}`, http.StatusBadRequest, ""},
		{"2", `{"version":4,"remove":{"services":["a"]}}`, http.StatusBadRequest, `routes[0] one names the unknown service "a"`},
		{"2", `{"version":4,"upsert":{"routes":[` + strings.Replace(route, "10", "0", 1) + `]}}`, http.StatusBadRequest, "upsert.routes[0] one timeout_ms is not above 0"},
		{"2", valid, http.StatusOK, ""},
		{"2", valid, http.StatusOK, ""}, // sent again as if the answer had been lost
		{"2", strings.Replace(valid, "r-old", "r-other", 1), http.StatusPreconditionFailed, ""},
		{"4", `{"version":5}`, http.StatusOK, ""},
		{"2", valid, http.StatusOK, ""},
	} {
		status, answer := send("/v1/config/update", c.base, c.body)
		if status != c.status || c.finding != "" && fmt.Sprint(answer.Findings) != "["+c.finding+"]" {
			t.Errorf("%s on %s: %d %+v, want %d", c.body, c.base, status, answer, c.status)
		}
	}
	huge := strings.Repeat(" ", maxBodyBytes+1)
	if status, _ := send("/v1/config/update", "5", huge); status != http.StatusRequestEntityTooLarge {
		t.Errorf("a body over the limit got %d", status)
	}
}

// TestBodyThatBreaksOff checks that a call is not acknowledged if its body has not arrived whole.
func TestBodyThatBreaksOff(t *testing.T) {
	handler := New(&fakeControl{}, &log.Logger{Level: log.PanicLevel})
	for cause, want := range map[error]int{
		io.ErrUnexpectedEOF:    http.StatusBadRequest,
		os.ErrDeadlineExceeded: http.StatusRequestTimeout,
		clientbudget.ErrNoRoom: http.StatusServiceUnavailable,
	} {
		for _, path := range []string{"/v1/instances/i/heartbeat", "/v1/version-put", "/v1/config/replace", "/v1/config/update"} {
			body := io.MultiReader(strings.NewReader(`{"service":"s","address":"127.0.0.1:1","model":"m","version":1}`), iotest.ErrReader(cause))
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, body))
			if recorder.Code != want {
				t.Errorf("%s, %v: %d, want %d", path, cause, recorder.Code, want)
			}
		}
	}
}
