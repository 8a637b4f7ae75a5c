// Package citest checks the scripts that CI runs.
package citest

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestSpareName is what the lists below name; it has to be declared once.
func TestSpareName(*testing.T) {}

const knownRed = "../../.ci/known-red"

// entry is one of the list in order.
const entry = "test: TestSpareName\ncommand: go test ./internal/citest -run TestSpareName\nseen: it hangs\nissue: 32\n"

// TestKnownRedPassesOverJustItsTests guards against a list that hides more than it names: a pattern without its ends, or
// an entry that is no test, would pass over others as well.
func TestKnownRedPassesOverJustItsTests(t *testing.T) {
	for _, test := range []struct {
		name, list, skip, fault string
	}{
		{"one entry", entry, "^TestSpareName$", ""},
		{"a case of a test", strings.Replace(entry, "TestSpareName\n", "TestSpareName/one-case\n", 1), "^TestSpareName$/^one-case$", ""},
		{"two entries", entry + "\n" + entry, "^TestSpareName$|^TestSpareName$", ""},
		{"four entries", strings.Repeat(entry+"\n", 4), "", "3 at most"},
		{"an empty list", "\n", "", "no entry"},
		{"a pattern", strings.Replace(entry, "TestSpareName\n", "Test.*\n", 1), "", "not the name of a test"},
		{"a test that is not there", strings.Replace(entry, "TestSpareName\n", "TestNowhereAtAll\n", 1), "", "is there 0 times"},
		{"no command", strings.Replace(entry, "command: go test", "command: try", 1), "", "not a command"},
		{"nothing seen", strings.Replace(entry, "seen: it hangs\n", "", 1), "", "what was seen is missing"},
		{"no issue", strings.Replace(entry, "issue: 32", "issue: later", 1), "", "not the number of an issue"},
		{"another line", entry + "TestOther: hangs\n", "", "neither test"},
		{"two tests in one entry", "test: TestSpareName\n" + entry, "", "two tests in one entry"},
	} {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
			if err := os.WriteFile(file, []byte(test.list), 0o600); err != nil {
				t.Fatal(err)
			}
			command := exec.Command("bash", knownRed, file, "../..")
			var faults strings.Builder
			command.Stderr = &faults
			out, err := command.Output()
			if test.fault != "" {
				if err == nil || !strings.Contains(faults.String(), test.fault) {
					t.Errorf("%v: %q, want %q", err, faults.String(), test.fault)
				}
				return
			}
			if err != nil || string(out) != test.skip {
				t.Errorf("%v: %q, want %q: %s", err, out, test.skip, faults.String())
			}
		})
	}
}
