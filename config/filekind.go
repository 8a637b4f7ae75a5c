// Package install decodes the KDL configurations of installations other than the platform. Each fault names its line;
// a configuration with a fault is not used.
package config

import "harehook.dev/harehook/internal/kdl"

// FileKind says what a file holds: "conductor", "sidecar", "node" if it has nodes only, or "" if none of these.
func FileKind(path string) (kind string, err error) {
	err = read(path, func(_ *reader, nodes []*kdl.Node) {
		for k, n := range nodes {
			switch {
			case n.Name == "conductor" || n.Name == "sidecar":
				kind = n.Name
				return
			case k == 0 && n.Name == "node":
				kind = n.Name
			case n.Name != "node":
				kind = ""
			}
		}
	})
	return kind, err
}
