// Command simhost hosts planners on the simulator's binary wire. It reads batches from standard input, writes replies
// to standard output and writes the stack traces of panics to standard error. If a batch is malformed or contains a
// record that cannot be applied, or if reading or writing fails, it prints one line to standard error and exits with
// status 1.
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
