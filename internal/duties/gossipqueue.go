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

func (q *gossipQueue) put(n *update) {
	q.drop(n.it)
	q.byItem[n.it] = n
	q.bySends[0] = append(q.bySends[0], n)
}

func (q *gossipQueue) drop(it *item) {
	if old := q.byItem[it]; old != nil {
		old.superseded = true
		delete(q.byItem, it)
		q.compact()
	}
}

// compact removes superseded updates when they outnumber those that still count.
func (q *gossipQueue) compact() {
	queued := 0
	for _, s := range q.bySends {
		queued += len(s)
	}
	if queued <= 2*len(q.byItem)+64 {
		return
	}
	for i, s := range q.bySends {
		kept := s[:0]
		for _, n := range s {
			if !n.superseded {
				kept = append(kept, n)
			}
		}
		clear(s[len(kept):])
		q.bySends[i] = kept
	}
}

// take calls send with the next updates until it returns false. Each update is sent the given number of times
// in all.
func (q *gossipQueue) take(times int, send func(*update) bool) {
	for len(q.bySends) < times {
		q.bySends = append(q.bySends, nil)
	}
	var sent []sentUpdate
	for i := 0; i < len(q.bySends); i++ {
		for s := q.bySends[i]; len(s) > 0; s = q.bySends[i] {
			n := s[len(s)-1]
			if !n.superseded && !send(n) {
				q.requeue(sent, times)
				return
			}
			s[len(s)-1] = nil
			q.bySends[i] = s[:len(s)-1]
			if !n.superseded {
				sent = append(sent, sentUpdate{n, i + 1})
			}
		}
	}
	q.requeue(sent, times)
}

// requeue pushes sent updates on the stacks of their new number of sends, the newest on top again. It drops
// those that were sent often enough.
func (q *gossipQueue) requeue(sent []sentUpdate, times int) {
	for k := len(sent) - 1; k >= 0; k-- {
		n, i := sent[k].update, sent[k].sends
		if i >= times {
			delete(q.byItem, n.it)
		} else {
			q.bySends[i] = append(q.bySends[i], n)
		}
	}
}
