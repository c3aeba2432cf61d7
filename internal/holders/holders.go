// Package holders is the table of which instance keeps which parts of prompts. It is fed by what this broker's own
// requests had read and by what instances tell of changes. It has no I/O, clock or goroutine; times are in ms.
package holders

import (
	"hash/fnv"
)

const (
	mostParts = 4096    // of one instance; the oldest go first
	trustFor  = 15000.0 // ms; a part that was not used or told of for so long may have given way to others
)

// Table holds what each instance keeps. One goroutine at a time may use it.
type Table struct {
	now       float64
	instances map[string]*kept
}

// kept is what one instance keeps, by the hash of salt and part.
type kept struct {
	parts map[uint64]part
	order []uint64 // as they came; entries that have gone meanwhile are passed over
}

type part struct {
	tokens float64
	at     float64
}

// New makes an empty table.
func New() *Table { return &Table{instances: map[string]*kept{}} }

// Advance sets the time.
func (t *Table) Advance(now float64) { t.now = max(t.now, now) }

// Read notes that an instance has read parts in their order.
func (t *Table) Read(instance, salt string, ids []string, tokens []float64) {
	k := t.instances[instance]
	if k == nil {
		k = &kept{parts: map[uint64]part{}}
		t.instances[instance] = k
	}
	for i, id := range ids {
		key := keyOf(salt, id)
		if _, known := k.parts[key]; !known {
			k.order = append(k.order, key)
		}
		k.parts[key] = part{tokens: tokens[i], at: t.now}
	}
	k.shrink()
}

func (k *kept) shrink() {
	for len(k.order) > mostParts {
		delete(k.parts, k.order[0])
		k.order = k.order[1:]
	}
}

// Held is how many leading tokens of a prompt an instance keeps: a part counts if all before it are kept whole.
func (t *Table) Held(instance, salt string, ids []string, tokens []float64) float64 {
	k := t.instances[instance]
	if k == nil {
		return 0
	}
	held := 0.0
	for i, id := range ids {
		p, known := k.parts[keyOf(salt, id)]
		if !known || t.now-p.at > trustFor {
			break
		}
		held += min(p.tokens, tokens[i])
		if p.tokens < tokens[i] {
			break
		}
	}
	return held
}

// Forget drops all that is known of an instance.
func (t *Table) Forget(instance string) { delete(t.instances, instance) }

func keyOf(salt, id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(salt))
	h.Write([]byte{0})
	h.Write([]byte(id))
	return h.Sum64()
}
