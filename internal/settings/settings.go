// Package settings reads the settings file of one process: lines of the form a.b=value, lists joined by commas.
// Unknown fields are ignored. Findings name the field at fault and are reported together.
package settings

import (
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/magiconair/properties"

	"gullstair/internal/finding"
)

// EnvironmentVariable names the variable that holds the path of the settings file.
const EnvironmentVariable = "GULLSTAIR_SETTINGS"

// defaultLinkMbps is what a machine's link is taken to carry where nothing is said of it.
const defaultLinkMbps = 1000

// Settings is what a process is told about itself, its machine and its deployment.
type Settings struct {
	NodeName        string
	Role            string
	IP              string
	Zone            string
	Region          string
	ZoneRegions     map[string]string // region of each zone
	ListenFront     string            // host:port for clients; empty: this process serves none
	ListenReadiness string
	ListenControl   string
	PortFirst       int // first port that is free for the brokers' own protocol
	PortLast        int
	Seeds           []string // control addresses of other brokers
	Bootstrap       bool     // the first start of the whole system
	CountsForQuorum bool     // this machine's disk holds a replica of the register
	MemoryMB        int
	MaxDescriptors  int
	LinkMbps        float64 // of the machine's own link
	DataDir         string  // empty: no disk
	Heartbeat       time.Duration
	Contracts       []string
	Tolerance       Tolerance
	Bounds          Bounds
}

// Tolerance is what may be lost at one time while everything promised still holds.
type Tolerance struct {
	Machines int // whose disk holds, or may hold, a replica of the register
	Zones    int
	Regions  int
}

// Bounds are the deployment's limits on time and retries.
type Bounds struct {
	Drain            time.Duration // a draining instance receives nothing later than this after the acknowledgement
	Grace            time.Duration // from SIGTERM to SIGKILL
	ConfigConverge   time.Duration
	Contact          time.Duration
	CatchUp          time.Duration
	AckTimeout       time.Duration
	Lease            time.Duration
	Version          time.Duration
	RetryBudgetRatio float64
	BudgetWindow     time.Duration
	RetryBudgetSlack float64
	Fencing          bool
	AddressReuse     time.Duration
}

// Path returns where the environment says the settings file is.
func Path() (string, error) {
	path := os.Getenv(EnvironmentVariable)
	if path == "" {
		return "", errors.Newf("%s is not set", EnvironmentVariable)
	}
	return path, nil
}

// Load reads and checks the file at path.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(text)
}

// Parse reads and checks settings; the error lists every finding.
func Parse(text []byte) (*Settings, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	values, err := loader.LoadBytes(text)
	if err != nil {
		return nil, errors.Wrap(err, "parse settings")
	}
	r := reader{values: values}
	s := r.read()
	if err := r.findings.Err(); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return s, nil
}

// reader takes fields from the file and collects findings.
type reader struct {
	values   *properties.Properties
	findings finding.List
}

func (r *reader) read() *Settings {
	s := &Settings{
		NodeName:        r.needed("node_name"),
		Role:            r.text("role"),
		IP:              r.needed("ip"),
		Zone:            r.needed("zone"),
		Region:          r.text("region"),
		ZoneRegions:     r.zones(),
		ListenFront:     r.address("listen.front"),
		ListenReadiness: r.address("listen.readiness"),
		ListenControl:   r.address("listen.control"),
		Seeds:           r.list("seeds"),
		Bootstrap:       r.flag("bootstrap"),
		CountsForQuorum: r.flag("counts_for_quorum"),
		MemoryMB:        int(r.number("limits.memory_mb", 128)),
		MaxDescriptors:  int(r.number("limits.max_fds", 1024)),
		LinkMbps:        r.number("limits.link_mbps", defaultLinkMbps),
		DataDir:         r.text("data_dir"),
		Heartbeat:       r.milliseconds("heartbeat_ms", 1000),
		Contracts:       r.list("contracts"),
	}
	s.Tolerance = Tolerance{Machines: r.count("fault_tolerance.machines"), Zones: r.count("fault_tolerance.zones"), Regions: r.count("fault_tolerance.regions")}
	r.ports(s)
	for _, seed := range s.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			r.findings.Add("seeds", "%q is not host:port", seed)
		}
	}
	s.Bounds = r.bounds()
	return s
}

