package loadtest

import (
	"io"
	"sync/atomic"
	"time"
)

// wireCounter counts the bytes received and sent on all connections of a worker.
type wireCounter struct{ in, out atomic.Uint64 }

// reading returns the current counts.
func (w *wireCounter) reading() *wireReading {
	return &wireReading{At: time.Now().UnixNano(), In: w.in.Load(), Out: w.out.Load()}
}

// countingWriter counts the bytes written to writer.
type countingWriter struct {
	writer io.Writer
	count  *atomic.Uint64
}

// Write implements io.Writer.
func (w countingWriter) Write(data []byte) (int, error) {
	n, err := w.writer.Write(data)
	w.count.Add(uint64(n))
	return n, err
}
