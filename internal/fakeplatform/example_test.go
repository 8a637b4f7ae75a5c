package fakeplatform_test

import (
	"fmt"
	"net"
	"strings"

	"harehook.dev/harehook/internal/fakeplatform"
)

// A call results in one message for each affected proxy. A message is sent when the rate allows all its entries.
func ExampleChannel() {
	channel := fakeplatform.NewChannel(4, 10) // overhead of 4 entries per message, 10 entries per second
	channel.Join(7)
	fmt.Println(channel.Call("txn put,1,s-5,1.5;attach,7,1,*;fence,9,0\r\n"), "commands executed")
	fmt.Println(channel.WaitingEntries(), "entries wait")
	fmt.Println(channel.Advance(0.5, 1))
	fmt.Println(channel.Advance(0.8, 1))
	// Output:
	// 3 commands executed
	// 7 entries wait
	// []
	// [{7 9}]
}

// A relay stores the weights and bindings that commands set, and injects faults on request.
func ExampleRelay() {
	relay, err := fakeplatform.NewRelay("127.0.0.1:0", func(string) bool { return true }, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer relay.Close()
	relay.Join(fakeplatform.Proxy{ID: 7, Zone: "north", Rate: 10})
	relay.InjectFaults(fakeplatform.RejectedNotStarted)
	conn, err := net.Dial("tcp", relay.Address())
	if err != nil {
		fmt.Println(err)
		return
	}
	defer conn.Close()
	buf := make([]byte, 64)
	for range 2 {
		fmt.Fprint(conn, "txn put,1,s-5,1.5;attach,7,1,*\r\n")
		n, err := conn.Read(buf)
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(strings.TrimSpace(string(buf[:n])))
	}
	relay.Lock()
	defer relay.Unlock()
	fmt.Println(relay.Tables, relay.Bound)
	// Output:
	// ERR throttled
	// OK 2
	// map[1:map[s-5:1.5]] map[7:1]
}
