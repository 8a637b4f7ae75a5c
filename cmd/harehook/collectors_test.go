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

// frame returns a message with its length header, as sent over a connection.
func frame(body string) string {
	return string(wire.FrameHeader(len(body))) + body
}

const (
	zoneMessage       = `{"@type":"SOURCE","site":"north"}`
	loadReportMessage = `{"@type":"LOAD","site":"north","target":"s-1","count":20,"fail":0,"mean":41.7,"over":500.0}`
)

// Hundreds of clients send nothing, part of a message or invalid data. The controller must close each connection within
// the time that the platform's protocol allows, and must keep the connection of a valid collector.
func TestInvalidClientsAreDisconnectedInTime(t *testing.T) {
	const clientsPerCase = 20
	r := startProgram(t, func(config map[string]any) { config["limits"].(map[string]any)["sockets"] = 256 })
	collector, err := fakeplatform.NewCollector(r.address, "north")
	if err != nil {
		t.Fatal(err)
	}
	defer collector.Close()
	if err := collector.Ping(); err != nil { // once answered, the collector's zone is known
		t.Fatal(err)
	}
	var clients sync.WaitGroup
	for name, text := range map[string]string{
		"silence":                        "",
		"partial message":                "\xc8\x00\x00\x00{",
		"partial header":                 "\x10",
		"length beyond the limit":        "\xff\xff\xff\xff{",
		"HTTP":                           "GET / HTTP/1.1\r\nHost: n0\r\n\r\n",
		"another message type":           frame(`{"@type":"CONFIG","seq":1}`),
		"null":                           frame("null"),
		"proxy message":                  frame(`{"@type":"SUBSCRIBE","id":1,"site":"north","rps":3,"new":1}`),
		"report before the zone":         frame(loadReportMessage),
		"unknown zone":                   frame(`{"@type":"SOURCE","site":"nowhere"}`),
		"invalid JSON":                   frame("{]"),
		"ping":                           frame(`{"@type":"PING"}`),
		"long message before the zone":   "\x00\x10\x00\x00{",
		"invalid bytes after the zone":   frame(zoneMessage) + "\x13\x37\x13\x37",
		"partial message after the zone": frame(zoneMessage) + frame(loadReportMessage)[:50],
	} {
		for range clientsPerCase {
			clients.Go(func() { r.expectClosedWhenIdle(name, text) })
		}
	}
	clients.Go(func() { r.expectClosedWhileSending("endless pings", "", frame(`{"@type":"PING"}`)) })
	clients.Go(func() { r.expectClosedWhileSending("endless spaces", "\x00\x04\x00\x00", " ") })
	clients.Wait()
	if err := collector.Ping(); err != nil {
		t.Errorf("ping of a valid collector: got error %v, want none", err)
	}
	r.ping()
	r.join(0)
}

// expectClosedWhenIdle sends text and nothing more. It fails the test unless the connection is closed within the time
// that the platform's protocol allows for a client that stops sending.
func (r *testProgram) expectClosedWhenIdle(name, text string) {
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		r.t.Error(err)
		return
	}
	defer conn.Close()
	io.WriteString(conn, text)
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
		r.t.Errorf("%s: connection is open 3 s after sending %q, want it closed", name, text)
	}
}

// expectClosedWhileSending sends prefix and then text repeatedly. It fails the test unless the connection is closed
// within the time that the platform's protocol allows for a client that keeps sending.
func (r *testProgram) expectClosedWhileSending(name, prefix, text string) {
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		r.t.Error(err)
		return
	}
	defer conn.Close()
	go io.Copy(io.Discard, conn)
	io.WriteString(conn, prefix)
	deadline := time.Now().Add(6 * time.Second)
	for err == nil && time.Now().Before(deadline) {
		_, err = io.WriteString(conn, text)
		time.Sleep(time.Millisecond)
	}
	if err == nil {
		r.t.Errorf("%s: connection is open after 6 s of sending %q, want it closed", name, text)
	}
}

// A collector sends reports that lack a value or belong to another zone, and messages of unknown type. The controller
// must reject and count each of them, and keep the connection open.
func TestInvalidReportIsRejectedAlone(t *testing.T) {
	r := startProgram(t, nil)
	collector, err := fakeplatform.NewCollector(r.address, "north")
	if err != nil {
		t.Fatal(err)
	}
	defer collector.Close()
	for _, invalid := range []string{`{"@type":"LOAD","site":"north","target":"s-1","count":20,"fail":0,"over":500.0}`,
		`{"@type":"LOAD","site":"south","target":"s-1","count":20,"fail":0,"mean":41.7,"over":500.0}`, `{"@type":"LAOD"}`, `{}`} {
		io.WriteString(collector, frame(invalid))
	}
	if err := collector.Ping(); err != nil {
		t.Fatal(err)
	}
	r.process.Process.Signal(syscall.SIGTERM)
	r.awaitLog(`"rejected_messages": 4`)
}

// Hundreds of clients send messages of the maximum size, half of them incomplete. Memory must stay within the
// configured limit, and a valid collector must still be served.
func TestMemoryStaysWithinLimitDuringMessageFlood(t *testing.T) {
	r := startProgram(t, nil)
	collector, err := fakeplatform.NewCollector(r.address, "north")
	if err != nil {
		t.Fatal(err)
	}
	defer collector.Close()
	longMessage := append([]byte{0, 0, 16, 0}, bytes.Repeat([]byte{' '}, 1<<20)...)
	for k := range 300 {
		conn, err := net.Dial("tcp", r.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		c := &fakeplatform.Collector{Conn: conn} // a collector only by its messages
		c.Send(json.RawMessage(zoneMessage))
		c.SetWriteDeadline(time.Now().Add(10 * time.Second))
		c.Write(longMessage)
		c.Ping() // returns when the long message was read, or the connection was closed for using the most memory
		if k%2 == 1 {
			c.Write(longMessage[:len(longMessage)-1]) // incomplete
		}
		if err := collector.Ping(); err != nil {
			t.Fatalf("ping of a valid collector after %d clients: got error %v, want none", k+1, err)
		}
	}
	r.ping()
	r.process.Process.Signal(syscall.SIGTERM)
	if err := <-r.exited; err != nil {
		t.Fatal(err)
	}
	peak := r.process.ProcessState.SysUsage().(*syscall.Rusage).Maxrss >> 10
	if t.Logf("peak memory: %d MB", peak); peak > 192 && !withRaceDetector() {
		t.Errorf("got peak memory %d MB, want at most 192 MB", peak)
	}
}
