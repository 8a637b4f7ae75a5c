package eventqueue_test

import (
	"fmt"
	"slices"
	"testing"

	"harehook.dev/harehook/simulation/eventqueue"
)

func ExampleQueue() {
	var queue eventqueue.Queue[int]
	queue.Schedule(5, func() { fmt.Println("message arrives") })
	queue.Schedule(2, func() { fmt.Println("message leaves") })
	queue.Schedule(9, func() { fmt.Println("not due yet") })
	for {
		event, due := queue.PopDue(6)
		if !due {
			break
		}
		fmt.Print("tick ", event.At, ": ")
		event.Run()
	}
	// Output:
	// tick 2: message leaves
	// tick 5: message arrives
}

func TestEventsOfSameTimeKeepSchedulingOrder(t *testing.T) {
	const events = 100
	var queue eventqueue.Queue[int]
	var got, want []int
	for n := range events {
		queue.Schedule(1, func() { got = append(got, n) })
		want = append(want, n)
	}
	for event, due := queue.PopDue(1); due; event, due = queue.PopDue(1) {
		event.Run()
	}
	if !slices.Equal(got, want) {
		t.Errorf("got order %v, want %v", got, want)
	}
}

func TestRunningEventCanScheduleAnother(t *testing.T) {
	var queue eventqueue.Queue[int]
	ran := 0
	queue.Schedule(1, func() {
		queue.Schedule(1, func() { ran++ })
	})
	for event, due := queue.PopDue(1); due; event, due = queue.PopDue(1) {
		event.Run()
	}
	if ran != 1 {
		t.Errorf("second event: got %d runs, want 1", ran)
	}
}
