// Package eventqueue holds what is still to happen in a simulation. A simulation has no clock but the times of its
// events: it takes the next event, sets its clock to the event's time and runs it. The simulations of packages simulation
// (ticks) and simulation/followers (durations) use it.
package eventqueue

import (
	"cmp"
	"container/heap"
)

// Event is something that happens at a time of a simulation.
type Event[Time cmp.Ordered] struct {
	At  Time
	Run func()

	sequence int // counts the events as they were scheduled
}

// Queue gives events in the order of their times. Events of one time come in the order in which they were scheduled, so
// that a run depends on nothing but its seed. The zero value is an empty queue.
type Queue[Time cmp.Ordered] struct {
	events    eventHeap[Time]
	scheduled int
}

// Schedule adds an event.
func (q *Queue[Time]) Schedule(at Time, run func()) {
	q.scheduled++
	heap.Push(&q.events, Event[Time]{At: at, Run: run, sequence: q.scheduled})
}

// PopDue removes the next event if its time is no later than now.
func (q *Queue[Time]) PopDue(now Time) (next Event[Time], due bool) {
	if len(q.events) == 0 || q.events[0].At > now {
		return next, false
	}
	return heap.Pop(&q.events).(Event[Time]), true
}

// eventHeap implements heap.Interface, the next event first.
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
