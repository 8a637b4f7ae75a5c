package fakeplatform

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"
)

// ResponseMode describes how discovery responds to polls.
type ResponseMode int

// The modes of discovery.
const (
	PlainResponse      ResponseMode = iota
	ChunkedResponse                 // two chunks
	ByteByByteResponse              // byte by byte, without delay
	SlowResponse                    // byte by byte, with a delay after each byte
	ClosingResponse                 // the connection is closed after each response
	ErrorResponse                   // an error status
	TruncatedResponse               // the connection is closed in the middle of the response
	NoResponse                      // no response; the connection stays open
	EndlessResponse                 // byte by byte with a delay, without an end
	FloodResponse                   // as many bytes as the client reads, without an end
	UpdatesOnly                     // an update, also in response to a poll for the full list
	DecreasingVersions              // the response to a poll for an update has the version before the current one
	ImmediateResponse               // an immediate response to a poll for an update, without changes
)

// String returns the name of the mode.
func (m ResponseMode) String() string {
	names := [...]string{"plain", "chunked", "byte by byte", "slow", "closing", "error", "truncated", "none", "endless", "flood",
		"updates only", "decreasing versions", "immediate"}
	if m < 0 || int(m) >= len(names) {
		return fmt.Sprintf("ResponseMode(%d)", int(m))
	}
	return names[m]
}

// writeResponse writes a response and reports whether the connection can be used for another one.
func writeResponse(conn net.Conn, list EndpointList, mode ResponseMode) (reusable bool) {
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

// formatResponse returns the complete response.
func formatResponse(list EndpointList, mode ResponseMode) string {
	body, err := json.Marshal(list)
	if err != nil {
		panic(err) // an EndpointList can always be encoded
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
		header = "" // the body ends when the connection is closed
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
