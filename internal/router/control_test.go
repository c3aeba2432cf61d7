package router

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gullstair/internal/instances"
)

// These tests check the guarantees of docs/control.md on a fleet in virtual time.

const operatorTimeout = time.Second // an operator's timeout for one broker

// call makes one call to a broker's control address and measures how long it takes.
func (w *simFleet) call(m *machine, method, path, base, body string) (status int, text string, took time.Duration) {
	client := w.client("10.8.0.9")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+m.ip+":"+controlPort+path, strings.NewReader(body))
	if base != "" {
		request.Header.Set("X-If-Base-Version", base)
	}
	begun := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, "", time.Since(begun)
	}
	defer response.Body.Close()
	all, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(all), time.Since(begun)
}

func (w *simFleet) sendConfiguration(m *machine, base, version int64, body string) (int, time.Duration) {
	status, _, took := w.call(m, http.MethodPost, "/v1/config/replace", strconv.FormatInt(base, 10), body)
	return status, took
}

// mustConfigure sends a configuration until a broker gives a definite answer, which must be 200.
func (w *simFleet) mustConfigure(operator *http.Client, base, version int64) {
	if status := w.replace(operator, base, version, configurationOf(version, "")); status != http.StatusOK {
		w.failf("configuration %d on %d got %d", version, base, status)
	}
}

// heartbeat sends one heartbeat of an instance with the given state to a broker.
func (w *simFleet) heartbeat(m *machine, s *modelServer, state string) int {
	s.mu.Lock()
	s.sequence++
	body, _ := json.Marshal(map[string]any{"service": s.service, "address": s.ip + ":80", "zone": s.zone, "slots": 8, "state": state,
		"models": []map[string]any{{"name": modelName, "version": s.version}}, "sequence": s.sequence})
	s.mu.Unlock()
	status, _, _ := w.call(m, http.MethodPost, "/v1/instances/"+s.id+"/heartbeat", "", string(body))
	return status
}

// isolate cuts the links between a machine and all other brokers, or restores them. Clients, instances and the operator can
// still reach it. With oneWay, only the direction from the machine is cut.
func (w *simFleet) isolate(m *machine, cut bool, oneWay ...bool) {
	for _, other := range w.machines {
		if other == m {
			continue
		}
		if len(oneWay) > 0 {
			w.net.CutOneWay(m.ip, other.ip, cut)
			continue
		}
		w.net.Cut(m.ip, other.ip, cut)
	}
}

// add starts a new machine with an empty disk.
func (w *simFleet) add(core bool) *machine {
	number := len(w.machines) + 1
	m := &machine{ip: fmt.Sprintf("10.0.0.%d", number), name: fmt.Sprintf("front-%d", number), zone: zones[number%len(zones)], core: core,
		disk: &memoryDisk{files: map[string]*memoryFile{}}}
	w.setMachines(append(slices.Clone(w.machines), m))
	w.start(m)
	return m
}

// voters returns the addresses of the voters that a broker knows.
func (m *machine) voters() []string {
	known, _ := m.broker.node.Known()
	return known.Value.Members.Addresses()
}

// heldSequence returns the sequence number of the value that a broker's replica holds.
func (m *machine) heldSequence() uint64 {
	_, sequence, _ := m.broker.node.Replica()
	return sequence
}

// TestCutOffForTwentySeconds isolates one control machine from all others, in both directions and in one, while
// configurations change. It must not return an old configuration, and must answer orders with 503 within the operator's
// timeout, neither confirming nor rejecting them. Soon after the partition heals it has the newest configuration.
func TestCutOffForTwentySeconds(t *testing.T) {
	for _, oneWay := range [][]bool{nil, {true}} {
		t.Run(fmt.Sprint("one way: ", len(oneWay) > 0), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w, operator := startedFleet(t, 11, 5, 3)
				cut := w.machines[0]
				others := w.machines[1:]
				w.isolate(cut, true, oneWay...)
				version := int64(1)
				for begun := time.Now(); time.Since(begun) < 20*time.Second; {
					w.setMachines(others)
					w.mustConfigure(operator, version, version+1)
					w.setMachines(append([]*machine{cut}, others...))
					version++
					if status, text, took := w.call(cut, http.MethodGet, "/v1/config/read", "", ""); status == http.StatusOK && text != configurationOf(version, "") || took > operatorTimeout {
						w.failf("a read at the isolated broker got %d after %v: %.30s", status, took, text)
					}
					for _, body := range []string{configurationOf(version, ""), configurationOf(version+1, "")} {
						if status, took := w.sendConfiguration(cut, version-1, version, body); status != http.StatusServiceUnavailable || took > operatorTimeout {
							w.failf("an order at the isolated broker got %d after %v", status, took)
						}
					}
					time.Sleep(500 * time.Millisecond)
				}
				w.isolate(cut, false, oneWay...)
				time.Sleep(2 * time.Second) // config_converge_ms after the partition has healed
				if a := w.sendRequest(w.client("10.8.0.3"), cut, fmt.Sprintf("mark%d", version), "open", 0); a.status != http.StatusOK {
					w.failf("2 s after the partition healed a route of the newest configuration got %d", a.status)
				}
				if status, text, _ := w.call(cut, http.MethodGet, "/v1/config/read", "", ""); status != http.StatusOK || text != configurationOf(version, "") {
					w.failf("after the partition healed a read got %d: %.30s", status, text)
				}
				w.shutdown()
			})
		})
	}
}

