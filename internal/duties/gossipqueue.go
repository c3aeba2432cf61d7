package duties

// gossipQueue holds the records that are still gossiped. The records sent least often go first, among those the
// newest. It keeps one stack per number of sends, so that a message is filled without sorting the queue.
type gossipQueue struct {
	byItem  map[*item]*update
	bySends [][]*update // indexed by the number of sends; superseded entries stay until they are reached
}

// update is a record that is still gossiped.
type update struct {
	it         *item
	at         float64
	report     []byte
	superseded bool // a later update of the item replaced this one
}

// sentUpdate is an update with its new number of sends.
type sentUpdate struct {
	*update
	sends int
}

func newGossipQueue() gossipQueue {
	return gossipQueue{byItem: map[*item]*update{}, bySends: [][]*update{nil}}
}

func (t *gossipQueue) put(n *update) {
	t.drop(n.it)
	t.byItem[n.it] = n
	t.bySends[0] = append(t.bySends[0], n)
}

func (t *gossipQueue) drop(it *item) {
	if old := t.byItem[it]; old != nil {
		old.superseded = true
		delete(t.byItem, it)
		t.compact()
	}
}

// compact removes superseded updates when they outnumber those that still count.
func (t *gossipQueue) compact() {
	held := 0
	for _, s := range t.bySends {
		held += len(s)
	}
	if held <= 2*len(t.byItem)+64 {
		return
	}
	for i, s := range t.bySends {
		kept := s[:0]
		for _, n := range s {
			if !n.superseded {
				kept = append(kept, n)
			}
		}
		clear(s[len(kept):])
		t.bySends[i] = kept
	}
}

// take calls give with the next updates until it returns false. Each update is sent the given number of times
// in all.
func (t *gossipQueue) take(times int, give func(*update) bool) {
	for len(t.bySends) < times {
		t.bySends = append(t.bySends, nil)
	}
	var sent []sentUpdate
	for i := 0; i < len(t.bySends); i++ {
		for s := t.bySends[i]; len(s) > 0; s = t.bySends[i] {
			n := s[len(s)-1]
			if !n.superseded && !give(n) {
				t.requeue(sent, times)
				return
			}
			s[len(s)-1] = nil
			t.bySends[i] = s[:len(s)-1]
			if !n.superseded {
				sent = append(sent, sentUpdate{n, i + 1})
			}
		}
	}
	t.requeue(sent, times)
}

// requeue pushes sent updates on the stacks of their new number of sends, the newest on top again. It drops
// those that were sent often enough.
func (t *gossipQueue) requeue(sent []sentUpdate, times int) {
	for k := len(sent) - 1; k >= 0; k-- {
		n, i := sent[k].update, sent[k].sends
		if i >= times {
			delete(t.byItem, n.it)
		} else {
			t.bySends[i] = append(t.bySends[i], n)
		}
	}
}
