// Package cachetable provides the table of which instance caches which parts of prompts. Its sources are the changes that
// instances report, which arrive late, may have gaps and start over after a restart, and the prompts that instances have
// read for requests of this broker. The package does no I/O and has no clock or goroutine; times are in ms.
package cachetable

import (
	"hash/fnv"
)

const (
	maxParts      = 8192    // per instance; the oldest are dropped first
	unsyncedTTL   = 15000.0 // ms; lifetime of a part while its instance is not synced: it may have been evicted unnoticed
	unreportedTTL = 2500.0  // ms; lifetime of a part that was read but that its synced instance has not reported
)

// Key identifies a part of a prompt together with the salt that it is cached under.
type Key uint64

// KeyOf returns the key of a part: a hash of salt and id.
func KeyOf(salt, id string) Key {
	h := fnv.New64a()
	h.Write([]byte(salt))
	h.Write([]byte{0})
	h.Write([]byte(id))
	return Key(h.Sum64())
}

// Change is a reported change: the instance now caches this many tokens of the part; 0 if the part was evicted.
type Change struct {
	Key    Key
	Tokens float64
}

// Table holds the cached parts of each instance. It is not safe for concurrent use.
type Table struct {
	now       float64
	instances map[string]*cache
}

// cache holds the cached parts of one instance.
type cache struct {
	parts  map[Key]part
	order  []Key // in order of insertion; may contain keys that have been removed
	synced bool  // parts contains all reported changes up to epoch and token
	epoch  uint64
	token  uint64
}

type part struct {
	tokens    float64
	updatedAt float64
	reported  bool // reported by the instance
}

// New returns an empty table.
func New() *Table { return &Table{instances: map[string]*cache{}} }

// Advance sets the current time; it never moves back.
func (t *Table) Advance(now float64) { t.now = max(t.now, now) }

func (t *Table) cacheOf(instance string) *cache {
	cached := t.instances[instance]
	if cached == nil {
		cached = &cache{parts: map[Key]part{}}
		t.instances[instance] = cached
	}
	return cached
}

// Read records that an instance has read parts for a request of this broker.
func (t *Table) Read(instance string, keys []Key, tokens []float64) {
	cached := t.cacheOf(instance)
	for i, key := range keys {
		p, known := cached.parts[key]
		if !known {
			cached.order = append(cached.order, key)
		}
		cached.parts[key] = part{tokens: max(p.tokens, tokens[i]), updatedAt: t.now, reported: p.reported}
	}
	cached.shrink()
}

func (cached *cache) shrink() {
	for len(cached.order) > maxParts {
		delete(cached.parts, cached.order[0])
		cached.order = cached.order[1:]
	}
}

// Reported returns the parts that an instance has reported. synced is false if the table misses some of its changes.
func (t *Table) Reported(instance string) (held map[Key]float64, synced bool) {
	cached := t.instances[instance]
	if cached == nil || !cached.synced {
		return nil, false
	}
	held = make(map[Key]float64, len(cached.parts))
	for key, p := range cached.parts {
		if p.reported {
			held[key] = p.tokens
		}
	}
	return held, true
}

// Position returns the position up to which an instance's changes have been applied. If synced is false, the complete list
// is needed.
func (t *Table) Position(instance string) (epoch, token uint64, synced bool) {
	cached := t.instances[instance]
	if cached == nil {
		return 0, 0, false
	}
	return cached.epoch, cached.token, cached.synced
}

// Apply applies the changes between two positions. It returns false if there is a gap between them and the current
// position: then the complete list is needed.
func (t *Table) Apply(instance string, epoch, from, to uint64, changes []Change) bool {
	cached := t.cacheOf(instance)
	if !cached.synced || cached.epoch != epoch || from > cached.token {
		cached.synced = false
		return false
	}
	if to <= cached.token {
		return true // already applied
	}
	for _, c := range changes {
		t.set(cached, c)
	}
	cached.token = to
	cached.shrink()
	return true
}

func (t *Table) set(cached *cache, c Change) {
	if c.Tokens <= 0 {
		delete(cached.parts, c.Key)
		return
	}
	if _, known := cached.parts[c.Key]; !known {
		cached.order = append(cached.order, c.Key)
	}
	cached.parts[c.Key] = part{tokens: c.Tokens, updatedAt: t.now, reported: true}
}

// Replace replaces the cached parts of an instance by a complete list.
func (t *Table) Replace(instance string, epoch, token uint64, held []Change) {
	cached := &cache{parts: make(map[Key]part, len(held)), synced: true, epoch: epoch, token: token}
	t.instances[instance] = cached
	for _, c := range held {
		t.set(cached, c)
	}
	cached.shrink()
}

// MarkUnsynced records that changes of an instance were missed.
func (t *Table) MarkUnsynced(instance string) {
	if cached := t.instances[instance]; cached != nil {
		cached.synced = false
	}
}

// CachedTokens returns how many leading tokens of a prompt an instance caches: a part counts if all parts before it are cached
// completely.
func (t *Table) CachedTokens(instance string, keys []Key, tokens []float64) float64 {
	cached := t.instances[instance]
	if cached == nil {
		return 0
	}
	held := 0.0
	for i, key := range keys {
		p, known := cached.parts[key]
		if !known || !t.likelyCached(cached, p) {
			break
		}
		held += min(p.tokens, tokens[i])
		if p.tokens < tokens[i] {
			break
		}
	}
	return held
}

// likelyCached reports whether a part is likely to be cached still.
func (t *Table) likelyCached(cached *cache, p part) bool {
	switch {
	case cached.synced && p.reported:
		return true
	case cached.synced:
		return t.now-p.updatedAt <= unreportedTTL
	}
	return t.now-p.updatedAt <= unsyncedTTL
}

// Synced reports whether all changes of an instance have been applied.
func (t *Table) Synced(instance string) bool {
	cached := t.instances[instance]
	return cached != nil && cached.synced
}

// Forget removes an instance from the table.
func (t *Table) Forget(instance string) { delete(t.instances, instance) }

// Instances returns the number of instances in the table.
func (t *Table) Instances() int { return len(t.instances) }
