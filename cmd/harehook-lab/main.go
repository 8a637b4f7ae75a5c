// Command harehook-lab is harehook-testbed under its former name.
package main

import "harehook.dev/harehook/internal/testbed"

func main() { testbed.Main("harehook-lab") }
