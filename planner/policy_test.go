package planner

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// The policy list in the deploy file must name every file that makes decisions, and only files that exist.
func TestPolicyFiles(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]`).FindSubmatch(deploy)
	if list == nil {
		t.Fatal("got no policy list in ../deploy/balancer.toml, want one")
	}
	var policyFiles []string
	for _, path := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(list[1], -1) {
		policyFiles = append(policyFiles, strings.TrimPrefix(string(path[1]), "planner/"))
	}
	for _, name := range policyFiles {
		if _, err := os.Stat(name); err != nil {
			t.Error(err)
		}
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	nonPolicyFiles := []string{"doc.go", "host.go", "types.go", "inflight.go", "random.go", "sum.go"}
	for _, name := range files {
		if !strings.HasSuffix(name, "_test.go") && !slices.Contains(policyFiles, name) && !slices.Contains(nonPolicyFiles, name) {
			t.Errorf("%s: got no entry, want one in the policy of ../deploy/balancer.toml or in nonPolicyFiles", name)
		}
	}
}
