// Package configuration reads and checks the operator's configuration and answers what a request may do under it:
// the route by host and longest path prefix, the tenant by key, the limits.
package configuration

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"gullstair/internal/configuration/configpb"
	"gullstair/internal/finding"
)

// Kind says how often a request may run.
type Kind int

const (
	Unsafe    Kind = iota // at most once
	Safe                  // any number of times
	Streaming             // a stream of events; at most once unless the route is resumable
)

// Configuration is one version, checked and indexed. Nobody changes it.
type Configuration struct {
	Version  int64
	Raw      []byte // as the operator sent it
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits

	hosts   map[string][]*Route // longest prefix first
	tenants map[string]*Tenant  // by key
	named   map[string]*Tenant  // the same by name
	walls   uint64              // names the set of isolated tenants

	storeName string
	store     *Store
}

// Route says what becomes of the requests of a host under a path prefix.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        Kind
	Timeout     time.Duration
	Target      time.Duration
	GapTarget   time.Duration
	Priority    int
	MaxAttempts int
	Public      bool
	Sticky      bool
	Resumable   bool
	Splits      []Split
}

// Split is a service's share of a route.
type Split struct {
	Service string
	Weight  float64
}

// Service is a set of instances that serve the same requests, or a store of kept prompts.
type Service struct {
	Name           string
	MaxConnections int
	Engine         *Engine
	Store          *Store
}

// Engine is what the operator tells about the model servers of a service.
type Engine struct {
	Slots          int
	CapacityTokens float64
	TokenBytes     float64
	LinkMbps       float64
	MaxConcurrency int // calls for events that one server holds at once
	Models         []string
}

// Store is a store of kept prompts.
type Store struct {
	Address        string
	Zone           string
	LinkMbps       float64
	MaxConcurrency int
}

// Limits bound what a client may send and how long it may rest.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Tenant is the holder of keys.
type Tenant struct {
	Name     string
	Priority int
	Isolated bool // shares no cached part with another tenant
}

const (
	defaultHeaderBytes   = 64 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// Parse reads and checks a configuration; the error lists every finding.
func Parse(raw []byte) (*Configuration, error) { return parse(raw, placeOf) }

// parse has findings in items of lists placed by a function.
func parse(raw []byte, place func(list string, i int, name string) string) (*Configuration, error) {
	message := &configpb.Configuration{}
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := options.Unmarshal(raw, message); err != nil {
		return nil, errors.Wrap(err, "configuration cannot be read")
	}
	b := builder{message: message, place: place}
	c := b.build()
	if err := b.findings.Err(); err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	c.Raw = raw
	return c, nil
}

// Route finds the route of a request; nil if there is none.
func (c *Configuration) Route(host, path string) *Route {
	for _, r := range c.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// TenantOf finds the tenant that holds a key; nil if none does.
func (c *Configuration) TenantOf(key string) *Tenant { return c.tenants[key] }

// TenantNamed finds a tenant by its name; nil if there is none.
func (c *Configuration) TenantNamed(name string) *Tenant { return c.named[name] }

// KVStore returns the store of kept prompts, the first by name; nil: there is none.
func (c *Configuration) KVStore() (service string, store *Store) { return c.storeName, c.store }

// HasTenants says whether requests need a key unless their route is public.
func (c *Configuration) HasTenants() bool { return len(c.tenants) > 0 }

// Walls identifies the set of isolated tenants. Parts that were cached while the set was another one may have been
// made by a tenant that is isolated now, so they are not shared on.
func (c *Configuration) Walls() uint64 { return c.walls }

// hostName is a Host header without a port, in lower case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// builder turns a message into a Configuration and collects findings.
type builder struct {
	message  *configpb.Configuration
	place    func(list string, i int, name string) string
	findings finding.List
}

func (b *builder) build() *Configuration {
	c := &Configuration{Version: b.message.Version, Services: map[string]*Service{}, hosts: map[string][]*Route{},
		tenants: map[string]*Tenant{}, named: map[string]*Tenant{}, Limits: limitsOf(b.message.Limits)}
	if c.Version <= 0 {
		b.findings.Add("version", "%d is not above 0", c.Version)
	}
	for i, s := range b.message.Services {
		b.addService(c, i, s)
	}
	for i, r := range b.message.Routes {
		b.addRoute(c, i, r)
	}
	for i, t := range b.message.Tenants {
		b.addTenant(c, i, t)
	}
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(x, y *Route) int { return len(y.Prefix) - len(x.Prefix) })
	}
	c.walls = wallsOf(b.message.Tenants)
	return c
}

