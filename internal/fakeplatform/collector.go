package fakeplatform

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"
)

// answerWithin is how long a ping waits for its answer.
const answerWithin = 5 * time.Second

// Collector passes reports on to a conductor.
type Collector struct{ net.Conn }

// Collect connects and names its zone.
func Collect(address, zone string) (*Collector, error) {
	conn, err := net.DialTimeout("tcp", address, answerWithin)
	if err != nil {
		return nil, err
	}
	c := &Collector{conn}
	return c, c.Say(map[string]any{"@type": "SOURCE", "site": zone})
}

// Say sends one message.
func (c *Collector) Say(message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	_, err = c.Write(append(binary.LittleEndian.AppendUint32(nil, uint32(len(body))), body...))
	return err
}

// Ping asks whether the conductor is in use and reads its answer.
func (c *Collector) Ping() error {
	if err := c.Say(map[string]string{"@type": "PING"}); err != nil {
		return err
	}
	c.SetReadDeadline(time.Now().Add(answerWithin))
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
