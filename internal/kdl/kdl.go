// Package kdl parses documents in the KDL language, version 1: nodes with arguments, properties and children. Type
// annotations and raw strings are not supported. [Parse] returns the nodes, or the [Faults] with their lines. Package
// config interprets the nodes and adds its own faults.
package kdl

import "errors"

// Node is a node of a document.
type Node struct {
	Name       string
	Line       int // starts at 1
	Arguments  []Value
	Properties map[string]Value
	Children   []*Node
}

// Value is an argument or a property.
type Value struct {
	Data any // a string, a float64, a bool, or nil for null
	Line int // starts at 1
}

// Parse parses a document. The error is of type [Faults].
func Parse(text string) ([]*Node, error) {
	parsed, err := grammar.ParseString("", text+"\n")
	if err != nil {
		return nil, Faults{syntaxFault(err)}
	}
	var faults Faults
	nodes := convertNodes(parsed.Nodes, &faults)
	return nodes, faults.Err()
}

// syntaxFault converts an error of the parser into a fault.
func syntaxFault(err error) Fault {
	var positioned syntaxError
	if errors.As(err, &positioned) {
		return Fault{Line: positioned.Position().Line, Reason: positioned.Message()}
	}
	return Fault{Line: 1, Reason: err.Error()}
}