func (b *builder) addService(c *Configuration, i int, s *configpb.Service) {
	place := b.place("services", i, s.Name)
	if s.Name == "" {
		b.findings.Add(place, "has no name")
	}
	if c.Services[s.Name] != nil {
		b.findings.Add(place, "is there twice")
	}
	service := &Service{Name: s.Name, MaxConnections: int(s.MaxConnections)}
	if e := s.Engine; e != nil {
		service.Engine = &Engine{Slots: int(e.Slots), CapacityTokens: e.KvCapacityTokens, TokenBytes: e.KvBytes,
			LinkMbps: e.LinkMbps, MaxConcurrency: int(e.MaxConcurrency)}
		for _, m := range e.Models {
			service.Engine.Models = append(service.Engine.Models, m.Name)
		}
	}
	if s.KvStore != "" {
		service.Store = &Store{Address: s.KvStore, Zone: s.Zone, LinkMbps: s.LinkMbps, MaxConcurrency: int(s.MaxConcurrency)}
	}
	c.Services[s.Name] = service
	if service.Store != nil && (c.store == nil || s.Name < c.storeName) {
		c.storeName, c.store = s.Name, service.Store
	}
}

func (b *builder) addRoute(c *Configuration, i int, r *configpb.Route) {
	place := b.place("routes", i, r.Name)
	route := &Route{Name: r.Name, Host: hostName(r.Host), Prefix: r.PathPrefix, Kind: kindOf(r.Kind),
		Timeout: milliseconds(r.TimeoutMs), Target: milliseconds(r.TargetLatencyMs), GapTarget: milliseconds(r.GapAimMs),
		Priority: int(r.Priority), MaxAttempts: max(1, int(r.MaxAttempts)), Public: r.Public, Sticky: r.Sticky,
		Resumable: r.Resumable}
	if r.Host == "" {
		b.findings.Add(place, "has no host")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		b.findings.Add(place, "path_prefix %q does not begin with a slash", r.PathPrefix)
	}
	if r.TimeoutMs <= 0 {
		b.findings.Add(place, "timeout_ms is not above 0")
	}
	route.Splits = b.splitsOf(c, place, r)
	for _, other := range c.hosts[route.Host] {
		if other.Prefix == route.Prefix {
			b.findings.Add(place, "has the host and prefix of route %q", other.Name)
		}
	}
	c.hosts[route.Host] = append(c.hosts[route.Host], route)
	c.Routes = append(c.Routes, route)
}

func (b *builder) splitsOf(c *Configuration, place string, r *configpb.Route) []Split {
	splits := []Split{{Service: r.Service, Weight: 1}}
	if len(r.TrafficSplit) > 0 {
		splits = nil
		for _, s := range r.TrafficSplit {
			splits = append(splits, Split{Service: s.Service, Weight: s.Weight})
		}
	}
	sum := 0.0
	for _, s := range splits {
		if c.Services[s.Service] == nil {
			b.findings.Add(place, "names the unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			b.findings.Add(place, "has a weight under 0")
		}
		sum += s.Weight
	}
	if sum <= 0 {
		b.findings.Add(place, "has weights that sum to 0")
	}
	return splits
}

// kindOf reads a route's kind. One that is not known may not run twice.
func kindOf(kind string) Kind {
	switch kind {
	case "safe":
		return Safe
	case "streaming":
		return Streaming
	}
	return Unsafe
}

func (b *builder) addTenant(c *Configuration, i int, t *configpb.Tenant) {
	place := b.place("tenants", i, t.Name)
	if t.Name == "" {
		b.findings.Add(place, "has no name")
	}
	tenant := &Tenant{Name: t.Name, Priority: int(t.Priority), Isolated: t.Isolated}
	c.named[t.Name] = tenant
	for _, key := range t.ApiKeys {
		if other := c.tenants[key]; other != nil && other.Name != t.Name {
			b.findings.Add(place, "shares a key with tenant %q", other.Name)
		}
		c.tenants[key] = tenant
	}
}

func limitsOf(l *configpb.Limits) Limits {
	limits := Limits{HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes, HeaderTimeout: defaultHeaderTimeout,
		IdleTimeout: defaultIdleTimeout}
	if l == nil {
		return limits
	}
	if l.MaxHeaderBytes > 0 {
		limits.HeaderBytes = l.MaxHeaderBytes
	}
	if l.MaxBodyBytes > 0 {
		limits.BodyBytes = l.MaxBodyBytes
	}
	if l.HeaderTimeoutMs > 0 {
		limits.HeaderTimeout = milliseconds(l.HeaderTimeoutMs)
	}
	if l.IdleTimeoutMs > 0 {
		limits.IdleTimeout = milliseconds(l.IdleTimeoutMs)
	}
	return limits
}

func wallsOf(tenants []*configpb.Tenant) uint64 {
	var names []string
	for _, t := range tenants {
		if t.Isolated {
			names = append(names, t.Name)
		}
	}
	slices.Sort(names)
	hash := fnv.New64a()
	for _, name := range names {
		hash.Write([]byte(name))
		hash.Write([]byte{0})
	}
	return hash.Sum64()
}

func placeOf(list string, i int, name string) string { return fmt.Sprintf("%s[%d] %s", list, i, name) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
