package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	maxQueuedBytes = 256 << 10 // some thousand lines

	// syncTimeout is for the last lines at a program's end, which a platform may kill 0.7 s after SIGTERM.
	syncTimeout = 200 * time.Millisecond
)

// lineQueue is a zapcore.WriteSyncer that doesn't block. It writes on a goroutine of its own, which ends with the
// program; Sync waits for what is queued. A line that finds no room is dropped, and the number of those is written once
// there is room again.
type lineQueue struct {
	out  io.Writer
	wake chan struct{} // holds a value while there may be something to write

	waitingLock sync.Mutex // guards the fields below
	waiting     []byte
	dropped     int           // lines, not reported yet
	idle        chan struct{} // closed while nothing waits or is being written
}

func newLineQueue(out io.Writer) *lineQueue {
	q := &lineQueue{out: out, wake: make(chan struct{}, 1), idle: make(chan struct{})}
	close(q.idle)
	go q.run()
	return q
}

// Write implements zapcore.WriteSyncer. It queues a line or drops it, and never fails.
func (q *lineQueue) Write(line []byte) (int, error) {
	q.waitingLock.Lock()
	defer q.waitingLock.Unlock()
	if len(q.waiting)+len(line) > maxQueuedBytes {
		q.dropped++
		return len(line), nil
	}
	q.setBusy()
	if q.dropped > 0 {
		q.waiting = fmt.Appendf(q.waiting, "%d lines of the log were lost\n", q.dropped)
		q.dropped = 0
	}
	q.waiting = append(q.waiting, line...)
	select {
	case q.wake <- struct{}{}:
	default: // the writer is going to look anyway
	}
	return len(line), nil
}

// setBusy needs waitingLock.
func (q *lineQueue) setBusy() {
	select {
	case <-q.idle:
		q.idle = make(chan struct{})
	default:
	}
}

// Sync implements zapcore.WriteSyncer. It waits until all is written, but not for longer than syncTimeout.
func (q *lineQueue) Sync() error {
	q.waitingLock.Lock()
	idle := q.idle
	q.waitingLock.Unlock()
	timer := time.NewTimer(syncTimeout)
	defer timer.Stop()
	select {
	case <-idle:
	case <-timer.C:
	}
	return nil
}

// run writes what waits. Two buffers take turns: one is written while the other one fills.
func (q *lineQueue) run() {
	var writing []byte
	for range q.wake {
		q.waitingLock.Lock()
		writing, q.waiting = q.waiting, writing[:0]
		q.waitingLock.Unlock()
		if len(writing) == 0 {
			continue // went out with the lines before
		}
		q.out.Write(writing) //nolint:errcheck // the log's own output cannot be logged
		q.waitingLock.Lock()
		if len(q.waiting) == 0 {
			close(q.idle)
		}
		q.waitingLock.Unlock()
	}
}
