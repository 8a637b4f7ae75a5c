// Command harehookd is harehook-xds under its former name, for installations that still use that name.
package main

import "harehook.dev/harehook/internal/daemon"

func main() { daemon.Main("harehookd") }
