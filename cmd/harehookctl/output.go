package main

import (
	"encoding/json"
	"io"
)

func write(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
