package followers

import (
	"container/heap"
	"time"
)

// event is something to be done at a time of a run; of two at one time the one that was scheduled first comes first.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// clock runs events in the order of their times.
type clock struct {
	elapsed time.Duration
	events  eventHeap
	count   int
}

// epoch is when runs begin.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (c *clock) now() time.Time { return epoch.Add(c.elapsed) }

// schedule has something done at a time of the run, at once if that is past.
func (c *clock) schedule(at time.Duration, do func()) {
	c.count++
	heap.Push(&c.events, event{max(at, c.elapsed), c.count, do})
}

func (c *clock) after(pause time.Duration, do func()) { c.schedule(c.elapsed+pause, do) }

// run does all that is due until a time, or until it is told to stop.
func (c *clock) run(until time.Duration, stop func() bool) {
	for len(c.events) > 0 && c.events[0].at <= until && !stop() {
		next := heap.Pop(&c.events).(event)
		c.elapsed = next.at
		next.do()
	}
}
