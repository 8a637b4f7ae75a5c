package fakeplatform_test

import (
	"fmt"
	"net"
	"strings"

	"harehook.dev/harehook/internal/fakeplatform"
)

// A call becomes one message for each proxy concerned, which leaves when its entries have had their time.
func ExampleChannel() {
	channel := fakeplatform.NewChannel(4, 10) // 4 entries a message, 10 a second
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

// A relay keeps what commands set, and fails as it is told to.
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
