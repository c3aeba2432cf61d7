// Package configuration parses and validates the operator's configuration and looks up what applies to a request: the route by host
// and longest path prefix, the tenant by API key, and the limits. It also applies patches to a configuration. The package does no
// I/O.
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
	"gullstair/internal/inputerrors"
)

// Kind is the kind of a route. It determines how often a request may run.
type Kind int

const (
	Unsafe    Kind = iota // at most once
	Safe                  // any number of times
	Streaming             // a stream of events; at most once unless the route is resumable
)

// Configuration is one version of the configuration, validated and indexed. It is immutable.
type Configuration struct {
	Version  int64
	Raw      []byte // JSON as the operator sent it, or as a patch produced it
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits

	routesByHost  map[string][]*Route // longest prefix first
	tenantsByKey  map[string]*Tenant
	tenantsByName map[string]*Tenant
	isolationHash uint64 // identifies the set of isolated tenants

	storeName string // service of the prompt store
	store     *Store
}

// Route determines how requests for a host under a path prefix are served.
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

// Service is a set of instances that serve the same requests, or a prompt store.
type Service struct {
	Name           string
	MaxConnections int
	Engine         *Engine
	Store          *Store
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots          int
	CapacityTokens float64
	TokenBytes     float64
	LinkMbps       float64
	MaxConcurrency int // concurrent calls for events that one server accepts
	Models         []string
}

// Store is a prompt store: a server that keeps the KV cache of processed prompts.
type Store struct {
	Address        string
	Zone           string
	LinkMbps       float64
	MaxConcurrency int
}

// Limits bound the size of clients' requests and the time that clients may be idle.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Tenant is an owner of API keys.
type Tenant struct {
	Name     string
	Priority int
	Isolated bool // shares no cached prompt prefix with another tenant
}

const (
	defaultHeaderBytes   = 64 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// Parse parses and validates a configuration. The error lists all findings.
func Parse(raw []byte) (*Configuration, error) { return parse(raw, placeOf) }

// parse is Parse with a function that returns the place that findings report for an item of a list.
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

// Route returns the route of a request, or nil if there is none.
func (c *Configuration) Route(host, path string) *Route {
	for _, r := range c.routesByHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// TenantByKey returns the tenant with this API key, or nil if there is none.
func (c *Configuration) TenantByKey(key string) *Tenant { return c.tenantsByKey[key] }

// TenantByName returns the tenant with this name, or nil if there is none.
func (c *Configuration) TenantByName(name string) *Tenant { return c.tenantsByName[name] }

// KVStore returns the prompt store and the name of its service; if there are several, the first by name. store is nil if there is
// none.
func (c *Configuration) KVStore() (service string, store *Store) { return c.storeName, c.store }

// HasTenants reports whether requests need an API key unless their route is public. Tenants without keys count: nobody can
// make requests until one of them gets a key.
func (c *Configuration) HasTenants() bool { return len(c.tenantsByName) > 0 }

// IsolationHash identifies the set of isolated tenants. Prompt prefixes that were cached while the set was different may come from
// a tenant that is isolated now, so they are no longer shared.
func (c *Configuration) IsolationHash() uint64 { return c.isolationHash }

// hostName returns a Host header without its port, in lower case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// builder converts a protobuf message to a Configuration and collects findings.
type builder struct {
	message  *configpb.Configuration
	place    func(list string, i int, name string) string
	findings inputerrors.List
}

func (b *builder) build() *Configuration {
	c := &Configuration{Version: b.message.Version, Services: map[string]*Service{}, routesByHost: map[string][]*Route{},
		tenantsByKey: map[string]*Tenant{}, tenantsByName: map[string]*Tenant{}, Limits: limitsOf(b.message.Limits)}
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
	for _, routes := range c.routesByHost {
		slices.SortStableFunc(routes, func(x, y *Route) int { return len(y.Prefix) - len(x.Prefix) })
	}
	c.isolationHash = hashIsolatedTenants(b.message.Tenants)
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
	for _, other := range c.routesByHost[route.Host] {
		if other.Prefix == route.Prefix {
			b.findings.Add(place, "has the host and prefix of route %q", other.Name)
		}
	}
	c.routesByHost[route.Host] = append(c.routesByHost[route.Host], route)
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

// kindOf parses a route's kind. An unknown kind is Unsafe, so its requests run at most once.
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
	c.tenantsByName[t.Name] = tenant
	for _, key := range t.ApiKeys {
		if other := c.tenantsByKey[key]; other != nil && other.Name != t.Name {
			b.findings.Add(place, "shares a key with tenant %q", other.Name)
		}
		c.tenantsByKey[key] = tenant
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

// hashIsolatedTenants returns a hash of the sorted names of the isolated tenants.
func hashIsolatedTenants(tenants []*configpb.Tenant) uint64 {
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

// placeOf returns the place that a finding reports for an item of a list.
func placeOf(list string, i int, name string) string { return fmt.Sprintf("%s[%d] %s", list, i, name) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
