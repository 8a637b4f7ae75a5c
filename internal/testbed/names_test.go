package testbed

import (
	"os/exec"
	"strings"
	"testing"
)

// TestBothNamesStart guards scripts that start the program by its former name: both names run it.
func TestBothNamesStart(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"harehook-testbed", "harehook-lab"} {
		t.Run(name, func(t *testing.T) {
			out, err := exec.Command("go", "run", "../../cmd/"+name, "slopes").CombinedOutput()
			if err != nil || !strings.Contains(string(out), "list-file") {
				t.Errorf("%v: %s", err, out)
			}
			out, err = exec.Command("go", "run", "../../cmd/"+name, "fleet", "--conductor", "x", "--seconds", "0").CombinedOutput()
			if err == nil || !strings.HasPrefix(string(out), name+": seconds have to be") {
				t.Errorf("the former flag: %v: %s", err, out)
			}
		})
	}
}
