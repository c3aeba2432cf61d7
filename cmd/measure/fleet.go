package main

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"

	"gullstair/internal/broker"
	"gullstair/internal/config"
	"gullstair/internal/control"
	"gullstair/internal/features"
	"gullstair/internal/fleettest"
	"gullstair/internal/memberactor"
)

// fleetCmd measures the cost of the members' control traffic for a broker. It runs real broker processes next to
// hollow brokers, which have no clients and all run inside the process of this command.
type fleetCmd struct {
	Members []int         `default:"30,120,360" help:"Sizes of the fleet."`
	Real    int           `default:"3" help:"Number of real brokers, each a process of its own."`
	Nodes   int           `default:"2700" help:"Nodes on the list of the real brokers."`
	Settle  time.Duration `default:"20s" help:"Time for all members to see each other before the measurement."`
	Span    time.Duration `default:"15s" help:"Duration of the measurement."`
	Program string        `default:"bin/gullstair" help:"Path of the broker program." type:"path"`
}

const (
	hollowNodes  = 12
	realMB       = 256
	hollowMB     = 8192 // of the process in which all hollow brokers run
	clockTicks   = 100  // per second, in /proc
	pageKB       = 4
	memoryFields = 24
)

func (c *fleetCmd) Run(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBERS\tSEEN, MIN\tDATAGRAMS OUT /s\tBYTES OUT /s\tBYTES IN /s\tCORE %\tMEMORY MB\tHOLLOW MB EACH")
	for _, n := range c.Members {
		m, err := c.measure(n)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%d\t%d\t%.1f\t%.0f\t%.0f\t%.2f\t%.1f\t%.2f\n", n, m.fewestSeen, m.datagrams, m.bytesOut, m.bytesIn, m.core, m.memory, m.hollow)
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// fleetCost is the mean cost of one real broker of a fleet.
type fleetCost struct {
	fewestSeen                                         int // smallest number of live members that any real broker sees
	datagrams, bytesOut, bytesIn, core, memory, hollow float64
}

// fleetRun is a running fleet.
type fleetRun struct {
	dir    string
	agent  net.Listener
	real   []*fleettest.Process
	hollow []*broker.Broker
}

func (r *fleetRun) socket(i int) string { return filepath.Join(r.dir, fmt.Sprint("n", i, ".sock")) }

func (c *fleetCmd) measure(members int) (cost fleetCost, err error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r, err := c.start(members)
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return cost, err
	}
	time.Sleep(c.Settle)
	first, err := r.sample()
	if err != nil {
		return cost, err
	}
	time.Sleep(c.Span)
	last, err := r.sample()
	if err != nil {
		return cost, err
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	span := c.Span.Seconds() * float64(c.Real)
	cost.fewestSeen = last.seen
	cost.datagrams = float64(last.sent-first.sent) / span
	cost.bytesOut, cost.bytesIn = float64(last.out-first.out)/span, float64(last.in-first.in)/span
	cost.core = float64(last.ticks-first.ticks) / clockTicks / span * 100
	cost.memory = float64(last.pages) * pageKB / 1024 / float64(c.Real)
	cost.hollow = float64(after.HeapAlloc-before.HeapAlloc) / (1 << 20) / float64(max(1, len(r.hollow)))
	return cost, nil
}

// start starts a fleet; the first c.Real members are real.
func (c *fleetCmd) start(members int) (*fleetRun, error) {
	r := &fleetRun{}
	var err error
	if r.dir, err = os.MkdirTemp("", "gullstair-fleet"); err != nil {
		return nil, err
	}
	if r.agent, err = serveLists(); err != nil {
		return r, err
	}
	addresses := make([]string, members)
	for i := range addresses {
		if addresses[i], err = fleettest.FreeAddr("udp"); err != nil {
			return r, err
		}
	}
	for i := range members {
		text := fleetFeatures(addresses, i)
		if i < c.Real {
			err = r.startReal(c, i, text)
		} else {
			err = r.startHollow(i, text)
		}
		if err != nil {
			return r, fmt.Errorf("member %d: %w", i, err)
		}
	}
	return r, nil
}

func (r *fleetRun) startReal(c *fleetCmd, i int, text string) error {
	path := filepath.Join(r.dir, fmt.Sprint("n", i))
	start, err := r.startFile(c.Nodes, realMB, i)
	if err != nil {
		return err
	}
	doc := text + fmt.Sprintf("control {\n  socket = %q\n}\n", r.socket(i))
	if err := os.WriteFile(path+".json", start, 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(path+".hcl", []byte(doc), 0o600); err != nil {
		return err
	}
	p, err := fleettest.Launch([]string{c.Program, "serve", "--log", "error", "--features", path + ".hcl"}, []string{"GW_CONFIG=" + path + ".json"}, os.Stderr)
	if err != nil {
		return err
	}
	r.real = append(r.real, p)
	return nil
}

func (r *fleetRun) startHollow(i int, text string) error {
	start, err := r.startFile(hollowNodes, hollowMB, i)
	if err != nil {
		return err
	}
	cfg, err := config.Parse(start, func(string) string { return "" })
	if err != nil {
		return err
	}
	doc, err := features.Parse([]byte(text), "hollow.hcl", cfg.Name)
	if err != nil {
		return err
	}
	b, err := broker.Start(cfg, doc, zerolog.Nop())
	if err != nil {
		return err
	}
	r.hollow = append(r.hollow, b)
	runtime.GOMAXPROCS(max(1, runtime.NumCPU()/2)) // the broker has set it for its own process
	return nil
}

func (r *fleetRun) startFile(nodes, memoryMB, i int) ([]byte, error) {
	listen, err := fleettest.FreeAddr("tcp")
	if err != nil {
		return nil, err
	}
	tree := startTree(nodes)
	tree["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 8192}
	tree["name"], tree["listen"], tree["discovery"], tree["seed"] = fmt.Sprint("n", i), listen, r.agent.Addr().String(), fmt.Sprintf("%016x", i+1)
	return json.Marshal(tree)
}

// fleetFeatures returns a member's features document: membership, verdicts, and a limit for each tenant.
func fleetFeatures(addresses []string, i int) string {
	var members strings.Builder
	for j, addr := range addresses {
		fmt.Fprintf(&members, "    n%d = %q\n", j, addr)
	}
	secret := hex.EncodeToString([]byte("a secret for measurements alone."))
	return fmt.Sprintf("sharing {\n  listen = %q\n  members = {\n%s  }\n  clock_drift = 0.01\n  key \"1\" {\n    secret = %q\n  }\n  verdicts {\n  }\n}\n",
		addresses[i], members.String(), secret)
}

// serveLists runs a discovery server whose node list never changes.
func serveLists() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if timeout, err := strconv.Atoi(req.URL.Query().Get("timeout_ms")); err == nil {
			select {
			case <-req.Context().Done():
			case <-time.After(time.Duration(timeout) * time.Millisecond):
			}
		}
		fmt.Fprint(w, `{"seq":1,"whole":false,"hosts":[]}`)
	}))
	return ln, nil
}

