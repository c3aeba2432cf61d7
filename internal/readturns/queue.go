// Package readturns shares one processor among copies of large answers, so that requests which need little of it do not
// wait behind them. A copy whose bytes are always there never blocks: without turns each would run until the scheduler
// preempts it, one after the other.
//
// Only one such copy runs at a time, for a short turn, and between two turns the processor is left to everything else. The
// turns go round the servers from which the answers come, and round the answers of each server: what one server sends costs
// the others no more than its share, however many answers it sends.
package readturns

import "github.com/gammazero/deque"

// queue holds those who wait for a turn, by server.
type queue[T any] struct {
	servers deque.Deque[string] // that have somebody waiting, in the order of their turns
	waiting map[string]*deque.Deque[T]
}

func (q *queue[T]) empty() bool { return q.servers.Len() == 0 }

// push adds a waiter for an answer of a server.
func (q *queue[T]) push(server string, waiter T) {
	if q.waiting == nil {
		q.waiting = map[string]*deque.Deque[T]{}
	}
	list := q.waiting[server]
	if list == nil {
		list = &deque.Deque[T]{}
		q.waiting[server] = list
		q.servers.PushBack(server)
	}
	list.PushBack(waiter)
}

// pop removes the waiter whose turn it is. The queue must not be empty.
func (q *queue[T]) pop() T {
	server := q.servers.PopFront()
	list := q.waiting[server]
	waiter := list.PopFront()
	if list.Len() == 0 {
		delete(q.waiting, server)
	} else {
		q.servers.PushBack(server)
	}
	return waiter
}
