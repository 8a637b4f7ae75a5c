package main

import (
	"encoding/json"
	"io"
)

// writeJSON prints a value as indented JSON.
func writeJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