// TestCutOffBrokerConfirmsNoEnd has instances report draining and deregistration to a broker that has been isolated for so
// long that it considers all others dead. It must acknowledge neither; the other brokers acknowledge both.
func TestCutOffBrokerConfirmsNoEnd(t *testing.T) {
	for name, at := range map[string]int{"with a disk": 0, "without a disk": 4} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w, _ := startedFleet(t, 12, 5, 3)
				cut := w.machines[at]
				w.isolate(cut, true)
				time.Sleep(12 * time.Second)
				draining, gone := w.servers["i-0001"], w.servers["i-0002"]
				for range 4 {
					if status := w.heartbeat(cut, draining, "draining"); status == http.StatusOK {
						w.failf("an isolated broker acknowledged a drain")
					}
					if status, _, _ := w.call(cut, http.MethodPost, "/v1/instances/"+gone.id+"/deregister", "", ""); status == http.StatusOK {
						w.failf("an isolated broker acknowledged a deregistration")
					}
					time.Sleep(time.Second)
				}
				if status := w.heartbeat(w.machines[1], draining, "draining"); status != http.StatusOK {
					w.failf("a drain got %d at a connected broker", status)
				}
				if status, _, _ := w.call(w.machines[1], http.MethodPost, "/v1/instances/"+gone.id+"/deregister", "", ""); status != http.StatusOK {
					w.failf("a deregistration got %d at a connected broker", status)
				}
				w.shutdown()
			})
		})
	}
}

// TestDrainHeardOfIsNotAcknowledged has a broker receive the record of a drain from another broker that could not
// acknowledge it, because a third one is unreachable. Knowing the record is not enough for the broker to acknowledge the
// drain: it must first publish it to the others itself.
func TestDrainHeardOfIsNotAcknowledged(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, _ := startedFleet(t, 13, 5, 3)
		w.isolate(w.machines[4], true)
		s := w.servers["i-0001"]
		begun := time.Now()
		for at := 0; ; at = (at + 1) % 4 {
			if w.heartbeat(w.machines[at], s, "draining") == http.StatusOK {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if took := time.Since(begun); took < drainQuorumAfter || took > drainQuorumAfter+drainPublishTimeout {
			w.failf("with one broker unreachable a drain was acknowledged after %v", took)
		}
		w.shutdown()
	})
}

// TestUnknownInstanceEnds deregisters an instance that no broker knows and one that the brokers know. Both are acknowledged,
// and afterwards no broker lists the known one.
func TestUnknownInstanceEnds(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, _ := startedFleet(t, 14, 5, 3)
		if status, _, _ := w.call(w.machines[3], http.MethodPost, "/v1/instances/i-9999/deregister", "", ""); status != http.StatusOK {
			w.failf("the deregistration of an unknown instance got %d", status)
		}
		s := w.servers["i-0003"]
		if status, _, _ := w.call(w.machines[3], http.MethodPost, "/v1/instances/"+s.id+"/deregister", "", ""); status != http.StatusOK {
			w.failf("the deregistration of an instance got %d", status)
		}
		for _, m := range w.machines {
			if slices.ContainsFunc(m.broker.effectiveInstances(), func(i instances.Instance) bool { return i.ID == s.id }) {
				w.failf("%s still knows %s", m.name, s.id)
			}
		}
		w.shutdown()
	})
}

