// Command harehook-xds is a controller for installations without the platform: it serves sidecars over xDS.
package main

import "harehook.dev/harehook/internal/daemon"

func main() { daemon.Main("harehook-xds") }