// fleetSample holds the counters and the memory of all real brokers in total.
type fleetSample struct {
	sent, out, in int64
	ticks, pages  int
	seen          int
}

func (r *fleetRun) sample() (l fleetSample, err error) {
	l.seen = 1 << 30
	for i, p := range r.real {
		var s memberactor.State
		if err := control.Get(r.socket(i), "sharing", &s); err != nil {
			return l, err
		}
		l.sent, l.out, l.in = l.sent+s.Carrier.Sent, l.out+s.Carrier.BytesSent, l.in+s.Carrier.BytesReceived
		living := 0
		for _, m := range s.Members {
			if m.Living() {
				living++
			}
		}
		l.seen = min(l.seen, living)
		ticks, pages, err := processCost(p.Pid())
		if err != nil {
			return l, err
		}
		l.ticks, l.pages = l.ticks+ticks, l.pages+pages
	}
	return l, nil
}

// processCost returns the CPU time of a process in clock ticks and its resident pages.
func processCost(pid int) (ticks, pages int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	words := strings.Fields(rest)
	if len(words) < memoryFields {
		return 0, 0, fmt.Errorf("/proc/%d/stat: too short", pid)
	}
	user, _ := strconv.Atoi(words[11])
	system, _ := strconv.Atoi(words[12])
	pages, err = strconv.Atoi(words[21])
	return user + system, pages, err
}

func (r *fleetRun) close() {
	for _, p := range r.real {
		p.Signal(syscall.SIGKILL)
	}
	for _, b := range r.hollow {
		go b.Stop(0)
	}
	time.Sleep(3 * time.Second) // lets the hollow brokers announce their departure
	if r.agent != nil {
		r.agent.Close()
	}
	os.RemoveAll(r.dir)
}
