package gateway

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"gullstair/internal/balance"
	"gullstair/internal/cachetable"
	"gullstair/internal/configuration"
	"gullstair/internal/instances"
	"gullstair/internal/rendezvous"
)

// promptPart is one part of a prompt: its id and its length in tokens.
type promptPart struct {
	id     string
	tokens float64
}

// prompt describes the prompt of a request, as given in its headers.
type prompt struct {
	model  string
	tokens float64
	parts  []promptPart
}

// parsePrompt parses the prompt headers of a request. It returns nil if there is no model.
func parsePrompt(h http.Header) *prompt {
	model := h.Get("X-Model")
	if model == "" {
		return nil
	}
	p := &prompt{model: model}
	for field := range strings.SplitSeq(h.Get("X-Prompt-Prefix"), ",") {
		id, count, found := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := strconv.ParseFloat(count, 64)
		if !found || err != nil || tokens < 0 || id == "" {
			continue
		}
		p.parts = append(p.parts, promptPart{id, tokens})
		p.tokens += tokens
	}
	if in, _, _ := strings.Cut(h.Get("X-Token-Count"), ","); in != "" {
		if tokens, err := strconv.ParseFloat(strings.TrimSpace(in), 64); err == nil && tokens >= p.tokens {
			p.tokens = tokens
		}
	}
	return p
}

// shared returns the parts that other requests may have in common with this one: all but the last.
func (p *prompt) shared() []promptPart { return p.parts[:max(0, len(p.parts)-1)] }

// saltBytes keeps salts short, because every reported change of a cache contains one. A collision is expected only among
// about 2^48 salts.
const saltBytes = 12

// salt returns the cache salt that separates cached parts which must not be shared. It is a hash of the model, the version of
// its weights, the set of isolated tenants and, if the tenant is isolated, the tenant. Parts are found only under the salt
// that they were cached with.
func salt(model string, version int64, isolation uint64, tenant *configuration.Tenant) string {
	text := fmt.Sprintf("%s\x00%d\x00%x", model, version, isolation)
	if tenant != nil && tenant.Isolated {
		text += "\x00" + tenant.Name
	}
	sum := sha256.Sum256([]byte(text))
	return base64.RawURLEncoding.EncodeToString(sum[:saltBytes])
}

// placementOrder orders instances for a prompt's shared parts by rendezvous hashing: all brokers compute the same order
// without communication, and few prompts move when an instance joins or leaves. The key excludes the version of the weights
// so that a rollout does not move the parts.
func placementOrder(p *prompt, isolation string, candidates []instances.Instance) []string {
	key := p.model + "\x00" + isolation
	for _, part := range p.shared() {
		key += "\x00" + part.id
	}
	ids := make([]string, len(candidates))
	for i, c := range candidates {
		ids[i] = c.ID
	}
	return rendezvous.Order(key, ids)
}

// bitsPerByte and perMs convert Mbit/s of a link into the time to transfer the cached state of a token.
const (
	bitsPerByte = 8
	perMs       = 1000.0
)

// describe returns the description of a prompt for the balancer: its length, and which instances and stores cache how much
// of it.
func (s *Server) describe(p *prompt, config *configuration.Configuration, tenant *configuration.Tenant, engine *configuration.Engine,
	candidates []instances.Instance) *balance.Prompt {
	isolation := config.IsolationHash()
	counts := p.tokenCounts()
	out := &balance.Prompt{Tokens: p.tokens, CachedTokens: map[string]float64{}, WeightsVersions: map[string]int64{}}
	for _, part := range p.shared() {
		out.SharedTokens += part.tokens
	}
	for _, c := range candidates {
		out.WeightsVersions[c.ID] = c.VersionOf(p.model)
	}
	s.cacheTable.with(func(t *cachetable.Table) {
		keys := map[int64][]cachetable.Key{} // by version of the weights
		for _, c := range candidates {
			version := out.WeightsVersions[c.ID]
			if keys[version] == nil {
				keys[version] = p.keys(salt(p.model, version, isolation, tenant))
			}
			if held := t.CachedTokens(c.ID, keys[version], counts); held > 0 {
				out.CachedTokens[c.ID] = held
			}
		}
		addStore(out, t, config, keys, counts)
	})
	if len(p.shared()) > 0 && len(candidates) > 0 {
		out.PlacementOrder = placementOrder(p, salt("", 0, isolation, tenant), candidates)
		if home := out.PlacementOrder[0]; !s.cacheTable.synced(home) { // not known completely: assume that it caches the parts placed there
			out.CachedTokens[home] = max(out.CachedTokens[home], out.SharedTokens)
		}
	}
	if engine != nil && engine.LinkMbps > 0 {
		out.FetchMsPerToken = engine.TokenBytes * bitsPerByte / (engine.LinkMbps * perMs)
		out.CrossZoneFetchMsPerToken = 2 * out.FetchMsPerToken
	}
	return out
}

// StoreName returns the key of a store in the table of cached parts.
func StoreName(service string) string { return "store/" + service }

// addStore adds the store of cached parts, with the tokens that it holds for the newest version of the weights.
func addStore(out *balance.Prompt, t *cachetable.Table, config *configuration.Configuration, keys map[int64][]cachetable.Key, counts []float64) {
	service, store := config.KVStore()
	if store == nil || len(keys) == 0 {
		return
	}
	newest := slices.Max(slices.Collect(maps.Keys(keys)))
	name := StoreName(service)
	held := t.CachedTokens(name, keys[newest], counts)
	if held == 0 {
		return
	}
	out.CachedTokens[name], out.WeightsVersions[name] = held, newest
	out.StoreZones = map[string]string{name: store.Zone}
}

func (p *prompt) keys(salt string) []cachetable.Key {
	keys := make([]cachetable.Key, len(p.parts))
	for i, part := range p.parts {
		keys[i] = cachetable.KeyOf(salt, part.id)
	}
	return keys
}

func (p *prompt) tokenCounts() []float64 {
	counts := make([]float64, len(p.parts))
	for i, part := range p.parts {
		counts[i] = part.tokens
	}
	return counts
}
