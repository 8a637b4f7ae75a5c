// Command harehook-testbed runs the project's simulations, its load test and its scaling measurements.
package main

import "harehook.dev/harehook/internal/testbed"

func main() { testbed.Main("harehook-testbed") }
