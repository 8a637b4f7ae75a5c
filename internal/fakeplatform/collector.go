package fakeplatform

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"
)

// pingTimeout is how long a ping waits for its answer.
const pingTimeout = 5 * time.Second

// Collector passes reports on to a conductor.
type Collector struct{ net.Conn }

// NewCollector connects and names its zone.
func NewCollector(address, zone string) (*Collector, error) {
	conn, err := net.DialTimeout("tcp", address, pingTimeout)
	if err != nil {
		return nil, err
	}
	c := &Collector{conn}
	return c, c.Send(map[string]any{"@type": "SOURCE", "site": zone})
}

// Send sends one message.
func (c *Collector) Send(message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	_, err = c.Write(append(binary.LittleEndian.AppendUint32(nil, uint32(len(body))), body...))
	return err
}

// Ping asks whether the conductor is in use and reads its answer.
func (c *Collector) Ping() error {
	if err := c.Send(map[string]string{"@type": "PING"}); err != nil {
		return err
	}
	c.SetReadDeadline(time.Now().Add(pingTimeout))
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return err
	}
	body := make([]byte, binary.LittleEndian.Uint32(head[:]))
	if _, err := io.ReadFull(c, body); err != nil {
		return err
	}
	var answer struct {
		Kind string `json:"@type"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || answer.Kind != "PONG" {
		return fmt.Errorf("answer to a ping: %q", body)
	}
	return nil
}
