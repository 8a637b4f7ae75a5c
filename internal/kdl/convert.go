package kdl

import (
	"strconv"
	"strings"
)

// nullWord is the keyword of a nil value.
const nullWord = "null"

// convertNodes converts the nodes of a syntax tree that are not disabled.
func convertNodes(parsed []*node, faults *Faults) (nodes []*Node) {
	for _, n := range parsed {
		if !n.Disabled {
			nodes = append(nodes, n.convert(faults))
		}
	}
	return nodes
}

func (n *node) convert(faults *Faults) *Node {
	converted := &Node{
		Name:       n.Name.text(n.Pos.Line, faults),
		Line:       n.Pos.Line,
		Properties: map[string]Value{},
	}
	for _, e := range n.Entries {
		value := e.Value.convert(faults) // disabled entries are converted too, because an invalid value in them is a fault
		switch {
		case e.Disabled:
		case e.Key != nil:
			converted.Properties[e.Key.text(e.Pos.Line, faults)] = value
		default:
			converted.Arguments = append(converted.Arguments, value)
		}
	}
	for _, b := range n.Blocks {
		if !b.Disabled {
			converted.Children = append(converted.Children, convertNodes(b.Nodes, faults)...)
		}
	}
	return converted
}

func (n *name) text(line int, faults *Faults) string {
	if n.Bare != nil {
		return *n.Bare
	}
	return unquote(*n.Text, line, faults)
}

// unquote returns the text of a quoted string. Unlike Go strings, KDL strings can span lines and escape slashes.
func unquote(quoted string, line int, faults *Faults) string {
	goQuoted := strings.ReplaceAll(quoted, `\/`, `/`)
	goQuoted = strings.ReplaceAll(goQuoted, "\n", `\n`)
	text, err := strconv.Unquote(goQuoted)
	if err != nil {
		faults.Add(line, "string %s has an unknown escape sequence", quoted)
	}
	return text
}

func (v *value) convert(faults *Faults) Value {
	converted := Value{Line: v.Pos.Line}
	switch {
	case v.Text != nil:
		converted.Data = unquote(*v.Text, v.Pos.Line, faults)
	case v.Number != nil:
		number, ok := parseNumber(*v.Number)
		if !ok {
			faults.Add(v.Pos.Line, "%s is not a valid number", *v.Number)
			break
		}
		converted.Data = number
	case *v.Word != nullWord:
		converted.Data = *v.Word == "true"
	}
	return converted
}

// parseNumber parses a decimal number or an integer with a base prefix (0x, 0o, 0b). Underscores separate digits.
func parseNumber(text string) (number float64, ok bool) {
	digits := strings.ReplaceAll(text, "_", "")
	integer, err := strconv.ParseInt(digits, 0, 64)
	if err == nil && strings.ContainsAny(digits, "xob") {
		return float64(integer), true
	}
	number, err = strconv.ParseFloat(digits, 64)
	return number, err == nil
}
