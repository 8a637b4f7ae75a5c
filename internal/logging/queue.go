package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	maxQueuedBytes = 256 << 10              // bytes that wait to be written: some thousand lines
	syncTimeout    = 200 * time.Millisecond // for the last lines at the end; a platform kills 0.7 s after SIGTERM at the least
)

// lineQueue writes in a goroutine of its own, which ends with the program. What finds no room is counted, and told once
// there is room again.
type lineQueue struct {
	out  io.Writer
	wake chan struct{}

	waitingLock sync.Mutex
	waiting     []byte
	dropped     int
	idle        chan struct{} // closed while nothing waits or is being written
}

func newLineQueue(out io.Writer) *lineQueue {
	q := &lineQueue{out: out, wake: make(chan struct{}, 1), idle: make(chan struct{})}
	close(q.idle)
	go q.run()
	return q
}

// Write implements zapcore.WriteSyncer.
func (q *lineQueue) Write(line []byte) (int, error) {
	q.waitingLock.Lock()
	defer q.waitingLock.Unlock()
	if len(q.waiting)+len(line) > maxQueuedBytes {
		q.dropped++
		return len(line), nil
	}
	select {
	case <-q.idle:
		q.idle = make(chan struct{})
	default:
	}
	if q.dropped > 0 {
		q.waiting = fmt.Appendf(q.waiting, "%d lines of the log were lost\n", q.dropped)
		q.dropped = 0
	}
	q.waiting = append(q.waiting, line...)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync waits until all is written, but not for long.
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

func (q *lineQueue) run() {
	var lines []byte
	for range q.wake {
		q.waitingLock.Lock()
		lines, q.waiting = q.waiting, lines[:0]
		q.waitingLock.Unlock()
		if len(lines) == 0 {
			continue // went out with those before
		}
		q.out.Write(lines) // there is no one to tell of a failure
		q.waitingLock.Lock()
		if len(q.waiting) == 0 {
			close(q.idle)
		}
		q.waitingLock.Unlock()
	}
}
