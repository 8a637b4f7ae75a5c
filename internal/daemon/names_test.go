package daemon

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Installations may start the program by its former name. Both names must run it, and its messages must begin with the
// name that was used.
func TestProgramStartsUnderBothNames(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"harehook-xds", "harehookd"} {
		t.Run(name, func(t *testing.T) {
			command := exec.Command(filepath.Join(programFolder, name))
			command.Dir = t.TempDir()
			out, err := command.CombinedOutput()
			want := name + ": open " + name + ".kdl: no such file or directory"
			if err == nil || !strings.Contains(string(out), want) {
				t.Errorf("got error %v and output %q, want an error and %q", err, out, want)
			}
		})
	}
}
