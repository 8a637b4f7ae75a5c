package kdl

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// writeNodes writes the nodes to out, one on each line, with their line numbers.
func writeNodes(nodes []*Node, indent string, out *strings.Builder) {
	for _, n := range nodes {
		fmt.Fprintf(out, "%s%d %s", indent, n.Line, n.Name)
		for _, a := range n.Arguments {
			fmt.Fprintf(out, " %#v", a.Data)
		}
		for _, key := range []string{"a", "b", "c d"} {
			if v, ok := n.Properties[key]; ok {
				fmt.Fprintf(out, " %s=%#v", key, v.Data)
			}
		}
		fmt.Fprintln(out)
		writeNodes(n.Children, indent+"  ", out)
	}
}

// Documents must be parsed with the lines of their nodes, and faults must state their lines.
func TestParseDocuments(t *testing.T) {
	for name, c := range map[string]struct{ in, want string }{
		"values":              {`n "x" 1 -2.5e1 0x1f 1_000 true null a=false b="y\n"`, "1 n \"x\" 1 -25 31 1000 true <nil> a=false b=\"y\\n\"\n"},
		"children":            {"n {\n  m 1\n  o {\n  }\n}\np", "1 n\n  2 m 1\n  3 o\n6 p\n"},
		"one line":            {`n { m 1; o 2; }; p`, "1 n\n  1 m 1\n  1 o 2\n1 p\n"},
		"comments":            {"// x\nn 1 // y\n/* z\n */ m /* w */ 2", "2 n 1\n4 m 2\n"},
		"slashdash":           {"/-n 1 {\n m\n}\no /-1 2 /-a=1 b=2 /-{\n x\n}\n", "4 o 2 b=2\n"},
		"continued":           {"n 1 \\\n  2\nm", "1 n 1 2\n3 m\n"},
		"quoted names":        {`"two words" "c d"=1`, "1 two words c d=1\n"},
		"empty":               {"\n\n", ""},
		"dashes":              {"seat-hold on-full=1 a=\"/x\"", "1 seat-hold a=\"/x\"\n"},
		"unclosed":            {"n {\n m\n", "line"},
		"no value":            {"n\nm a=\n", "line 2"},
		"no name":             {"n\n\n12 x\n", "line 3"},
		"unterminated string": {"n \"x\n", "line"},
		"unknown escape":      {"\nn \"\\q\"\n", "line 2: string \"\\q\" has an unknown escape sequence"},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			nodes, err := Parse(c.in)
			if strings.HasPrefix(c.want, "line") {
				if err == nil || !strings.HasPrefix(err.Error(), c.want) {
					t.Fatalf("%q: got error %v, want %q", c.in, err, c.want)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			writeNodes(nodes, "", &out)
			if diff := cmp.Diff(c.want, out.String()); diff != "" {
				t.Errorf("%q: -want +got:\n%s", c.in, diff)
			}
		})
	}
}

// A controller reloads its file while it runs. Two kinds of documents made the parser panic, which terminated the
// controller: a valid document whose last child had neither ";" nor a line break before "}", and a document with "}"
// without its "{". Valid documents must be parsed, and invalid ones must be rejected with a fault that states its line.
func TestParseNodesBeforeClosingBrace(t *testing.T) {
	for _, c := range []struct{ in, want, fault string }{
		{in: "n { m }", want: "1 n\n  1 m\n"},
		{in: "n { m 1 }", want: "1 n\n  1 m 1\n"},
		{in: "n { m a=1 }", want: "1 n\n  1 m a=1\n"},
		{in: "n { m; o }", want: "1 n\n  1 m\n  1 o\n"},
		{in: "n {\n m }", want: "1 n\n  2 m\n"},
		{in: "n {\n m\n}", want: "1 n\n  2 m\n"},
		{in: "n {m}\no", want: "1 n\n  1 m\n2 o\n"},
		{in: "n { m { o } }", want: "1 n\n  1 m\n    1 o\n"},
		{in: "n { m { o }\n\n\n\n}", want: "1 n\n  1 m\n    1 o\n"},
		{in: "n { m /* x */ } // y", want: "1 n\n  1 m\n"},
		{in: "n { /-m }", want: "1 n\n"},
		{in: "n { m /-1 }", want: "1 n\n  1 m\n"},
		{in: "n }", fault: "line 1: "},
		{in: "n\n}", fault: "line 2: "},
		{in: "n 1 2 3 4 }", fault: "line 1: "},
		{in: "n\nm { o } }", fault: "line 2: "},
		{in: "n { m } o", fault: "line 1: "},
		{in: "n\nm { o } \"p\" 1 2 3", fault: "line 2: "},
		{in: "n\nm { o } /-p", fault: "line 2: "},
		{in: "n\nm { o p= }", fault: "line 2: "},
		{in: "n { m", fault: "line "},
	} {
		t.Run(c.in, func(t *testing.T) {
			nodes, err := Parse(c.in)
			if c.fault != "" {
				if err == nil || !strings.HasPrefix(err.Error(), c.fault) {
					t.Fatalf("%q: got error %v, want %q", c.in, err, c.fault)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			var out strings.Builder
			writeNodes(nodes, "", &out)
			if diff := cmp.Diff(c.want, out.String()); diff != "" {
				t.Errorf("%q: -want +got:\n%s", c.in, diff)
			}
		})
	}
}

// A fault must state its line for any text.
func FuzzParse(f *testing.F) {
	f.Add("n { m }")
	f.Add("n }")
	f.Add(`n "x" 1 a=2 { m; }`)
	f.Add("/- n {\n}\n")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := Parse(text)
		if err == nil {
			return
		}
		var faults Faults
		if !errors.As(err, &faults) || len(faults) == 0 || faults[0].Line < 1 {
			t.Errorf("%q: got error %v, want Faults with a line of at least 1", text, err)
		}
	})
}
