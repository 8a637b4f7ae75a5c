package config

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"harehook.dev/harehook/internal/certs"
	"harehook.dev/harehook/internal/kdl"
)

const (
	maxNameBytes = 200
	maxPort      = 65535
)

// nodeReaders holds the functions that read a child node, by KDL key of the child.
type nodeReaders map[string]func(n *kdl.Node)

// reader reads the nodes of a parsed document and collects its faults.
type reader struct {
	faults kdl.Faults
	folder string // the base of relative paths in the document
}

// read parses a file and passes its top nodes to readNodes. The error is that of reading the file, or names the file
// and wraps a kdl.Faults.
func read(path string, readNodes func(r *reader, nodes []*kdl.Node)) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	r := &reader{folder: filepath.Dir(path)}
	nodes, err := kdl.Parse(string(text))
	if err == nil {
		readNodes(r, nodes)
		err = r.faults.Err()
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// topNode returns the only top node, which must have the given name, or nil if there is none.
func (r *reader) topNode(nodes []*kdl.Node, name string) *kdl.Node {
	var found *kdl.Node
	for _, n := range nodes {
		switch {
		case n.Name != name:
			r.faults.Add(n.Line, "unexpected node %q, want %q", n.Name, name)
		case found != nil:
			r.faults.Add(n.Line, "duplicate node %q, first in line %d", name, found.Line)
		default:
			found = n
		}
	}
	if found == nil {
		r.faults.Add(1, "node %q is missing", name)
	}
	return found
}

// readChildren passes every child of parent to its reader. A key in repeatable may occur more than once, a key in
// single at most once.
func (r *reader) readChildren(parent *kdl.Node, single, repeatable nodeReaders) {
	firstLine := map[string]int{}
	for _, n := range parent.Children {
		if readChild, known := repeatable[n.Name]; known {
			readChild(n)
			continue
		}
		readChild, known := single[n.Name]
		switch {
		case !known:
			r.faults.Add(n.Line, "unknown key %q in %q", n.Name, parent.Name)
		case firstLine[n.Name] > 0:
			r.faults.Add(n.Line, "duplicate key %q, first in line %d", n.Name, firstLine[n.Name])
		default:
			firstLine[n.Name] = n.Line
			readChild(n)
		}
	}
}

// checkShape checks that a node has the given number of arguments and only the given properties.
func (r *reader) checkShape(n *kdl.Node, arguments int, properties ...string) {
	if len(n.Arguments) != arguments {
		r.faults.Add(n.Line, "number of arguments of %q must be %d, got %d", n.Name, arguments, len(n.Arguments))
	}
	for name, v := range n.Properties {
		if !slices.Contains(properties, name) {
			r.faults.Add(v.Line, "%q has no property %q", n.Name, name)
		}
	}
}

// requirement is a required child of a node.
type requirement struct {
	name    string
	missing bool
}

// checkRequired adds a fault for each requirement that a node does not meet.
func (r *reader) checkRequired(n *kdl.Node, requirements ...requirement) {
	for _, required := range requirements {
		if required.missing {
			r.faults.Add(n.Line, "%q requires %q", n.Name, required.name)
		}
	}
}

// readFlag returns true. It reads a node that enables a setting by its presence and must not have arguments.
func (r *reader) readFlag(n *kdl.Node) bool {
	r.checkShape(n, 0)
	return true
}

// stringArgument returns the argument at an index as a name, or "" if the node has fewer arguments.
func (r *reader) stringArgument(n *kdl.Node, index int) string {
	if index >= len(n.Arguments) {
		return ""
	}
	return r.stringValue(n, n.Arguments[index])
}

// onlyString returns the only argument of a node as a name.
func (r *reader) onlyString(n *kdl.Node) string {
	r.checkShape(n, 1)
	return r.stringArgument(n, 0)
}

// stringValue returns a value as a name. If it is not a valid name, stringValue adds a fault and returns "".
func (r *reader) stringValue(n *kdl.Node, v kdl.Value) string {
	text, ok := v.Data.(string)
	if !ok || text == "" || len(text) > maxNameBytes || strings.ContainsAny(text, "\r\n\x00") {
		r.faults.Add(v.Line, "value in %q must be a name of 1 to %d bytes on one line, got %v", n.Name, maxNameBytes, v.Data)
		return ""
	}
	return text
}

// numberValue returns a value as a number. If it is not a number within the bounds, numberValue adds a fault and
// returns the lower bound.
func (r *reader) numberValue(n *kdl.Node, v kdl.Value, lowest, highest float64) float64 {
	number, ok := v.Data.(float64)
	if !ok || !(number >= lowest && number <= highest) {
		r.faults.Add(v.Line, "value in %q must be a number from %v to %v, got %v", n.Name, lowest, highest, v.Data)
		return lowest
	}
	return number
}

// onlyNumber returns the only argument of a node as a number within the bounds.
func (r *reader) onlyNumber(n *kdl.Node, lowest, highest float64) float64 {
	r.checkShape(n, 1)
	if len(n.Arguments) == 0 {
		return lowest
	}
	return r.numberValue(n, n.Arguments[0], lowest, highest)
}

// onlyMilliseconds returns the only argument of a node, a number of milliseconds within the bounds, as a duration.
func (r *reader) onlyMilliseconds(n *kdl.Node, lowest, highest float64) time.Duration {
	return time.Duration(r.onlyNumber(n, lowest, highest) * float64(time.Millisecond))
}

// addressValue returns a value as an address of the form host:port. If it is not one, addressValue adds a fault and
// returns "".
func (r *reader) addressValue(n *kdl.Node, v kdl.Value) string {
	text := r.stringValue(n, v)
	if text == "" {
		return ""
	}
	host, port, err := net.SplitHostPort(text)
	number, portErr := strconv.Atoi(port)
	if err != nil || portErr != nil || host == "" || number < 0 || number > maxPort {
		r.faults.Add(v.Line, "value in %q must be an address of the form host:port with a port of at most %d, got %q", n.Name, maxPort, text)
		return ""
	}
	return text
}

// onlyAddress sets address to the only argument of a node, if the node has exactly one.
func (r *reader) onlyAddress(n *kdl.Node, address *string, properties ...string) {
	r.checkShape(n, 1, properties...)
	if len(n.Arguments) == 1 {
		*address = r.addressValue(n, n.Arguments[0])
	}
}

// onlyPath returns the only argument of a node as a resolved path.
func (r *reader) onlyPath(n *kdl.Node) string {
	return r.resolvePath(r.onlyString(n))
}

// resolvePath joins a relative path to the folder of the document, so that it does not depend on the working directory.
// An empty path stays empty.
func (r *reader) resolvePath(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(r.folder, path)
}

// readCertificateFiles reads the paths of the certificate, its private key and the root certificates.
func (r *reader) readCertificateFiles(n *kdl.Node, files *certs.Files) {
	r.checkShape(n, 0, "certificate", "key", "roots")
	for _, property := range []struct {
		name string
		path *string
	}{{"certificate", &files.Certificate}, {"key", &files.Key}, {"roots", &files.Roots}} {
		v, present := n.Properties[property.name]
		if !present {
			r.faults.Add(n.Line, "%q requires %q", n.Name, property.name)
			continue
		}
		*property.path = r.resolvePath(r.stringValue(n, v))
	}
}
