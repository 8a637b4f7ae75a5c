package kdl

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// syntaxError is a parser error with a position.
type syntaxError = participle.Error

// The types of the grammar. Their names appear in the messages of syntax errors. A slashdash disables the node,
// argument, property or block that follows it.
type document struct {
	Nodes []*node `parser:"End* (@@ End*)*"`
}

type node struct {
	Pos        lexer.Position
	Disabled   bool       `parser:"@Slashdash?"`
	Name       *name      `parser:"@@"`
	Entries    []*entry   `parser:"@@*"`
	Blocks     []*block   `parser:"@@*"`
	Terminator terminator `parser:"@@"`
}

// terminator is the end of a node: the token End, the end of the document, or the closing brace of the parent, which
// the parent consumes. It has its own parser because participle panics on a branch of the grammar that matches without
// consuming a token, such as a lookahead.
type terminator struct{}

// Parse implements participle.Parseable.
func (*terminator) Parse(tokens *lexer.PeekingLexer) error {
	next := tokens.Peek()
	switch {
	case next.Type == endToken:
		tokens.Next()
		return nil
	case next.EOF() || next.Value == "}":
		return nil
	}
	return &participle.UnexpectedTokenError{Unexpected: *next}
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

var tokenRules = lexer.MustSimple([]lexer.SimpleRule{
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
})

// endToken is the type of the tokens that terminate nodes.
var endToken = tokenRules.Symbols()["End"]

var grammar = participle.MustBuild[document](
	participle.Lexer(tokenRules),
	participle.Elide("Continued", "Comment", "Space"),
	participle.UseLookahead(3),
)
