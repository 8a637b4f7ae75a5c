package fakeplatform

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"
)

// ResponseMode is how discovery answers polls.
type ResponseMode int

// The modes of discovery.
const (
	PlainResponse      ResponseMode = iota
	ChunkedResponse                 // in two chunks
	ByteByByteResponse              // at once, byte by byte
	SlowResponse                    // byte by byte, one now and then
	ClosingResponse                 // and the connection ends each time
	ErrorResponse                   // with an error status
	TruncatedResponse               // the connection breaks within the response
	NoResponse                      // the connection stays open
	EndlessResponse                 // a byte now and then, and never the last
	FloodResponse                   // as many bytes as are taken, and never the last
	UpdatesOnly                     // with an update, also to a poll for the full list
	DecreasingVersions              // each poll for an update with a version before the one that is held
	ImmediateResponse               // each poll for an update at once, with nothing new
)

// String is the name of the mode.
func (m ResponseMode) String() string {
	names := [...]string{"plain", "chunked", "byte by byte", "slow", "closing", "error", "truncated", "none", "endless", "flood",
		"updates only", "decreasing versions", "immediate"}
	if m < 0 || int(m) >= len(names) {
		return fmt.Sprintf("ResponseMode(%d)", int(m))
	}
	return names[m]
}

// writeResponse writes a response and reports whether another may follow on the connection.
func writeResponse(conn net.Conn, list EndpointList, mode ResponseMode) (more bool) {
	text := formatResponse(list, mode)
	switch mode {
	case TruncatedResponse:
		fmt.Fprint(conn, text[:len(text)/2])
		return false
	case EndlessResponse:
		writeEndless(conn, text[:len(text)/2])
		return false
	case FloodResponse:
		writeFlood(conn, text)
		return false
	case SlowResponse:
		writeBytes(conn, text, slowByteInterval)
		return true
	case ByteByByteResponse:
		writeBytes(conn, text, 0)
		return true
	}
	_, err := fmt.Fprint(conn, text)
	return err == nil && mode != ClosingResponse
}

// formatResponse is the response in full.
func formatResponse(list EndpointList, mode ResponseMode) string {
	body, err := json.Marshal(list)
	if err != nil {
		panic(err) // a list always can be encoded
	}
	status := "200 OK"
	header := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	switch mode {
	case ChunkedResponse:
		half := len(body) / 2
		header = "Transfer-Encoding: chunked\r\n"
		body = fmt.Appendf(nil, "%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	case ClosingResponse:
		header += "Connection: close\r\n"
	case EndlessResponse, FloodResponse:
		header = "" // the body lasts until the connection ends
	case ErrorResponse:
		status = "503 Service Unavailable"
	}
	return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n" + header + "\r\n" + string(body)
}

func writeBytes(conn net.Conn, text string, interval time.Duration) {
	for b := range strings.SplitSeq(text, "") {
		fmt.Fprint(conn, b)
		time.Sleep(interval)
	}
}

func writeFlood(conn net.Conn, text string) {
	var err error
	for err == nil {
		_, err = fmt.Fprint(conn, text)
	}
}
