// Package protocol holds the platform's protocol as machines that are fed bytes: frames and their messages,
// the relay's calls, answers and news, discovery's responses. It knows no socket, goroutine or clock.
package protocol

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
)

const (
	frameHead  = 4
	frameMost  = 1 << 20  // bytes of a message, by the protocol's page
	bufferKept = 32 << 10 // bytes that an empty buffer may keep: a few seconds of reports
	figureMost = 1e9      // the largest count, or time in ms, that is believed: beyond it is a fault
)

// ErrFrame says that a connection's bytes can't be told apart into messages any more.
var ErrFrame = errors.New("frame over 1 MiB")

// buffer holds the bytes that have come and not been handed out.
type buffer struct {
	buf  []byte
	from int
}

// Feed takes bytes in. What was handed out before is void.
func (f *buffer) Feed(b []byte) {
	switch {
	case f.from == len(f.buf) && cap(f.buf) > bufferKept:
		f.buf = nil // one long message must not keep its memory for as long as the connection stands
	case f.from > 0:
		f.buf = f.buf[:copy(f.buf, f.buf[f.from:])]
	}
	f.buf, f.from = append(f.buf, b...), 0
}

// Frames cuts a connection's bytes into messages.
type Frames struct{ buffer }

// Held is the memory in bytes that it holds.
func (f *Frames) Held() int { return cap(f.buf) }

// Partial tells whether a message waits for its rest.
func (f *Frames) Partial() bool { return len(f.buf) > f.from }

// Trim gives back the memory of a long message once it has been read.
func (f *Frames) Trim() { f.Feed(nil) }

// Next gives the next whole message, in place; nil if there is none yet.
func (f *Frames) Next() ([]byte, error) {
	rest := f.buf[f.from:]
	if len(rest) < frameHead {
		return nil, nil
	}
	size := binary.LittleEndian.Uint32(rest)
	if size > frameMost {
		return nil, ErrFrame
	}
	if len(rest) < frameHead+int(size) {
		return nil, nil
	}
	f.from += frameHead + int(size)
	return rest[frameHead : frameHead+size : frameHead+size], nil
}

// FrameHead is the head of a message of that size.
func FrameHead(size int) []byte { return binary.LittleEndian.AppendUint32(nil, uint32(size)) }

// Pong is the answer to a ping.
const Pong = `{"@type":"PONG"}`

// Kind is what a message tells.
type Kind string

// The kinds of message that a conductor is sent.
const (
	KindPing   Kind = "PING"
	KindSource Kind = "SOURCE"
	KindLoad   Kind = "LOAD"
	KindRate   Kind = "RATE"
)

// Message is one decoded message. Times are in milliseconds.
type Message struct {
	Kind   Kind               `json:"@type"`
	Site   string             `json:"site"`
	Target string             `json:"target"`
	ID     *float64           `json:"id"`
	Lane   string             `json:"lane"`
	Count  float64            `json:"count"`
	Fail   float64            `json:"fail"`
	Mean   float64            `json:"mean"`
	Over   float64            `json:"over"`
	Util   map[string]float64 `json:"util"`
}

// valueNames are the settings' names of the values in a load report, by those on the sockets.
var valueNames = map[string]string{
	"inflight":   "outstanding",
	"queue":      "backlog",
	"util":       "utilization",
	"latency_ms": "recent_ms",
	"qps":        "throughput",
	"eps":        "errors_per_s",
}

// Decode reads a message and checks its figures.
func Decode(body []byte) (Message, error) {
	var m Message
	if err := json.Unmarshal(body, &m); err != nil {
		return m, err
	}
	for _, figure := range [...]float64{m.Count, m.Fail, m.Mean, m.Over} {
		if figure < 0 || figure > figureMost {
			return m, fmt.Errorf("%s: figure %g", m.Kind, figure)
		}
	}
	switch m.Kind {
	case KindPing, KindSource:
	case KindLoad:
		if m.Target == "" || m.Fail > m.Count {
			return m, fmt.Errorf("LOAD of %q: %g of %g failed", m.Target, m.Fail, m.Count)
		}
		for name, figure := range m.Util {
			if figure < 0 || figure > figureMost {
				return m, fmt.Errorf("LOAD of %q: %s is %g", m.Target, name, figure)
			}
			if known := valueNames[name]; known != "" {
				delete(m.Util, name)
				m.Util[known] = figure
			}
		}
	case KindRate:
		if m.ID == nil || *m.ID < 0 || *m.ID > math.MaxUint16 || m.Over == 0 {
			return m, errors.New("RATE without a proxy or a span")
		}
	default:
		return m, fmt.Errorf("unknown @type %q", m.Kind)
	}
	return m, nil
}
