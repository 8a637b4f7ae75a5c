package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
	"harehook.dev/harehook/platform/wire"
)

// frame is a message as it goes over the wire.
func frame(body string) string {
	return string(wire.FrameHeader(len(body))) + body
}

const (
	zoneMessage       = `{"@type":"SOURCE","site":"north"}`
	loadReportMessage = `{"@type":"LOAD","site":"north","target":"s-1","count":20,"fail":0,"mean":41.7,"over":500.0}`
)

// Clients by the hundred say nothing, half a message, or what is no message. Each is closed within the time that the
// platform's page gives, and no collector with them.
func TestBadClientsAreClosedInTime(t *testing.T) {
	const clientsOfEachKind = 20
	r := startProgram(t, func(config map[string]any) { config["limits"].(map[string]any)["sockets"] = 256 })
	collector, err := fakeplatform.NewCollector(r.address, "north")
	if err != nil {
		t.Fatal(err)
	}
	defer collector.Close()
	if err := collector.Ping(); err != nil { // its zone is known then
		t.Fatal(err)
	}
	var clients sync.WaitGroup
	for name, text := range map[string]string{
		"silence":                      "",
		"half a message":               "\xc8\x00\x00\x00{",
		"half a header":                "\x10",
		"too long":                     "\xff\xff\xff\xff{",
		"HTTP":                         "GET / HTTP/1.1\r\nHost: n0\r\n\r\n",
		"another kind":                 frame(`{"@type":"CONFIG","seq":1}`),
		"null":                         frame("null"),
		"a proxy":                      frame(`{"@type":"SUBSCRIBE","id":1,"site":"north","rps":3,"new":1}`),
		"reports first":                frame(loadReportMessage),
		"no such zone":                 frame(`{"@type":"SOURCE","site":"nowhere"}`),
		"no JSON":                      frame("{]"),
		"a ping":                       frame(`{"@type":"PING"}`),
		"long before a zone is named":  "\x00\x10\x00\x00{",
		"bytes after joining":          frame(zoneMessage) + "\x13\x37\x13\x37",
		"half a message after joining": frame(zoneMessage) + frame(loadReportMessage)[:50],
	} {
		for range clientsOfEachKind {
			clients.Go(func() { r.expectClosedAfter(name, text) })
		}
	}
	clients.Go(func() { r.expectClosedWithin("pings without end", "", frame(`{"@type":"PING"}`)) })
	clients.Go(func() { r.expectClosedWithin("spaces without end", "\x00\x04\x00\x00", " ") })
	clients.Wait()
	if err := collector.Ping(); err != nil {
		t.Errorf("the collector was kept out: %v", err)
	}
	r.ping()
	r.join(0)
}

// expectClosedAfter sends a text and wants the connection to be closed in the time that the page gives to one who stops.
func (r *testProgram) expectClosedAfter(name, text string) {
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		r.t.Error(err)
		return
	}
	defer conn.Close()
	io.WriteString(conn, text)
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
		r.t.Errorf("%s: not closed", name)
	}
}

// expectClosedWithin sends a beginning and then a text again and again, and wants the connection to be closed in the time
// that the page gives to one who goes on.
func (r *testProgram) expectClosedWithin(name, beginning, text string) {
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		r.t.Error(err)
		return
	}
	defer conn.Close()
	go io.Copy(io.Discard, conn)
	io.WriteString(conn, beginning)
	until := time.Now().Add(6 * time.Second)
	for err == nil && time.Now().Before(until) {
		_, err = io.WriteString(conn, text)
		time.Sleep(time.Millisecond)
	}
	if err == nil {
		r.t.Errorf("%s: not closed", name)
	}
}

// A collector sends reports that lack a figure or are for another zone. They are rejected and counted; neither the
// reports around them nor the connection suffer.
func TestSpoiltReportIsRejectedAlone(t *testing.T) {
	r := startProgram(t, nil)
	collector, err := fakeplatform.NewCollector(r.address, "north")
	if err != nil {
		t.Fatal(err)
	}
	defer collector.Close()
	for _, bad := range []string{`{"@type":"LOAD","site":"north","target":"s-1","count":20,"fail":0,"over":500.0}`,
		`{"@type":"LOAD","site":"south","target":"s-1","count":20,"fail":0,"mean":41.7,"over":500.0}`, `{"@type":"LAOD"}`, `{}`} {
		io.WriteString(collector, frame(bad))
	}
	if err := collector.Ping(); err != nil {
		t.Fatal(err)
	}
	r.process.Process.Signal(syscall.SIGTERM)
	r.awaitLog(`"rejected_messages": 4`)
}

// Hundreds of clients send messages of the largest size, some without an end. Memory stays within the limit of the
// configuration, and a collector gets through.
func TestMemoryStaysWithinLimitInAFloodOfMessages(t *testing.T) {
	r := startProgram(t, nil)
	collector, err := fakeplatform.NewCollector(r.address, "north")
	if err != nil {
		t.Fatal(err)
	}
	defer collector.Close()
	long := append([]byte{0, 0, 16, 0}, bytes.Repeat([]byte{' '}, 1<<20)...)
	for k := range 300 {
		conn, err := net.Dial("tcp", r.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		c := &fakeplatform.Collector{Conn: conn} // by what it says
		c.Send(json.RawMessage(zoneMessage))
		c.SetWriteDeadline(time.Now().Add(10 * time.Second))
		c.Write(long)
		c.Ping() // the long message has been read then, or was closed as the one that holds most
		if k%2 == 1 {
			c.Write(long[:len(long)-1]) // lacks its end
		}
		if err := collector.Ping(); err != nil {
			t.Fatalf("the collector was kept out: %v", err)
		}
	}
	r.ping()
	r.process.Process.Signal(syscall.SIGTERM)
	if err := <-r.exited; err != nil {
		t.Fatal(err)
	}
	peak := r.process.ProcessState.SysUsage().(*syscall.Rusage).Maxrss >> 10
	if t.Logf("%d MB at most", peak); peak > 192 && !withRaceDetector() {
		t.Errorf("%d MB at most", peak)
	}
}
