package transport

import (
	"context"
	"errors"
	"testing"
)

// A stream ends in the instant in which its first request has been read and not yet been taken in: it is none. Its
// sidecar would count as joined for good, and what is ordered for it would wait.
func TestStreamCancelledBeforeItsFirstRequest(t *testing.T) {
	f, _ := serve(t, 4)
	ctx, cancel := context.WithCancel(t.Context())
	read, taken := make(chan struct{}), make(chan struct{})
	ended := make(chan struct{})
	requests := 0
	go func() {
		defer close(ended)
		f.serveStream(ctx, false, func() (streamNode, func(uint64) error, error) {
			if requests++; requests > 1 {
				close(taken)
				return streamNode{}, nil, errors.New("the stream has ended")
			}
			<-read // it was read before the end, and is handed on after it
			return streamNode{"till-1", "north"}, func(uint64) error { return nil }, nil
		}, func(any) error { return nil })
	}()
	cancel()
	<-ended
	close(read)
	<-taken
	if n := connectedSidecars(f); n != 0 {
		t.Errorf("%d sidecars count as joined by a stream that has ended", n)
	}
	f.call(func() {
		if n := len(f.streams); n != 0 {
			t.Errorf("%d streams stand", n)
		}
	})
}
