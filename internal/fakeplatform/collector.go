package fakeplatform

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"
)

const pingTimeout = 5 * time.Second // for connecting, and for the response to a ping

// Collector is a connection on which the reports of a zone are sent to a controller.
type Collector struct{ net.Conn }

// NewCollector connects to a controller as the collector of a zone.
func NewCollector(address, zone string) (*Collector, error) {
	conn, err := net.DialTimeout("tcp", address, pingTimeout)
	if err != nil {
		return nil, err
	}
	c := &Collector{conn}
	if err := c.Send(map[string]any{"@type": "SOURCE", "site": zone}); err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// Send encodes a message as JSON and sends it.
func (c *Collector) Send(message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	frame := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	_, err = c.Write(append(frame, body...))
	return err
}

// Ping sends a ping and waits for the controller's response.
func (c *Collector) Ping() error {
	if err := c.Send(map[string]string{"@type": "PING"}); err != nil {
		return err
	}
	c.SetReadDeadline(time.Now().Add(pingTimeout))
	var header [4]byte
	if _, err := io.ReadFull(c, header[:]); err != nil {
		return err
	}
	body := make([]byte, binary.LittleEndian.Uint32(header[:]))
	if _, err := io.ReadFull(c, body); err != nil {
		return err
	}
	var response struct {
		Kind string `json:"@type"`
	}
	if err := json.Unmarshal(body, &response); err != nil || response.Kind != "PONG" {
		return fmt.Errorf("ping response: got %q, want a message of type PONG", body)
	}
	return nil
}
