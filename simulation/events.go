package simulation

import "container/heap"

// event is something that happens at a tick. Events of one tick happen in the order in which they were scheduled.
type event struct {
	at, order int
	do        func()
}

// events is a heap of events, the next one first.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// schedule adds an event some ticks from now.
func (w *World) schedule(ticks int, do func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + ticks, w.order, do})
}

// runDue runs all events that are due.
func (w *World) runDue() {
	for len(w.queue) > 0 && w.queue[0].at <= w.now {
		heap.Pop(&w.queue).(event).do()
	}
}
