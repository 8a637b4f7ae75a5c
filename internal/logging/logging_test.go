package logging

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

// blockedWriter blocks in Write until it is released.
type blockedWriter struct {
	released chan struct{}
	written  chan []byte
}

func newBlockedWriter() *blockedWriter {
	return &blockedWriter{released: make(chan struct{}), written: make(chan []byte, 16)}
}

func (w *blockedWriter) Write(lines []byte) (int, error) {
	<-w.released
	w.written <- bytes.Clone(lines)
	return len(lines), nil
}

// The reader of the log stopped, and the program blocked. It must continue, also with a full queue, and the log must
// contain the number of dropped lines once it is read again.
func TestStoppedReaderDoesNotBlockTheProgram(t *testing.T) {
	const lineBytes = 1 << 10
	out := newBlockedWriter()
	q := newLineQueue(out)
	line := []byte(strings.Repeat("x", lineBytes-1) + "\n")
	mustWrite(t, q, line)
	waitUntilQueueEmpty(t, q)
	capacity := maxQueuedBytes / lineBytes
	for range capacity + 7 {
		mustWrite(t, q, line)
	}
	start := time.Now()
	if err := q.Sync(); err != nil || time.Since(start) < syncTimeout {
		t.Errorf("Sync with queued lines: got %v after %v, want <nil> after at least %v", err, time.Since(start), syncTimeout)
	}
	close(out.released)
	if first := <-out.written; len(first) != lineBytes {
		t.Errorf("first write: got %d bytes, want %d", len(first), lineBytes)
	}
	if queued := <-out.written; len(queued) != capacity*lineBytes {
		t.Errorf("second write: got %d bytes, want %d", len(queued), capacity*lineBytes)
	}
	mustWrite(t, q, []byte("next\n"))
	if got, want := string(<-out.written), "7 log lines were dropped because the log was not read fast enough\nnext\n"; got != want {
		t.Errorf("third write: got %q, want %q", got, want)
	}
	<-q.idle
	if err := q.Sync(); err != nil {
		t.Errorf("Sync with an empty queue: got %v, want <nil>", err)
	}
}

func mustWrite(t *testing.T, q *lineQueue, line []byte) {
	t.Helper()
	if n, err := q.Write(line); n != len(line) || err != nil {
		t.Fatalf("Write of %d bytes: got %d, %v, want %d, <nil>", len(line), n, err, len(line))
	}
}

// waitUntilQueueEmpty waits until run has removed all lines from the queue.
func waitUntilQueueEmpty(t *testing.T, q *lineQueue) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		q.queuedMutex.Lock()
		queued := len(q.queued)
		q.queuedMutex.Unlock()
		if queued == 0 {
			return
		}
	}
	t.Fatal("lines are still queued after 10 s, want an empty queue")
}

// One message in a tight loop must not fill the log, and must not suppress other messages.
func TestRepeatedMessageIsSampled(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	file, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	log := New("c-1", file)
	for k := range 500 {
		log.Info("repeated", zap.Int("k", k))
	}
	log.Warn("last")
	text := waitForText(t, path, "c-1\tlast")
	// On a slow machine the loop may take more than one of the sampler's seconds.
	if repeated := strings.Count(text, "repeated"); repeated < sampledFirst || repeated > 10*sampledFirst {
		t.Errorf("got %d of 500 lines, want %d to %d", repeated, sampledFirst, 10*sampledFirst)
	}
}

// Several nodes were ejected at the same time, and the log named only three of them. All lines with the same message
// that name different nodes must be written.
func TestUnsampledLoggerWritesEachLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	file, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	const lines = 50
	log := New("c-1", file).With(zap.Int("generation", 2)).Named(Unsampled)
	for node := range lines {
		log.Info("endpoint health changed", zap.Int("node", node))
	}
	log.Info("last")
	text := waitForText(t, path, "\tlast")
	if written := strings.Count(text, "endpoint health changed"); written != lines {
		t.Errorf("got %d lines, want %d", written, lines)
	}
}

// waitForText waits until a file contains want, and returns the content of the file.
func waitForText(t *testing.T, path, want string) string {
	t.Helper()
	var text []byte
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		var err error
		if text, err = os.ReadFile(path); err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(text), want) {
			return string(text)
		}
	}
	t.Fatalf("got log %q, want it to contain %q", text, want)
	return ""
}
