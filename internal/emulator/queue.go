package emulator

// eventQueue is a priority queue of events, ordered by time and then by order of insertion. It is a heap with four children
// per node, which has half the depth of a binary heap; BenchmarkQueue compares the two.
type eventQueue struct {
	heap    []event
	lastSeq uint64 // sequence number of the last event
}

// event is a function to be called at a time in ms.
type event struct {
	at  float64
	seq uint64 // order of insertion, from 1
	run func()
}

func (e event) before(other event) bool {
	return e.at < other.at || e.at == other.at && e.seq < other.seq
}

func (q *eventQueue) len() int { return len(q.heap) }

// push adds an event.
func (q *eventQueue) push(at float64, run func()) {
	q.lastSeq++
	e := event{at, q.lastSeq, run}
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / 4
		if !e.before(q.heap[parent]) {
			break
		}
		q.heap[i] = q.heap[parent]
		i = parent
	}
	q.heap[i] = e
}

// pop removes and returns the first event. The queue must not be empty.
func (q *eventQueue) pop() event {
	heap := q.heap
	top, last := heap[0], heap[len(heap)-1]
	heap[len(heap)-1] = event{}
	heap = heap[:len(heap)-1]
	q.heap = heap
	if len(heap) == 0 {
		return top
	}
	i := 0
	for {
		least, firstChild := -1, 4*i+1
		for child := firstChild; child < min(firstChild+4, len(heap)); child++ {
			if least < 0 || heap[child].before(heap[least]) {
				least = child
			}
		}
		if least < 0 || !heap[least].before(last) {
			break
		}
		heap[i] = heap[least]
		i = least
	}
	heap[i] = last
	return top
}
