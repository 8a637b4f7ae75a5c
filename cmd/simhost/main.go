// Command simhost hosts planners on the simulator's wire: batches on standard input, replies on standard output, stacks
// of panics on standard error. It ends with status 1 and a line on standard error if a batch is malformed.
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
