// Package citest checks the scripts that CI runs.
package citest

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestSpareName is the test named in the lists below. It must be declared exactly once, which known-red checks.
func TestSpareName(*testing.T) {}

const knownRedScript = "../../.ci/known-red"

// entry is a valid entry of the list.
const entry = "test: TestSpareName\ncommand: go test ./internal/citest -run TestSpareName\nseen: it hangs\nissue: 32\n"

// TestKnownRedSkipsOnlyListedTests guards against a list that skips more tests than it names: a pattern without
// anchors, or an entry that is not the name of a test, also matches other tests.
func TestKnownRedSkipsOnlyListedTests(t *testing.T) {
	for _, test := range []struct {
		name, list, wantPattern, wantError string
	}{
		{"one entry", entry, "^TestSpareName$", ""},
		{"subtest", strings.Replace(entry, "TestSpareName\n", "TestSpareName/one-case\n", 1), "^TestSpareName$/^one-case$", ""},
		{"two entries", entry + "\n" + entry, "^TestSpareName$|^TestSpareName$", ""},
		{"four entries", strings.Repeat(entry+"\n", 4), "", "3 at most"},
		{"empty list", "\n", "", "no entry"},
		{"pattern", strings.Replace(entry, "TestSpareName\n", "Test.*\n", 1), "", "not the name of a test"},
		{"undeclared test", strings.Replace(entry, "TestSpareName\n", "TestNowhereAtAll\n", 1), "", "is there 0 times"},
		{"invalid command", strings.Replace(entry, "command: go test", "command: try", 1), "", "not a command"},
		{"missing observation", strings.Replace(entry, "seen: it hangs\n", "", 1), "", "what was seen is missing"},
		{"invalid issue", strings.Replace(entry, "issue: 32", "issue: later", 1), "", "not the number of an issue"},
		{"unknown line", entry + "TestOther: hangs\n", "", "neither test"},
		{"two tests in one entry", "test: TestSpareName\n" + entry, "", "two tests in one entry"},
	} {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
			if err := os.WriteFile(file, []byte(test.list), 0o600); err != nil {
				t.Fatal(err)
			}
			command := exec.Command("bash", knownRedScript, file, "../..")
			var stderr strings.Builder
			command.Stderr = &stderr
			out, err := command.Output()
			if test.wantError != "" {
				if err == nil || !strings.Contains(stderr.String(), test.wantError) {
					t.Errorf("list %q: got error %v and stderr %q, want %q", test.list, err, stderr.String(), test.wantError)
				}
				return
			}
			if err != nil || string(out) != test.wantPattern {
				t.Errorf("list %q: got pattern %q and error %v, want %q; stderr: %s", test.list, out, err, test.wantPattern, stderr.String())
			}
		})
	}
}
