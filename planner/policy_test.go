package planner

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// The deploy file names every file that may hold decisions.
func TestPolicyFiles(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]`).FindSubmatch(deploy)
	if list == nil {
		t.Fatal("no policy in the deploy file")
	}
	var named []string
	for _, path := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(list[1], -1) {
		named = append(named, strings.TrimPrefix(string(path[1]), "planner/"))
	}
	for _, name := range named {
		if _, err := os.Stat(name); err != nil {
			t.Error(err)
		}
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	undecided := []string{"doc.go", "host.go", "types.go", "inflight.go", "random.go", "sum.go"}
	for _, name := range files {
		if !strings.HasSuffix(name, "_test.go") && !slices.Contains(named, name) && !slices.Contains(undecided, name) {
			t.Errorf("%s is neither named as a file with decisions nor known as one without", name)
		}
	}
}