// TestOrdersAreTakenOnce repeatedly races two operators that send different configurations under the same version. Some
// answers are lost and the orders sent again to any broker, while the voters change and brokers restart. One of each two
// wins, and an accepted order is acknowledged again after all later ones.
func TestOrdersAreTakenOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, operator := startedFleet(t, 15, 6, 4)
		version := int64(1)
		type order struct {
			base int64
			body string
		}
		var accepted []order
		for round := range 120 {
			next := version + 1 + int64(round%3)
			bodies := []string{configurationOf(next, ""), configurationOf(next, " ")}
			results := make(chan int, 2)
			for i, body := range bodies {
				go func() {
					m := w.machines[(round+3*i)%len(w.machines)]
					if round%4 == i { // the answer is lost, and the order is sent again below
						ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
						request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.ip+":"+controlPort+"/v1/config/replace", strings.NewReader(body))
						request.Header.Set("X-If-Base-Version", strconv.FormatInt(version, 10))
						if response, err := operator.Do(request); err == nil {
							response.Body.Close()
						}
						cancel()
					}
					results <- w.replaceAt(operator, version, body)
				}()
			}
			first, second := <-results, <-results
			if !(first == http.StatusOK && second == http.StatusPreconditionFailed || first == http.StatusPreconditionFailed && second == http.StatusOK) {
				w.failf("two operators with version %d got %d and %d", next, first, second)
			}
			held := w.readBack(operator)
			if !slices.Contains(bodies, held) {
				w.failf("after the race for version %d another configuration is in force: %.30s", next, held)
			}
			accepted = append(accepted, order{version, held})
			version = next
			switch round {
			case 30:
				w.kill(w.machines[0], false)
				time.Sleep(5 * time.Second)
				w.restart(w.machines[0], true)
				time.Sleep(5 * time.Second)
			case 60, 90:
				w.kill(w.machines[round/30], true)
				time.Sleep(4 * time.Second)
				w.restart(w.machines[round/30], false)
				time.Sleep(5 * time.Second)
			}
		}
		for at, o := range accepted {
			if at%10 == 0 {
				if status := w.replaceAt(operator, o.base, o.body); status != http.StatusOK {
					w.failf("order %d of %d, repeated after all later ones, got %d", at, len(accepted), status)
				}
			}
		}
		w.shutdown()
	})
}

// replaceAt sends a configuration to random brokers until one gives a definite answer.
func (w *simFleet) replaceAt(operator *http.Client, base int64, body string) int {
	return w.replace(operator, base, 0, body)
}

// TestReplacedThenWiped removes a control machine for good and adds a successor with another address seconds later. As soon
// as the fault tolerance allows it, all machines stop right after an acknowledgement and one of them loses its disk. The
// acknowledged configuration must survive.
func TestReplacedThenWiped(t *testing.T) {
	for _, core := range []int{3, 4} {
		for wiped := range 3 {
			t.Run(fmt.Sprintf("%d with a disk, replica %d is wiped", core, wiped), func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					w, operator := startedFleet(t, uint64(20+wiped), core+3, core)
					w.kill(w.machines[2], true)
					time.Sleep(4 * time.Second)
					w.add(true)
					time.Sleep(4 * time.Second) // catch_up_s
					w.mustConfigure(operator, 1, 2)
					live := slices.DeleteFunc(slices.Clone(w.machines), func(m *machine) bool { return m == w.machines[2] })
					for _, m := range live {
						w.kill(m, false)
					}
					lost := []*machine{w.machines[0], w.machines[1], w.machines[len(w.machines)-1]}[wiped]
					time.Sleep(1500 * time.Millisecond)
					for _, m := range live {
						w.restart(m, m == lost)
					}
					time.Sleep(3 * time.Second)
					w.setMachines(live)
					if got := w.readBack(operator); got != configurationOf(2, "") {
						w.failf("read back: %.30q", got)
					}
					w.mustConfigure(operator, 2, 3)
					w.shutdown()
				})
			})
		}
	}
}

// TestWholeAgain measures how long it takes after each kind of loss until there are three voters that all run and hold the
// newest value.
func TestWholeAgain(t *testing.T) {
	for name, lose := range map[string]func(w *simFleet) time.Time{
		"a lost disk": func(w *simFleet) time.Time {
			w.kill(w.machines[1], false)
			time.Sleep(1500 * time.Millisecond)
			w.restart(w.machines[1], true)
			return time.Now()
		},
		"gone for good, then a successor": func(w *simFleet) time.Time {
			w.kill(w.machines[1], true)
			time.Sleep(1000 * time.Millisecond)
			w.add(true)
			return time.Now()
		},
		"planned shutdown after a successor joined": func(w *simFleet) time.Time {
			w.add(true)
			time.Sleep(4 * time.Second)
			w.machines[1].cancel()
			<-w.machines[1].done
			return time.Now()
		},
	} {
		for _, core := range []int{3, 4} {
			t.Run(fmt.Sprintf("%s of %d", name, core), func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					w, operator := startedFleet(t, 31, core+2, core)
					since := lose(w)
					for !w.fullyReplicated() {
						if time.Sleep(50 * time.Millisecond); time.Since(since) > 4*time.Second {
							w.failf("not fully replicated after catch_up_s: voters %v", w.machines[0].voters())
							break
						}
					}
					t.Logf("fully replicated after %v", time.Since(since))
					w.mustConfigure(operator, 1, 2)
					w.shutdown()
				})
			})
		}
	}
}

