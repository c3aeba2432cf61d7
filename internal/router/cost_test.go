package router

import (
	"flag"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"gullstair/internal/controlstate"
	"gullstair/internal/peerlink"
)

var measureChanges = flag.Bool("measure.changes", false, "measure what a change of the control state costs, for minutes")

// measuredChange is one kind of change whose cost is measured. Its apply function applies it at a broker and returns the resulting
// version of the configuration.
type measuredChange struct {
	name   string
	routes int
	filler int // bytes of the configuration besides its routes
	apply  func(w *simFleet, at *machine, version int64) (int64, error)
}

// renewLease renews a lease at a broker, as the holder of a roll-out does.
func renewLease(w *simFleet, at *machine, version int64) (int64, error) {
	_, err := at.broker.node.Change(w.t.Context(), func(payload []byte) ([]byte, error) {
		state, err := controlstate.Decode(payload)
		if err != nil {
			return nil, err
		}
		next, err := state.Acquire("weights/"+modelName, at.name, state.Leases["weights/"+modelName], false)
		if err != nil {
			return nil, err
		}
		return next.Encode(), nil
	})
	return version, err
}

// nameVersion names a version of the weights of a model that no instance runs.
func nameVersion(w *simFleet, at *machine, version int64) (int64, error) {
	return version, at.broker.NameWeights(w.t.Context(), "other", time.Now().UnixMilli())
}

// changeRoute changes one route by its name.
func changeRoute(w *simFleet, at *machine, version int64) (int64, error) {
	body := fmt.Sprintf(`{"version":%d,"upsert":{"routes":[{"name":"x7","host":"h","path_prefix":"/x7/","kind":"safe","timeout_ms":%d,"service":"plain","public":true}]}}`,
		version+1, 1000+version)
	status, text, _ := w.call(at, http.MethodPost, updatePath, fmt.Sprint(version), body)
	if status != http.StatusOK {
		return version, fmt.Errorf("an update got %d: %s", status, text)
	}
	return version + 1, nil
}

var measuredChanges = []measuredChange{
	{"a lease renewed", 20, 0, renewLease},
	{"weights named", 20, 0, nameVersion},
	{"one route of 20", 20, 0, changeRoute},
	{"one route of 350", 350, 0, changeRoute},
	{"one route of 20 in 5 MB", 20, 5 << 20, changeRoute},
}

// costs holds the measured costs of the changes of one kind at the brokers without a disk.
type costs struct {
	links     []int // mean bytes on a link, sent and received: rounds, announcements and what they fetch
	busiest   []int // bytes on the busiest link
	total     []int // mean bytes of all calls between brokers, in excess of those of an idle span before the change
	latencies []time.Duration
	cpu       time.Duration
	failures  int
}

func (c *costs) String() string {
	slices.Sort(c.latencies)
	n := len(c.latencies)
	return fmt.Sprintf("mean %d bytes on a link, %d on the busiest, %d in excess of an idle span; known everywhere after %v (p50), %v (p99), %v (max) of %d; %d failed",
		mean(c.links), slices.Max(c.busiest), mean(c.total), c.latencies[n/2].Round(time.Millisecond), c.latencies[n*99/100].Round(time.Millisecond), c.latencies[n-1].Round(time.Millisecond), n, c.failures)
}

func mean(numbers []int) int { return sum(numbers) / len(numbers) }

// TestMeasureChanges logs the cost of changes for each link and the processor, and how long all brokers take to learn them.
func TestMeasureChanges(t *testing.T) {
	if !*measureChanges {
		t.Skip("only with -measure.changes")
	}
	for _, c := range measuredChanges {
		for _, brokers := range []int{24, 96, 300} {
			for _, loss := range []float64{0, 0.05, 0.3} {
				if c.filler > 0 && (brokers > 96 || loss > 0.05) || brokers > 96 && loss == 0.05 {
					continue
				}
				inBubble(t, func(t *testing.T) {
					got := measureChange(t, c, brokers, loss, 16)
					t.Logf("%s, %d brokers, %.0f percent loss: %s; CPU time %v per change and broker", c.name, brokers, 100*loss, &got,
						(got.cpu / time.Duration(len(got.latencies)*brokers)).Round(10*time.Microsecond))
				})
			}
		}
	}
}

