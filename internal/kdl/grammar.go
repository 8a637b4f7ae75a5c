package kdl

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// syntaxError is an error of the parser that has a position.
type syntaxError = participle.Error

// The types of the grammar. Their names show in the reasons of syntax errors. A slashdash disables the node, argument,
// property or block behind it.
type document struct {
	Nodes []*node `parser:"End* (@@ End*)*"`
}

// A node ends at End, at the brace that closes its parent, or with the document: what follows may not begin another node.
// That is a negative lookahead, since participle panics where a positive one (of the brace) is a branch by itself.
type node struct {
	Pos      lexer.Position
	Disabled bool     `parser:"@Slashdash?"`
	Name     *name    `parser:"@@"`
	Entries  []*entry `parser:"@@*"`
	Blocks   []*block `parser:"@@* (?! Ident | String | Slashdash)"`
}

type name struct {
	Text *string `parser:"@String"`
	Bare *string `parser:"| @Ident"`
}

// entry is an argument, or a property if it has a key.
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