// fullyReplicated reports whether the first machine knows exactly three voters that all run and hold the newest value.
func (w *simFleet) fullyReplicated() bool {
	known, _ := w.machines[0].broker.node.Known()
	if known.Value.Reconfiguring() || len(known.Value.Members.Last()) != 3 {
		return false
	}
	for _, replica := range known.Value.Members.Last() {
		at := slices.IndexFunc(w.machines, func(m *machine) bool { return m.ip == replica.Address })
		m := w.machines[at]
		id, sequence, _ := m.broker.node.Replica()
		if *m.ended || id != replica || sequence < known.Value.Sequence {
			return false
		}
		select {
		case <-m.done:
			return false
		default:
		}
	}
	return true
}

// TestLeavingMemberHandsOver shuts down a voter while there is a learner. The voter must hand over its seat before it ends.
func TestLeavingMemberHandsOver(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, operator := startedFleet(t, 32, 6, 4)
		leaving := w.machines[slices.IndexFunc(w.machines, func(m *machine) bool { return slices.Contains(w.machines[5].voters(), m.ip) })]
		leaving.cancel()
		time.Sleep(time.Second)
		if voters := w.machines[5].voters(); slices.Contains(voters, leaving.ip) || len(voters) != 3 {
			w.failf("a second after its shutdown began %s is still among the voters %v", leaving.ip, voters)
		}
		w.mustConfigure(operator, 1, 2)
		<-leaving.done
		w.shutdown()
	})
}

// TestHundredsOfChangesThenRestart has a member miss hundreds of changes. It must have the newest value within two seconds
// of its restart, and the disk usage of the others must not grow with the number of changes.
func TestHundredsOfChangesThenRestart(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, operator := startedFleet(t, 33, 5, 3)
		down := w.machines[0]
		w.kill(down, false)
		live := w.machines[1:]
		all := w.machines
		w.setMachines(live)
		const changes = 600
		for version := int64(1); version <= changes; version++ {
			w.mustConfigure(operator, version, version+1)
		}
		w.setMachines(all)
		w.restart(down, false)
		time.Sleep(2 * time.Second)
		if held, newest := down.heldSequence(), all[1].heldSequence(); held != newest {
			w.failf("2 s after its restart the member holds value %d of %d", held, newest)
		}
		if a := w.sendRequest(w.client("10.8.0.3"), down, fmt.Sprintf("mark%d", changes+1), "open", 0); a.status != http.StatusOK {
			w.failf("a route of the newest configuration got %d", a.status)
		}
		size := all[1].disk.size()
		if size > 1<<20 {
			w.failf("after %d changes the disk holds %d bytes", changes, size)
		}
		t.Logf("%d bytes on the disk after %d changes", size, changes)
		w.shutdown()
	})
}

// TestHolderCutOff isolates the broker that orders new weights in the middle of a roll-out, in both directions and in one,
// and names another version meanwhile. Another broker must continue under a higher fencing token, no two holders may share
// a token, and all instances must reach the newest version.
func TestHolderCutOff(t *testing.T) {
	for _, oneWay := range [][]bool{nil, {true}} {
		t.Run(fmt.Sprint("one way: ", len(oneWay) > 0), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w, operator := startedFleet(t, 51, 5, 3)
				w.nameWeights(operator, w.machines[1], 2)
				holder := w.awaitHolder()
				w.isolate(holder, true, oneWay...)
				live := slices.DeleteFunc(slices.Clone(w.machines), func(m *machine) bool { return m == holder })
				w.nameWeights(operator, live[0], 3)
				time.Sleep(8 * time.Second)
				w.isolate(holder, false, oneWay...)
				time.Sleep(4 * time.Second)
				for _, s := range w.servers {
					if s.service == "llm" && s.version != 3 {
						w.failf("%s runs version %d", s.id, s.version)
					}
				}
				w.shutdown()
			})
		})
	}
}

func (w *simFleet) nameWeights(operator *http.Client, m *machine, version int) {
	body := fmt.Sprintf(`{"model":"%s","version":%d}`, modelName, version)
	response, err := operator.Post("http://"+m.ip+":"+controlPort+"/v1/version-put", "application/json", strings.NewReader(body))
	if err != nil {
		w.failf("version %d: %v", version, err)
		return
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		w.failf("version %d got %d", version, response.StatusCode)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.namedAt[int64(version)] = time.Now()
}

// awaitHolder waits for the first order and returns the broker that sent it.
func (w *simFleet) awaitHolder() *machine {
	for {
		for _, s := range w.servers {
			s.mu.Lock()
			holder := s.holder
			s.mu.Unlock()
			if at := slices.IndexFunc(w.machines, func(m *machine) bool { return m.name == holder }); at >= 0 {
				return w.machines[at]
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}
