package config

import "harehook.dev/harehook/internal/kdl"

// Names of top nodes, which tell the kinds of files apart.
const (
	controllerNode = "conductor"
	sidecarNode    = "sidecar"
	listedNode     = "node"
	agreedNode     = "agreed"
)

// FileKind returns what a file has, by its top nodes: "conductor", "sidecar", "node" if it has only nodes of a list, or ""
// if none of these. The error is the file's or its syntax's.
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
