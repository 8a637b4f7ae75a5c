// Package eventqueue provides the queue of pending events of a discrete-event simulation. Such a simulation has a
// virtual clock: it removes the next event from the queue, sets the clock to the event's time and runs the event.
// Packages simulation (times in ticks) and simulation/followers (times as durations) use it.
package eventqueue

import (
	"cmp"
	"container/heap"
)

// Event is a function that runs at a point in simulated time.
type Event[Time cmp.Ordered] struct {
	At  Time
	Run func()

	sequence int // number of the event in the order of scheduling
}

// Queue returns events in the order of their times. Events with the same time are returned in the order in which they
// were scheduled, so that a run depends only on its seed. The zero value is an empty queue.
type Queue[Time cmp.Ordered] struct {
	events    eventHeap[Time]
	scheduled int
}

// Schedule adds an event that calls run at a time.
func (q *Queue[Time]) Schedule(at Time, run func()) {
	q.scheduled++
	heap.Push(&q.events, Event[Time]{At: at, Run: run, sequence: q.scheduled})
}

// PopDue removes and returns the next event if its time is not after now. Otherwise due is false.
func (q *Queue[Time]) PopDue(now Time) (next Event[Time], due bool) {
	if len(q.events) == 0 || q.events[0].At > now {
		return next, false
	}
	return heap.Pop(&q.events).(Event[Time]), true
}

// eventHeap implements heap.Interface with the next event as the minimum.
type eventHeap[Time cmp.Ordered] []Event[Time]

func (h eventHeap[Time]) Len() int { return len(h) }

func (h eventHeap[Time]) Less(i, j int) bool {
	if h[i].At != h[j].At {
		return h[i].At < h[j].At
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap[Time]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap[Time]) Push(event any) { *h = append(*h, event.(Event[Time])) }

func (h *eventHeap[Time]) Pop() any {
	last := len(*h) - 1
	event := (*h)[last]
	*h = (*h)[:last]
	return event
}
