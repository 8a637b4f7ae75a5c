package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"harehook.dev/harehook/internal/goldentest"
)

// The files in testdata contain a file of each kind and use every key. Their parsed values must be equal to those that
// commit 3968cf4 computed.
func TestGoldenConfigurations(t *testing.T) {
	read := map[string]func(path string) (any, error){
		"alone.kdl": func(path string) (any, error) {
			c, err := ReadController(path)
			if err != nil {
				return nil, err
			}
			nodes, err := c.ReadNodes()
			return []any{c, nodes}, err
		},
		"member.kdl":   func(path string) (any, error) { return ReadController(path) },
		"follower.kdl": func(path string) (any, error) { return ReadController(path) },
		"sidecar.kdl":  func(path string) (any, error) { return ReadSidecar(path) },
		"agreed.kdl": func(path string) (any, error) {
			text, err := os.ReadFile(path)
			if err != nil {
				return nil, err
			}
			agreed, err := ParseAgreed(string(text))
			if err != nil {
				return nil, err
			}
			return []any{agreed, TextFormat{}.Format(agreed.Records)}, nil
		},
		"records.kdl": func(path string) (any, error) {
			text, err := os.ReadFile(path)
			if err != nil {
				return nil, err
			}
			return ParseRecordWrites(string(text))
		},
	}
	for file, readFile := range read {
		t.Run(file, func(t *testing.T) {
			value, err := readFile(filepath.Join("testdata", file))
			if err != nil {
				t.Fatal(err)
			}
			folder, err := filepath.Abs("testdata")
			if err != nil {
				t.Fatal(err)
			}
			values := goldentest.Values(value)
			values = strings.ReplaceAll(strings.ReplaceAll(values, folder, "FOLDER"), `"testdata/`, `"FOLDER/`)
			goldentest.Compare(t, strings.TrimSuffix(file, ".kdl")+".txt", values)
		})
	}
}
