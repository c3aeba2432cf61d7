package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

const updatePath = "/v1/config/update"

// markPatch returns a patch that changes the path of the route "mark" to the one of a version.
func markPatch(version int64) string {
	return fmt.Sprintf(`{"version":%d,"upsert":{"routes":[{"name":"mark","host":"h","path_prefix":"/mark%d/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"service":"plain","public":true}]},"remove":{"routes":["r-old"]}}`, version, version)
}

// TestPatchesRaceConfigurations has two operators change the configuration concurrently, one by a patch and one by a whole
// configuration, and loses some of the answers. Exactly one of each two must win, and its result must be in force. An
// accepted change must be acknowledged again by any broker, also after later changes and after brokers were killed.
func TestPatchesRaceConfigurations(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, operator := startedFleet(t, 31, 5, 3)
		type order struct {
			path, body string
			base       int64
		}
		var accepted []order
		version := int64(1)
		for round := range 24 {
			next := version + 1 + int64(round%3)
			orders := []order{{updatePath, markPatch(next), version}, {"/v1/config/replace", configurationOf(next, ""), version}}
			results := make([]chan int, len(orders))
			for i, o := range orders {
				results[i] = make(chan int, 1)
				go func() {
					if round%3 == i {
						w.sendWithoutAnswer(operator, w.machines[(round+2*i)%len(w.machines)], o.path, o.base, o.body)
					}
					results[i] <- w.change(operator, o.path, o.base, next, o.body)
				}()
			}
			patched, replaced := <-results[0], <-results[1]
			if (patched == http.StatusOK) == (replaced == http.StatusOK) || patched+replaced != http.StatusOK+http.StatusPreconditionFailed {
				w.failf("for version %d an update got %d and a whole configuration %d", next, patched, replaced)
			}
			winner := orders[1]
			if patched == http.StatusOK {
				winner = orders[0]
			}
			accepted = append(accepted, winner)
			version = next
			if held := w.readBack(operator); !strings.Contains(held, fmt.Sprintf(`"/mark%d/"`, version)) || !strings.Contains(held, `"key-walled"`) {
				w.failf("after version %d another configuration is in force: %.60s", version, held)
			}
			if round == 8 {
				w.kill(w.machines[0], false)
				time.Sleep(5 * time.Second)
				w.restart(w.machines[0], true)
				time.Sleep(5 * time.Second)
			}
		}
		for _, o := range accepted {
			if status := w.change(operator, o.path, o.base, 0, o.body); status != http.StatusOK {
				w.failf("the change accepted on version %d, repeated after all later ones, got %d", o.base, status)
			}
		}
		if status := w.change(operator, updatePath, version, 0, `{"version":900,"remove":{"services":["plain"]}}`); status != http.StatusBadRequest {
			w.failf("an update that leaves a route without its service got %d", status)
		}
		time.Sleep(2 * time.Second)
		for _, m := range w.machines {
			if a := w.sendRequest(w.client("10.8.0.3"), m, fmt.Sprintf("mark%d", version), "open", 0); a.status != http.StatusOK {
				w.failf("a route of the newest configuration got %d at %s", a.status, m.name)
			}
		}
		w.shutdown()
	})
}

// sendWithoutAnswer sends a change and disconnects before the answer arrives.
func (w *simFleet) sendWithoutAnswer(client *http.Client, m *machine, path string, base int64, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.ip+":"+controlPort+path, strings.NewReader(body))
	request.Header.Set("X-If-Base-Version", strconv.FormatInt(base, 10))
	if response, err := client.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
}
