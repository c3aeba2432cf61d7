// Package settings loads and validates the settings file of one process. Its lines have the form a.b=value; list elements are
// separated by commas. Unknown fields are ignored. Each finding names the invalid field, and all findings are reported together.
// Load reads the file and Path the environment; the other functions do no I/O.
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

	"gullstair/internal/inputerrors"
)

// EnvironmentVariable names the variable that holds the path of the settings file.
const EnvironmentVariable = "GULLSTAIR_SETTINGS"

// defaultLinkMbps is the assumed bandwidth of a machine's network link if the settings do not state it.
const defaultLinkMbps = 1000

// Settings describes a process, its machine and its deployment.
type Settings struct {
	NodeName        string
	Role            string
	IP              string
	Zone            string
	Region          string
	ZoneRegions     map[string]string // region of each zone
	ListenFront     string            // host:port for clients; empty if this process serves no clients
	ListenReadiness string
	ListenControl   string
	PortFirst       int // first port of the range for the brokers' own protocol
	PortLast        int
	Seeds           []string // control addresses of other brokers
	Bootstrap       bool     // first start of the whole system
	CountsForQuorum bool     // this machine's disk holds a replica of the register
	MemoryMB        int
	MaxDescriptors  int     // limit of open file descriptors
	LinkMbps        float64 // bandwidth of the machine's network link
	DataDir         string  // empty if the process has no disk
	Heartbeat       time.Duration
	Contracts       []string
	Tolerance       Tolerance
	Bounds          Bounds
}

// Tolerance is how many simultaneous failures the system must survive with all its guarantees intact.
type Tolerance struct {
	Machines int // counts machines whose disk holds, or may hold, a replica of the register
	Zones    int
	Regions  int
}

// Bounds holds the deployment's limits on times and retries.
type Bounds struct {
	Drain            time.Duration // a draining instance gets no requests later than this after the acknowledgement of the drain
	Grace            time.Duration // time from SIGTERM to SIGKILL
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

// Path returns the path of the settings file from the environment.
func Path() (string, error) {
	path := os.Getenv(EnvironmentVariable)
	if path == "" {
		return "", errors.Newf("%s is not set", EnvironmentVariable)
	}
	return path, nil
}

// Load reads and validates the settings file at path.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(text)
}

// Parse parses and validates settings. The error lists all findings.
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

// reader converts the values of a settings file and collects findings.
type reader struct {
	values   *properties.Properties
	findings inputerrors.List
}

func (r *reader) read() *Settings {
	s := &Settings{
		NodeName:        r.required("node_name"),
		Role:            r.text("role"),
		IP:              r.required("ip"),
		Zone:            r.required("zone"),
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

func (r *reader) required(name string) string {
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

func (r *reader) number(name string, fallback float64) float64 {
	value := r.text(name)
	if value == "" {
		return fallback
	}
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || x < 0 {
		r.findings.Add(name, "%q is not a number of 0 or more", value)
		return fallback
	}
	return x
}

// count returns a non-negative number without its fraction, or 0 if it is not set.
func (r *reader) count(name string) int { return int(r.number(name, 0)) }

func (r *reader) milliseconds(name string, fallback float64) time.Duration {
	return time.Duration(r.number(name, fallback) * float64(time.Millisecond))
}

func (r *reader) seconds(name string, fallback float64) time.Duration {
	return time.Duration(r.number(name, fallback) * float64(time.Second))
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

// PeerAddress returns the address at which the broker on the machine with this IP serves the brokers' own protocol. The ports are
// the same on all machines.
func (s *Settings) PeerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PortFirst))
}

// SeedIPs returns the IPs of the seeds without duplicates.
func (s *Settings) SeedIPs() []string {
	var ips []string
	for _, seed := range s.Seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil && !slices.Contains(ips, ip) {
			ips = append(ips, ip)
		}
	}
	return ips
}
