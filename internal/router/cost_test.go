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

// change is one kind of change that is measured: made at a broker, the version of the configuration that it makes.
type change struct {
	name   string
	routes int
	filler int // bytes of the configuration beside its routes
	make   func(w *world, at *machine, version int64) (int64, error)
}

// renewLease renews a lease at a broker, as the holder of a roll-out does.
func renewLease(w *world, at *machine, version int64) (int64, error) {
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
func nameVersion(w *world, at *machine, version int64) (int64, error) {
	return version, at.broker.NameWeights(w.t.Context(), "other", time.Now().UnixMilli())
}

// changeRoute changes one route by its name.
func changeRoute(w *world, at *machine, version int64) (int64, error) {
	body := fmt.Sprintf(`{"version":%d,"upsert":{"routes":[{"name":"x7","host":"h","path_prefix":"/x7/","kind":"safe","timeout_ms":%d,"service":"plain","public":true}]}}`,
		version+1, 1000+version)
	status, text, _ := w.call(at, http.MethodPost, updatePath, fmt.Sprint(version), body)
	if status != http.StatusOK {
		return version, fmt.Errorf("an update got %d: %s", status, text)
	}
	return version + 1, nil
}

var measuredChanges = []change{
	{"a lease renewed", 20, 0, renewLease},
	{"weights named", 20, 0, nameVersion},
	{"one route of 20", 20, 0, changeRoute},
	{"one route of 350", 350, 0, changeRoute},
	{"one route of 20 in 5 MB", 20, 5 << 20, changeRoute},
}

// costs are what changes of one kind cost, by change. Brokers without a disk are meant.
type costs struct {
	links    []int // bytes on a link in the mean, both ways: rounds, announcements and what they fetch
	most     []int // on the busiest
	all      []int // in the mean, of all calls between brokers, beyond those of a calm span before it
	known    []time.Duration
	cpu      time.Duration
	failures int
}

func (c *costs) String() string {
	slices.Sort(c.known)
	n := len(c.known)
	return fmt.Sprintf("a link %d bytes in the mean, %d on the busiest, all that is beyond a calm span %d; known everywhere %v (p50), %v (p99), %v (most) of %d; %d failed",
		mean(c.links), slices.Max(c.most), mean(c.all), c.known[n/2].Round(time.Millisecond), c.known[n*99/100].Round(time.Millisecond), c.known[n-1].Round(time.Millisecond), n, c.failures)
}

func mean(numbers []int) int { return sum(numbers) / len(numbers) }

// TestMeasureChanges prints what changes cost each link and the processor, and how long they take to be known everywhere.
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
					t.Logf("%s, %d brokers, %.0f in 100 lost: %s; processor %v a change and broker", c.name, brokers, 100*loss, &got,
						(got.cpu / time.Duration(len(got.known)*brokers)).Round(10*time.Microsecond))
				})
			}
		}
	}
}

// widestLink is the link of a machine with a disk here: 1 Gbit/s, in bytes a second.
const widestLink = 1e9 / 8

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func measureChange(t *testing.T, c change, brokers int, loss float64, changes int) (got costs) {
	const core, span, patience = 5, 4 * time.Second, 4 * time.Second
	w := newWorld(t, 17, brokers, core)
	for number, m := range w.machines {
		rate := thinLink
		if number < core {
			rate = widestLink
		}
		w.net.SetRate(m.ip, rate)
	}
	operator := w.client("10.8.0.1")
	if c.filler == 0 {
		w.mustReplace(operator, manyRoutes(1, c.routes, 0))
	} else { // a large one is sent to a machine with a wide link
		time.Sleep(4 * time.Second)
		if status, _ := w.order(w.machines[0], 0, 1, manyRoutes(1, c.routes, c.filler)); status != http.StatusOK {
			w.fault("the first configuration got %d", status)
		}
	}
	version := int64(1)
	time.Sleep(45 * time.Second) // connections that rest are closed after 30 s: from here on as many as later
	w.net.SetLoss(loss)
	for n := range changes {
		at := w.machines[core+n%2] // as a holder that renews a lease, or an operator that stays with a broker
		calm := w.spent(span, func() {})
		var known time.Duration
		busy := w.spent(span, func() {
			begun := time.Now()
			next, err := c.make(w, at, version)
			version = next
			if err != nil {
				got.failures++
			}
			known = w.knownEverywhere(at, begun, patience)
		})
		got.add(calm, busy, core)
		got.known = append(got.known, known)
	}
	w.net.SetLoss(0)
	time.Sleep(4 * time.Second)
	for _, m := range w.machines {
		if held := m.broker.gateway.Configuration(); held == nil || held.Version != version {
			w.fault("%s does not have configuration %d", m.name, version)
		}
	}
	w.end()
	return got
}

// add counts a change by what was spent in a span with it and in a calm one.
func (c *costs) add(calm, busy spending, core int) {
	c.cpu += busy.cpu - calm.cpu
	links, most, all, brokers := 0, 0, 0, len(busy.all)
	for number := core; number < brokers; number++ {
		cost := max(0, busy.control[number]-calm.control[number])
		links, most, all = links+cost, max(most, cost), all+busy.all[number]-calm.all[number]
	}
	c.links, c.most, c.all = append(c.links, links/(brokers-core)), append(c.most, most), append(c.all, all/(brokers-core))
}

// spending is what links carry and the processor does in a span, by machine.
type spending struct {
	all     []int // bytes
	control []int // bytes of calls that are about the register
	cpu     time.Duration
}

// spent measures a span, at whose beginning something is done.
func (w *world) spent(span time.Duration, do func()) (s spending) {
	begun, before, control := time.Now(), processorTime(), w.controlBytes()
	s.all = w.loadsOf(func() {
		do()
		time.Sleep(span - time.Since(begun))
	})
	s.cpu, s.control = processorTime()-before, w.controlBytes()
	for number := range s.control {
		s.control[number] -= control[number]
	}
	return s
}

// controlBytes is what each machine has sent and received in calls that are about the register, and their replies.
func (w *world) controlBytes() (out []int) {
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

func (w *world) mustReplace(operator *http.Client, body string) {
	if status := w.replace(operator, 0, 1, body); status != http.StatusOK {
		w.fault("the first configuration got %d", status)
	}
}

// knownEverywhere waits until all brokers have the newest value that one has, and returns how long it took.
func (w *world) knownEverywhere(at *machine, begun time.Time, patience time.Duration) time.Duration {
	newest, _ := at.broker.node.Known()
	for time.Since(begun) < patience {
		lacking := slices.ContainsFunc(w.machines, func(m *machine) bool {
			known, _ := m.broker.node.Known()
			return known.Value.Sequence < newest.Value.Sequence
		})
		if !lacking {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begun)
}

// TestSmallChangesCostLittle bounds what a change costs the link of a broker without a disk, both ways, in the mean: whatever is not
// changed is not sent, and no link carries a change more often than the tree along which it is passed on has branches.
func TestSmallChangesCostLittle(t *testing.T) {
	for at, most := range []int{1000, 1000, 2000, 2000, 8000} {
		c := measuredChanges[at]
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				got := measureChange(t, c, 24, 0, 6)
				t.Log(&got)
				if bytes := mean(got.links); bytes > most || got.failures > 0 {
					t.Errorf("a change costs a link %d bytes in the mean, %d failed", bytes, got.failures)
				}
			})
		})
	}
}