func (r *reader) bounds() Bounds {
	return Bounds{
		Drain:            r.milliseconds("bounds.drain_ms", 2000),
		Grace:            r.seconds("bounds.grace_s", 8),
		ConfigConverge:   r.milliseconds("bounds.config_converge_ms", 2000),
		Contact:          r.milliseconds("bounds.contact_ms", 3000),
		CatchUp:          r.seconds("bounds.catch_up_s", 4),
		AckTimeout:       r.milliseconds("bounds.ack_timeout_ms", 4000),
		Lease:            r.milliseconds("bounds.lease_ms", 3000),
		Version:          r.milliseconds("bounds.version_ms", 6000),
		RetryBudgetRatio: r.number("bounds.retry_budget_ratio", 0.2),
		BudgetWindow:     r.seconds("bounds.budget_window_s", 10),
		RetryBudgetSlack: r.number("bounds.retry_budget_slack", 0),
		Fencing:          r.flag("bounds.fencing"),
		AddressReuse:     r.seconds("bounds.addr_reuse_s", 2),
	}
}

func (r *reader) text(name string) string {
	return strings.TrimSpace(r.values.GetString(name, ""))
}

func (r *reader) needed(name string) string {
	value := r.text(name)
	if value == "" {
		r.findings.Add(name, "is missing")
	}
	return value
}

func (r *reader) address(name string) string {
	value := r.text(name)
	if value == "" {
		return ""
	}
	if _, _, err := net.SplitHostPort(value); err != nil {
		r.findings.Add(name, "%q is not host:port", value)
	}
	return value
}

func (r *reader) list(name string) []string {
	var out []string
	for item := range strings.SplitSeq(r.text(name), ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}

func (r *reader) flag(name string) bool {
	value := r.text(name)
	if value == "" {
		return false
	}
	on, err := strconv.ParseBool(value)
	if err != nil {
		r.findings.Add(name, "%q is neither true nor false", value)
	}
	return on
}

func (r *reader) number(name string, otherwise float64) float64 {
	value := r.text(name)
	if value == "" {
		return otherwise
	}
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || x < 0 {
		r.findings.Add(name, "%q is not a number of 0 or more", value)
		return otherwise
	}
	return x
}

// count reads a whole number of 0 or more; 0 where it is not told.
func (r *reader) count(name string) int { return int(r.number(name, 0)) }

func (r *reader) milliseconds(name string, otherwise float64) time.Duration {
	return time.Duration(r.number(name, otherwise) * float64(time.Millisecond))
}

func (r *reader) seconds(name string, otherwise float64) time.Duration {
	return time.Duration(r.number(name, otherwise) * float64(time.Second))
}

func (r *reader) zones() map[string]string {
	const prefix = "zones."
	zones := map[string]string{}
	for _, key := range r.values.Keys() {
		if strings.HasPrefix(key, prefix) {
			zones[strings.TrimPrefix(key, prefix)] = r.text(key)
		}
	}
	return zones
}

func (r *reader) ports(s *Settings) {
	const name = "ephemeral_ports"
	ports := r.list(name)
	if len(ports) != 2 {
		r.findings.Add(name, "is not a first and a last port")
		return
	}
	first, err1 := strconv.Atoi(ports[0])
	last, err2 := strconv.Atoi(ports[1])
	if err1 != nil || err2 != nil || first < 1 || last < first || last > 65535 {
		r.findings.Add(name, "%q is not a range of ports", strings.Join(ports, ","))
		return
	}
	s.PortFirst, s.PortLast = first, last
}

// PeerAddress is where the brokers' own protocol is served on the machine with this IP; ports are the same on all.
func (s *Settings) PeerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PortFirst))
}

// SeedIPs returns the seeds' addresses without their ports, each once.
func (s *Settings) SeedIPs() []string {
	var ips []string
	for _, seed := range s.Seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil && !slices.Contains(ips, ip) {
			ips = append(ips, ip)
		}
	}
	return ips
}
