// Command harehook-testbed runs the project's simulations, load test and scaling measurements.
package main

import "harehook.dev/harehook/internal/testbed"

func main() { testbed.Main("harehook-testbed") }
