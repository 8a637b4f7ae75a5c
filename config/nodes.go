package config

import (
	"net"
	"strconv"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/internal/kdl"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/xds"
)

// Node is an endpoint of a controller's list of nodes, with the address at which it accepts requests.
type Node struct {
	controller.Endpoint
	Address xds.Address
}

// nodeListReader reads a list of nodes.
type nodeListReader struct {
	*reader
	controller  *Controller
	nodes       []Node
	nameLine    map[string]int      // the line of each name
	addressLine map[xds.Address]int // the line of each address
}

// ReadNodes reads the controller's list of nodes from its file. It returns no nodes if the controller has no such file,
// because an xDS service lists the nodes. The error is that of reading the file, or wraps a kdl.Faults.
func (c *Controller) ReadNodes() ([]Node, error) {
	if c.NodesFile == "" {
		return nil, nil
	}
	var nodes []Node
	err := read(c.NodesFile, func(r *reader, topNodes []*kdl.Node) {
		list := nodeListReader{reader: r, controller: c, nameLine: map[string]int{}, addressLine: map[xds.Address]int{}}
		for _, n := range topNodes {
			list.readNode(n)
		}
		nodes = list.nodes
	})
	return nodes, err
}

// readNode reads one node of the list.
func (l *nodeListReader) readNode(n *kdl.Node) {
	if n.Name != listedNode {
		l.faults.Add(n.Line, "unexpected node %q, want \"node\"", n.Name)
		return
	}
	l.checkShape(n, 1, "zone", "kind", "address", "weight", "state", "started-ms")
	node := Node{Endpoint: controller.Endpoint{
		Node:        l.stringArgument(n, 0),
		MachineType: l.controller.Deployment.MachineTypes[0],
		Weight:      1,
		State:       planner.Ready,
	}}
	if line := l.nameLine[node.Node]; line > 0 {
		l.faults.Add(n.Line, "duplicate node %q, first in line %d", node.Node, line)
	}
	l.nameLine[node.Node] = n.Line
	l.readZone(n, &node)
	l.readMachineType(n, &node)
	l.readAddress(n, &node)
	if v, present := n.Properties["weight"]; present {
		node.Weight = l.numberValue(n, v, 0.001, 1e6)
	}
	if v, present := n.Properties["started-ms"]; present {
		node.StartTime = l.numberValue(n, v, 0, 1e15) / 1000
	}
	l.readState(n, &node)
	l.nodes = append(l.nodes, node)
}

// readZone reads the zone of a node, which must be one of the controller's zones.
func (l *nodeListReader) readZone(n *kdl.Node, node *Node) {
	v, present := n.Properties["zone"]
	if !present {
		l.faults.Add(n.Line, "node %q has no zone", node.Node)
		return
	}
	if node.Zone = l.stringValue(n, v); !l.controller.Zones[node.Zone] {
		l.faults.Add(v.Line, "unknown zone %q of node %q", node.Zone, node.Node)
	}
}

// readMachineType reads the machine type of a node, if there is one. It must be one of the controller's machine types.
func (l *nodeListReader) readMachineType(n *kdl.Node, node *Node) {
	v, present := n.Properties["kind"]
	if !present {
		return
	}
	if node.MachineType = l.stringValue(n, v); !l.controller.MachineTypes[node.MachineType] {
		l.faults.Add(v.Line, "unknown kind %q of node %q", node.MachineType, node.Node)
	}
}

// readAddress reads the address of a node, which must be unique.
func (l *nodeListReader) readAddress(n *kdl.Node, node *Node) {
	v, present := n.Properties["address"]
	if !present {
		l.faults.Add(n.Line, "node %q has no address", node.Node)
		return
	}
	text := l.addressValue(n, v)
	if text == "" {
		return
	}
	host, port, _ := net.SplitHostPort(text) // addressValue has checked both
	number, _ := strconv.Atoi(port)
	node.Address = xds.Address{Host: host, Port: uint32(number)}
	if line := l.addressLine[node.Address]; line > 0 {
		l.faults.Add(v.Line, "duplicate address %s, first in line %d", text, line)
	}
	l.addressLine[node.Address] = n.Line
}

// readState reads the state of a node, ready or draining.
func (l *nodeListReader) readState(n *kdl.Node, node *Node) {
	v, present := n.Properties["state"]
	if !present {
		return
	}
	switch l.stringValue(n, v) {
	case "ready":
	case "draining":
		node.State = planner.Draining
	default:
		l.faults.Add(v.Line, "state of node %q must be \"ready\" or \"draining\", got %v", node.Node, v.Data)
	}
}
