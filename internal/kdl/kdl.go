// Package kdl reads documents in the KDL language, version 1: nodes with arguments, properties and children. Type
// annotations and raw strings are not read. Every fault names its line.
package kdl

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Node is a node of a document.
type Node struct {
	Name       string
	Line       int
	Arguments  []Value
	Properties map[string]Value
	Children   []*Node
}

// Value is an argument or a property: a string, a float64, a bool, or nil for null.
type Value struct {
	Data any
	Line int
}

// Fault is something wrong at a line of a document.
type Fault struct {
	Line   int
	Reason string
}

// Error implements error.
func (f Fault) Error() string { return fmt.Sprintf("line %d: %s", f.Line, f.Reason) }

// Faults are all that is wrong with a document.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for k, fault := range f {
		lines[k] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Add notes a fault at a line.
func (f *Faults) Add(line int, format string, args ...any) {
	*f = append(*f, Fault{line, fmt.Sprintf(format, args...)})
}

// Err is nil if nothing is wrong, else all faults by line.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b Fault) int { return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Reason, b.Reason)) })
	return f
}

// The grammar. A slashdash leaves out the node, argument, property or block behind it.
type document struct {
	Nodes []*node `parser:"End* (@@ End*)*"`
}

type node struct {
	Pos      lexer.Position
	Disabled bool     `parser:"@Slashdash?"`
	Name     *name    `parser:"@@"`
	Entries  []*entry `parser:"@@*"`
	Blocks   []*block `parser:"@@* (End | EOF | (?= '}'))"`
}

type name struct {
	Text *string `parser:"@String"`
	Bare *string `parser:"| @Ident"`
}

type entry struct {
	Pos      lexer.Position
	Disabled bool   `parser:"@Slashdash?"`
	Key      *name  `parser:"( (?= (Ident | String) '=') @@ '=' )?"`
	Value    *value `parser:"@@"`
}

type value struct {
	Pos    lexer.Position
	Text   *string `parser:"@String"`
	Number *string `parser:"| @Number"`
	Word   *string `parser:"| @Keyword"`
}

type block struct {
	Disabled bool    `parser:"@Slashdash?"`
	Nodes    []*node `parser:"'{' End* (@@ End*)* '}'"`
}

var grammar = participle.MustBuild[document](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Continued", Pattern: `\\[ \t]*(//[^\n]*)?\r?\n`},
		{Name: "Comment", Pattern: `//[^\n]*|/\*([^*]|\*+[^*/])*\*+/`},
		{Name: "Slashdash", Pattern: `/-`},
		{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
		{Name: "Number", Pattern: `[-+]?(0x[0-9a-fA-F_]+|0o[0-7_]+|0b[01_]+|[0-9][0-9_]*(\.[0-9][0-9_]*)?([eE][-+]?[0-9]+)?)`},
		{Name: "Keyword", Pattern: `(true|false|null)\b`},
		{Name: "Ident", Pattern: `[^\s\\/(){}<>;\[\]=,"0-9+-][^\s\\/(){}<>;\[\]=,"]*|[+-][^\s\\/(){}<>;\[\]=,"0-9]*`},
		{Name: "Punct", Pattern: `[{}=]`},
		{Name: "End", Pattern: `[;\n]`},
		{Name: "Space", Pattern: `[ \t\r\f\v]+`},
	})),
	participle.Elide("Continued", "Comment", "Space"),
	participle.UseLookahead(3),
)

// Parse reads a document.
func Parse(text string) ([]*Node, error) {
	doc, err := grammar.ParseString("", text+"\n")
	if err != nil {
		line, what := 1, err.Error()
		var at participle.Error
		if errors.As(err, &at) {
			line, what = at.Position().Line, at.Message()
		}
		return nil, Faults{{line, what}}
	}
	var faults Faults
	nodes := convert(doc.Nodes, &faults)
	return nodes, faults.Err()
}

func convert(from []*node, faults *Faults) (nodes []*Node) {
	for _, n := range from {
		if n.Disabled {
			continue
		}
		out := &Node{Name: n.Name.text(n.Pos.Line, faults), Line: n.Pos.Line, Properties: map[string]Value{}}
		for _, e := range n.Entries {
			switch v := e.Value.value(faults); {
			case e.Disabled:
			case e.Key != nil:
				out.Properties[e.Key.text(e.Pos.Line, faults)] = v
			default:
				out.Arguments = append(out.Arguments, v)
			}
		}
		for _, b := range n.Blocks {
			if !b.Disabled {
				out.Children = append(out.Children, convert(b.Nodes, faults)...)
			}
		}
		nodes = append(nodes, out)
	}
	return nodes
}

func (n *name) text(line int, faults *Faults) string {
	if n.Bare != nil {
		return *n.Bare
	}
	return unquote(*n.Text, line, faults)
}

func unquote(quoted string, line int, faults *Faults) string {
	text, err := strconv.Unquote(strings.ReplaceAll(strings.ReplaceAll(quoted, `\/`, `/`), "\n", `\n`))
	if err != nil {
		faults.Add(line, "the string %s has an escape that is not known", quoted)
	}
	return text
}

func (v *value) value(faults *Faults) Value {
	out := Value{Line: v.Pos.Line}
	switch {
	case v.Text != nil:
		out.Data = unquote(*v.Text, v.Pos.Line, faults)
	case v.Number != nil:
		plain := strings.ReplaceAll(*v.Number, "_", "")
		if whole, err := strconv.ParseInt(plain, 0, 64); err == nil && strings.ContainsAny(plain, "xob") {
			out.Data = float64(whole)
		} else if figure, err := strconv.ParseFloat(plain, 64); err == nil {
			out.Data = figure
		} else {
			faults.Add(v.Pos.Line, "%s is no number", *v.Number)
		}
	case *v.Word != "null":
		out.Data = *v.Word == "true"
	}
	return out
}
