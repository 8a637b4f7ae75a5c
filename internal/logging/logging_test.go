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

// blockedWriter takes nothing until it is released.
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

// Whoever read the log stopped, and the program stood still. It has to go on, also when the queue is full, and once the
// log is read again it has to say how many lines were dropped.
func TestStoppedReaderDoesNotBlockTheProgram(t *testing.T) {
	const lineBytes = 1 << 10
	out := newBlockedWriter()
	q := newLineQueue(out)
	line := []byte(strings.Repeat("x", lineBytes-1) + "\n")
	mustWrite(t, q, line)
	waitUntilTaken(t, q)
	fitting := maxQueuedBytes / lineBytes
	for range fitting + 7 {
		mustWrite(t, q, line)
	}
	begun := time.Now()
	if err := q.Sync(); err != nil || time.Since(begun) < syncTimeout {
		t.Errorf("Sync returned %v after %v with lines that wait", err, time.Since(begun))
	}
	close(out.released)
	if first := <-out.written; len(first) != lineBytes {
		t.Errorf("%d bytes written first, want %d", len(first), lineBytes)
	}
	if queued := <-out.written; len(queued) != fitting*lineBytes {
		t.Errorf("%d bytes were queued, want %d", len(queued), fitting*lineBytes)
	}
	mustWrite(t, q, []byte("next\n"))
	if got := string(<-out.written); got != "7 lines of the log were lost\nnext\n" {
		t.Errorf("then %q", got)
	}
	<-q.idle
	if err := q.Sync(); err != nil {
		t.Errorf("Sync with nothing left: %v", err)
	}
}

func mustWrite(t *testing.T, q *lineQueue, line []byte) {
	t.Helper()
	if n, err := q.Write(line); n != len(line) || err != nil {
		t.Fatalf("Write gives %d and %v", n, err)
	}
}

// waitUntilTaken waits until what is queued is being written.
func waitUntilTaken(t *testing.T, q *lineQueue) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		q.waitingLock.Lock()
		waiting := len(q.waiting)
		q.waitingLock.Unlock()
		if waiting == 0 {
			return
		}
	}
	t.Fatal("nothing is being written")
}

// One message in a tight loop must not fill the log, nor keep another one out of it.
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
		t.Errorf("%d of 500 lines were written", repeated)
	}
}

// Several nodes were ejected at once, and the log named three of them. Lines of one message that name different nodes have
// to be written all.
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
		t.Errorf("%d of %d lines were written", written, lines)
	}
}

// waitForText waits until a file has some text, and gives all of it.
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
	t.Fatalf("%q is not written: %s", want, text)
	return ""
}
