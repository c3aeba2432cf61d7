// Package holders is the table of which instance keeps which parts of prompts. It is fed by the changes that instances
// tell, which come late, with gaps and from the start again after a restart, and by what this broker's own requests
// have had read. It has no I/O, clock or goroutine; times are in ms.
package holders

import (
	"hash/fnv"
)

const (
	mostParts  = 8192    // of one instance; the oldest go first
	trustFor   = 15000.0 // ms; a part that this broker had read may have given way to others after so long
	confirmFor = 2500.0  // ms; for so long what this broker had read counts before the instance has told of it
)

// Key identifies a part under the salt that it is cached under.
type Key uint64

// KeyOf makes the key of a part.
func KeyOf(salt, id string) Key {
	h := fnv.New64a()
	h.Write([]byte(salt))
	h.Write([]byte{0})
	h.Write([]byte(id))
	return Key(h.Sum64())
}

// Change is one thing that an instance told: it keeps so many tokens of a part now.
type Change struct {
	Key    Key
	Tokens float64
}

// Table holds what each instance keeps. One goroutine at a time may use it.
type Table struct {
	now       float64
	instances map[string]*kept
}

// kept is what one instance keeps.
type kept struct {
	parts  map[Key]part
	order  []Key // as they came; keys that have gone meanwhile are passed over
	synced bool  // all changes up to now have been told
	epoch  uint64
	token  uint64
}

type part struct {
	tokens float64
	at     float64
	told   bool // by the instance
}

// New makes an empty table.
func New() *Table { return &Table{instances: map[string]*kept{}} }

// Advance sets the time.
func (t *Table) Advance(now float64) { t.now = max(t.now, now) }

func (t *Table) of(instance string) *kept {
	k := t.instances[instance]
	if k == nil {
		k = &kept{parts: map[Key]part{}}
		t.instances[instance] = k
	}
	return k
}

// Read notes that an instance has read parts for a request of this broker.
func (t *Table) Read(instance string, keys []Key, tokens []float64) {
	k := t.of(instance)
	for i, key := range keys {
		p, known := k.parts[key]
		if !known {
			k.order = append(k.order, key)
		}
		k.parts[key] = part{tokens: max(p.tokens, tokens[i]), at: t.now, told: p.told}
	}
	k.shrink()
}

func (k *kept) shrink() {
	for len(k.order) > mostParts {
		delete(k.parts, k.order[0])
		k.order = k.order[1:]
	}
}

// Told returns what an instance told that it keeps; false: that is not known whole.
func (t *Table) Told(instance string) (held map[Key]float64, synced bool) {
	k := t.instances[instance]
	if k == nil || !k.synced {
		return nil, false
	}
	held = make(map[Key]float64, len(k.parts))
	for key, p := range k.parts {
		if p.told {
			held[key] = p.tokens
		}
	}
	return held, true
}

// Position says up to where an instance's changes are in the table; false: the whole list is needed.
func (t *Table) Position(instance string) (epoch, token uint64, synced bool) {
	k := t.instances[instance]
	if k == nil {
		return 0, 0, false
	}
	return k.epoch, k.token, k.synced
}

// Apply takes changes that follow on a position. false: they do not follow on what is here, and the whole is needed.
func (t *Table) Apply(instance string, epoch, from, to uint64, changes []Change) bool {
	k := t.of(instance)
	if !k.synced || k.epoch != epoch || from > k.token {
		k.synced = false
		return false
	}
	if to <= k.token {
		return true // known already
	}
	for _, c := range changes {
		t.set(k, c)
	}
	k.token = to
	k.shrink()
	return true
}

func (t *Table) set(k *kept, c Change) {
	if c.Tokens <= 0 {
		delete(k.parts, c.Key)
		return
	}
	if _, known := k.parts[c.Key]; !known {
		k.order = append(k.order, c.Key)
	}
	k.parts[c.Key] = part{tokens: c.Tokens, at: t.now, told: true}
}

// Replace takes the whole of what an instance keeps.
func (t *Table) Replace(instance string, epoch, token uint64, held []Change) {
	k := &kept{parts: make(map[Key]part, len(held)), synced: true, epoch: epoch, token: token}
	t.instances[instance] = k
	for _, c := range held {
		t.set(k, c)
	}
	k.shrink()
}

// Lost notes that changes of an instance were missed.
func (t *Table) Lost(instance string) {
	if k := t.instances[instance]; k != nil {
		k.synced = false
	}
}

// Held is how many leading tokens of a prompt an instance keeps: a part counts if all before it are kept whole.
func (t *Table) Held(instance string, keys []Key, tokens []float64) float64 {
	k := t.instances[instance]
	if k == nil {
		return 0
	}
	held := 0.0
	for i, key := range keys {
		p, known := k.parts[key]
		if !known || !t.counts(k, p) {
			break
		}
		held += min(p.tokens, tokens[i])
		if p.tokens < tokens[i] {
			break
		}
	}
	return held
}

// counts says whether a part is likely to be kept still.
func (t *Table) counts(k *kept, p part) bool {
	switch {
	case k.synced && p.told:
		return true
	case k.synced:
		return t.now-p.at <= confirmFor
	}
	return t.now-p.at <= trustFor
}

// Synced says whether what an instance keeps is known whole.
func (t *Table) Synced(instance string) bool {
	k := t.instances[instance]
	return k != nil && k.synced
}

// Forget drops all that is known of an instance.
func (t *Table) Forget(instance string) { delete(t.instances, instance) }

// Instances is the number of instances that something is known of.
func (t *Table) Instances() int { return len(t.instances) }
