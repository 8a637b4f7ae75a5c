package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	queueMost  = 256 << 10              // bytes that wait to be written: some thousand lines
	syncWithin = 200 * time.Millisecond // for the last lines at the end; a platform kills 0.7 s after SIGTERM at the least
)

// queue writes in a goroutine of its own, which ends with the program. What finds no room is counted, and told once
// there is room again.
type queue struct {
	out  io.Writer
	more chan struct{}

	lock    sync.Mutex
	waiting []byte
	lost    int
	idle    chan struct{} // closed while nothing waits or is being written
}

func newQueue(out io.Writer) *queue {
	q := &queue{out: out, more: make(chan struct{}, 1), idle: make(chan struct{})}
	close(q.idle)
	go q.write()
	return q
}

// Write implements zapcore.WriteSyncer.
func (q *queue) Write(line []byte) (int, error) {
	q.lock.Lock()
	defer q.lock.Unlock()
	if len(q.waiting)+len(line) > queueMost {
		q.lost++
		return len(line), nil
	}
	select {
	case <-q.idle:
		q.idle = make(chan struct{})
	default:
	}
	if q.lost > 0 {
		q.waiting = fmt.Appendf(q.waiting, "%d lines of the log were lost\n", q.lost)
		q.lost = 0
	}
	q.waiting = append(q.waiting, line...)
	select {
	case q.more <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync waits until all is written, but not for long.
func (q *queue) Sync() error {
	q.lock.Lock()
	idle := q.idle
	q.lock.Unlock()
	timer := time.NewTimer(syncWithin)
	defer timer.Stop()
	select {
	case <-idle:
	case <-timer.C:
	}
	return nil
}

func (q *queue) write() {
	var lines []byte
	for range q.more {
		q.lock.Lock()
		lines, q.waiting = q.waiting, lines[:0]
		q.lock.Unlock()
		if len(lines) == 0 {
			continue // went out with those before
		}
		q.out.Write(lines) // there is no one to tell of a failure
		q.lock.Lock()
		if len(q.waiting) == 0 {
			close(q.idle)
		}
		q.lock.Unlock()
	}
}