// fastestLinkRate is the rate of the link of a machine with a disk in these tests: 1 Gbit/s, in bytes a second.
const fastestLinkRate = 1e9 / 8

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func measureChange(t *testing.T, c measuredChange, brokers int, loss float64, changes int) (got costs) {
	const core, span, patience = 5, 4 * time.Second, 4 * time.Second
	w := newSimFleet(t, 17, brokers, core)
	for number, m := range w.machines {
		rate := slowLinkRate
		if number < core {
			rate = fastestLinkRate
		}
		w.net.SetRate(m.ip, rate)
	}
	operator := w.client("10.8.0.1")
	if c.filler == 0 {
		w.mustReplace(operator, manyRoutes(1, c.routes, 0))
	} else { // a large configuration is sent to a machine with a fast link
		time.Sleep(4 * time.Second)
		if status, _ := w.sendConfiguration(w.machines[0], 0, 1, manyRoutes(1, c.routes, c.filler)); status != http.StatusOK {
			w.failf("the first configuration got %d", status)
		}
	}
	version := int64(1)
	time.Sleep(45 * time.Second) // idle connections are closed after 30 s; from here on their number is stable
	w.net.SetLoss(loss)
	for n := range changes {
		at := w.machines[core+n%2] // a lease holder or an operator also keeps using the same broker
		idle := w.measureUsage(span, func() {})
		var known time.Duration
		busy := w.measureUsage(span, func() {
			begun := time.Now()
			next, err := c.apply(w, at, version)
			version = next
			if err != nil {
				got.failures++
			}
			known = w.awaitEverywhere(at, begun, patience)
		})
		got.add(idle, busy, core)
		got.latencies = append(got.latencies, known)
	}
	w.net.SetLoss(0)
	time.Sleep(4 * time.Second)
	for _, m := range w.machines {
		if held := m.broker.gateway.Configuration(); held == nil || held.Version != version {
			w.failf("%s does not have configuration %d", m.name, version)
		}
	}
	w.shutdown()
	return got
}

// add records the cost of a change as the difference between the usage of a span with it and of an idle span.
func (c *costs) add(idle, busy usage, core int) {
	c.cpu += busy.cpu - idle.cpu
	links, busiest, all, brokers := 0, 0, 0, len(busy.total)
	for number := core; number < brokers; number++ {
		cost := max(0, busy.register[number]-idle.register[number])
		links, busiest, all = links+cost, max(busiest, cost), all+busy.total[number]-idle.total[number]
	}
	c.links, c.busiest, c.total = append(c.links, links/(brokers-core)), append(c.busiest, busiest), append(c.total, all/(brokers-core))
}

// usage is the usage of links, by machine, and of the processor in a time span.
type usage struct {
	total    []int // bytes
	register []int // bytes of calls for the register
	cpu      time.Duration
}

// measureUsage measures the usage in a time span that begins with a call of do.
func (w *simFleet) measureUsage(span time.Duration, do func()) (s usage) {
	begun, cpuBefore, registerBefore := time.Now(), processorTime(), w.registerBytes()
	s.total = w.linkTrafficDuring(func() {
		do()
		time.Sleep(span - time.Since(begun))
	})
	s.cpu, s.register = processorTime()-cpuBefore, w.registerBytes()
	for number := range s.register {
		s.register[number] -= registerBefore[number]
	}
	return s
}

// registerBytes returns the bytes that each machine has sent and received in calls for the register and their replies.
func (w *simFleet) registerBytes() (out []int) {
	for _, m := range w.machines {
		bytes := 0
		for _, count := range m.broker.node.Traffic() {
			if count.Kind == peerlink.Rounds.String() || count.Kind == peerlink.Announcements.String() || count.Kind == peerlink.Others.String() {
				bytes += int(count.SentBytes + count.ReceivedBytes)
			}
		}
		out = append(out, bytes)
	}
	return out
}

func (w *simFleet) mustReplace(operator *http.Client, body string) {
	if status := w.replace(operator, 0, 1, body); status != http.StatusOK {
		w.failf("the first configuration got %d", status)
	}
}

// awaitEverywhere waits until all brokers know the newest value that the given one knows, and returns how long it took.
func (w *simFleet) awaitEverywhere(at *machine, begun time.Time, patience time.Duration) time.Duration {
	newest, _ := at.broker.node.Known()
	for time.Since(begun) < patience {
		behind := slices.ContainsFunc(w.machines, func(m *machine) bool {
			known, _ := m.broker.node.Known()
			return known.Value.Sequence < newest.Value.Sequence
		})
		if !behind {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begun)
}

// TestSmallChangesCostLittle bounds the mean bytes, sent and received, that a change costs the link of a broker without a
// disk. Unchanged data is not sent, and no link carries a change more often than the dissemination tree has branches.
func TestSmallChangesCostLittle(t *testing.T) {
	for at, limit := range []int{1000, 1000, 2000, 2000, 8000} {
		c := measuredChanges[at]
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				got := measureChange(t, c, 24, 0, 6)
				t.Log(&got)
				if bytes := mean(got.links); bytes > limit || got.failures > 0 {
					t.Errorf("a change costs a link %d bytes on average, %d failed", bytes, got.failures)
				}
			})
		})
	}
}
