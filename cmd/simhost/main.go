// Command simhost hosts conductors on the wire of the bench: batches on standard input, replies on
// standard output.
package main

import (
	"fmt"
	"os"

	"harehook.dev/harehook/platform/simhost"
)

func main() {
	if err := simhost.Run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
