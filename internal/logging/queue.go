package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	maxQueuedBytes = 256 << 10 // a few thousand lines

	// syncTimeout limits the time to write the last lines when a program ends. A platform may kill the program 0.7 s
	// after SIGTERM.
	syncTimeout = 200 * time.Millisecond
)

// lineQueue is a zapcore.WriteSyncer whose Write does not block. A separate goroutine writes the queued lines until the
// program ends, and Sync waits for them. A line that does not fit in the queue is dropped, and the number of dropped
// lines is written once there is room again.
type lineQueue struct {
	out  io.Writer
	wake chan struct{} // has a value while there may be lines to write

	queuedMutex sync.Mutex // guards the fields below
	queued      []byte
	dropped     int           // number of dropped lines not reported yet
	idle        chan struct{} // closed while no line is queued or being written
}

func newLineQueue(out io.Writer) *lineQueue {
	q := &lineQueue{out: out, wake: make(chan struct{}, 1), idle: make(chan struct{})}
	close(q.idle)
	go q.run()
	return q
}

// Write implements zapcore.WriteSyncer. It queues a line or drops it, and never fails.
func (q *lineQueue) Write(line []byte) (int, error) {
	q.queuedMutex.Lock()
	defer q.queuedMutex.Unlock()
	if len(q.queued)+len(line) > maxQueuedBytes {
		q.dropped++
		return len(line), nil
	}
	q.setBusy()
	if q.dropped > 0 {
		q.queued = fmt.Appendf(q.queued, "%d log lines were dropped because the log was not read fast enough\n", q.dropped)
		q.dropped = 0
	}
	q.queued = append(q.queued, line...)
	select {
	case q.wake <- struct{}{}:
	default: // the writer is woken already
	}
	return len(line), nil
}

// setBusy replaces idle by an open channel if it is closed. queuedMutex must be locked.
func (q *lineQueue) setBusy() {
	select {
	case <-q.idle:
		q.idle = make(chan struct{})
	default:
	}
}

// Sync implements zapcore.WriteSyncer. It waits until all lines are written, for at most syncTimeout.
func (q *lineQueue) Sync() error {
	q.queuedMutex.Lock()
	idle := q.idle
	q.queuedMutex.Unlock()
	timer := time.NewTimer(syncTimeout)
	defer timer.Stop()
	select {
	case <-idle:
	case <-timer.C:
	}
	return nil
}

// run writes the queued lines. It swaps two buffers: one is written while the other is filled.
func (q *lineQueue) run() {
	var writing []byte
	for range q.wake {
		q.queuedMutex.Lock()
		writing, q.queued = q.queued, writing[:0]
		q.queuedMutex.Unlock()
		if len(writing) == 0 {
			continue // the lines were written together with earlier ones
		}
		q.out.Write(writing) //nolint:errcheck // the log's own output cannot be logged
		q.queuedMutex.Lock()
		if len(q.queued) == 0 {
			close(q.idle)
		}
		q.queuedMutex.Unlock()
	}
}
