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
	"gullstair/internal/configuration"
	"gullstair/internal/holders"
	"gullstair/internal/instances"
	"gullstair/internal/rendezvous"
)

// promptPart is one part of a prompt: its id and how many tokens it has.
type promptPart struct {
	id     string
	tokens float64
}

// prompt is what a request says of the prompt that it runs on.
type prompt struct {
	model  string
	tokens float64
	parts  []promptPart
}

// parsePrompt reads a request's prompt; nil: it has none.
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

// shared are the parts that other requests may have in common with this one: all but the last.
func (p *prompt) shared() []promptPart { return p.parts[:max(0, len(p.parts)-1)] }

// saltBytes keeps salts short: they are told with every change of what is kept. A collision would take 2^48 memories.
const saltBytes = 12

// salt names the memory that cached parts belong to: the model, the version of its weights, the set of isolated
// tenants, and the tenant where it is one of them. Parts are found under the same salt only.
func salt(model string, version int64, walls uint64, tenant *configuration.Tenant) string {
	text := fmt.Sprintf("%s\x00%d\x00%x", model, version, walls)
	if tenant != nil && tenant.Isolated {
		text += "\x00" + tenant.Name
	}
	sum := sha256.Sum256([]byte(text))
	return base64.RawURLEncoding.EncodeToString(sum[:saltBytes])
}

// placementOrder orders instances for a prompt's shared parts by rendezvous hashing: alike at all brokers, without a
// word between them, and moved little when an instance comes or goes. The version of the weights is left out, so that
// a roll-out does not move the parts.
func placementOrder(p *prompt, wall string, candidates []instances.Instance) []string {
	key := p.model + "\x00" + wall
	for _, part := range p.shared() {
		key += "\x00" + part.id
	}
	ids := make([]string, len(candidates))
	for i, c := range candidates {
		ids[i] = c.ID
	}
	return rendezvous.Order(key, ids)
}

// bitsPerByte and perMs turn a link's Mbit/s into the time that a token's memory takes.
const (
	bitsPerByte = 8
	perMs       = 1000.0
)

// describe tells the balancer what a request reads and who keeps how much of it.
func (s *Server) describe(p *prompt, config *configuration.Configuration, tenant *configuration.Tenant, engine *configuration.Engine,
	candidates []instances.Instance) *balance.Prompt {
	walls := config.Walls()
	counts := p.counts()
	out := &balance.Prompt{Tokens: p.tokens, Held: map[string]float64{}, Group: map[string]int64{}}
	for _, part := range p.shared() {
		out.Shared += part.tokens
	}
	for _, c := range candidates {
		out.Group[c.ID] = c.VersionOf(p.model)
	}
	s.holders.with(func(t *holders.Table) {
		keys := map[int64][]holders.Key{} // by version
		for _, c := range candidates {
			version := out.Group[c.ID]
			if keys[version] == nil {
				keys[version] = p.keys(salt(p.model, version, walls, tenant))
			}
			if held := t.Held(c.ID, keys[version], counts); held > 0 {
				out.Held[c.ID] = held
			}
		}
		addStore(out, t, config, keys, counts)
	})
	if len(p.shared()) > 0 && len(candidates) > 0 {
		out.Home = placementOrder(p, salt("", 0, walls, tenant), candidates)
		if home := out.Home[0]; !s.holders.synced(home) { // taken to keep what belongs there
			out.Held[home] = max(out.Held[home], out.Shared)
		}
	}
	if engine != nil && engine.LinkMbps > 0 {
		out.FetchTime = engine.TokenBytes * bitsPerByte / (engine.LinkMbps * perMs)
		out.AcrossTime = 2 * out.FetchTime
	}
	return out
}

// StoreName is what the holder table knows a store by.
func StoreName(service string) string { return "store/" + service }

// addStore adds the store of kept prompts, with what it keeps for the newest weights.
func addStore(out *balance.Prompt, t *holders.Table, config *configuration.Configuration, keys map[int64][]holders.Key, counts []float64) {
	service, store := config.KVStore()
	if store == nil || len(keys) == 0 {
		return
	}
	newest := slices.Max(slices.Collect(maps.Keys(keys)))
	name := StoreName(service)
	held := t.Held(name, keys[newest], counts)
	if held == 0 {
		return
	}
	out.Held[name], out.Group[name] = held, newest
	out.Stores = map[string]string{name: store.Zone}
}

func (p *prompt) keys(salt string) []holders.Key {
	keys := make([]holders.Key, len(p.parts))
	for i, part := range p.parts {
		keys[i] = holders.KeyOf(salt, part.id)
	}
	return keys
}

func (p *prompt) counts() []float64 {
	counts := make([]float64, len(p.parts))
	for i, part := range p.parts {
		counts[i] = part.tokens
	}
	return counts
}
