package config

import "harehook.dev/harehook/internal/kdl"

// Names of top nodes, which identify the kind of a file.
const (
	controllerNode = "conductor"
	sidecarNode    = "sidecar"
	listedNode     = "node"
	agreedNode     = "agreed"
)

// FileKind returns the kind of a file, which is determined by its top nodes: "conductor", "sidecar", "node" for a list
// of nodes, or "" for any other file. The error is that of reading the file, or wraps the kdl.Faults of its syntax.
func FileKind(path string) (kind string, err error) {
	err = read(path, func(_ *reader, nodes []*kdl.Node) { kind = kindOf(nodes) })
	return kind, err
}

func kindOf(nodes []*kdl.Node) (kind string) {
	for index, n := range nodes {
		switch {
		case n.Name == controllerNode || n.Name == sidecarNode:
			return n.Name
		case index == 0 && n.Name == listedNode:
			kind = listedNode
		case n.Name != listedNode:
			kind = ""
		}
	}
	return kind
}
