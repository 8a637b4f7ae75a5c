package planner

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// maxPolicyLines is how many lines the files with decisions may have in total, blank ones left out: the operators' limit.
const maxPolicyLines = 1040

// The deploy file names every file that may hold decisions, and these stay within the operators' limit.
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
	lines := 0
	for _, name := range named {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Error(err)
		}
		for line := range strings.Lines(string(text)) {
			if strings.TrimSpace(line) != "" {
				lines++
			}
		}
	}
	if lines > maxPolicyLines {
		t.Errorf("%d lines in the files with decisions, over %d", lines, maxPolicyLines)
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	undecided := []string{"host.go", "state.go", "channel.go", "helper.go"}
	for _, name := range files {
		if !strings.HasSuffix(name, "_test.go") && !slices.Contains(named, name) && !slices.Contains(undecided, name) {
			t.Errorf("%s is neither named as a file with decisions nor known as one without", name)
		}
	}
}
