package main

import (
	"encoding/json"
	"io"
)

// write prints a value as indented JSON.
func write(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
