package testbed

import (
	"os/exec"
	"strings"
	"testing"
)

// Scripts still start the program under its former name, and set its former flag: both must work.
func TestBothNamesStart(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"harehook-testbed", "harehook-lab"} {
		t.Run(name, func(t *testing.T) {
			out, err := exec.Command("go", "run", "../../cmd/"+name, "slopes").CombinedOutput()
			if err != nil || !strings.Contains(string(out), "list-file") {
				t.Errorf("%s slopes: got error %v, output %s, want list-file in it", name, err, out)
			}
			out, err = exec.Command("go", "run", "../../cmd/"+name, "fleet", "--conductor", "x", "--seconds", "0").CombinedOutput()
			if err == nil || !strings.HasPrefix(string(out), name+": seconds must be") {
				t.Errorf("%s fleet --conductor x --seconds 0: got error %v, output %s, want a rejection of seconds", name, err, out)
			}
		})
	}
}
