package main

import (
	"os/exec"
	"strings"
	"testing"
)

// The platform's memory limits start at 32 MB, and libraries for other installations use memory even when they are not
// called. The program must not link them.
func TestProgramDoesNotLinkLibrariesOfOtherInstallations(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, library := range []string{"google.golang.org", "envoyproxy", "spf13", "participle", "go.etcd.io", "harehook/xds", "harehook/sidecar",
		"harehook/config", "harehook/cluster", "harehook/raftlog", "harehook/records"} {
		if strings.Contains(string(out), library) {
			t.Errorf("%s is linked, want it absent from the dependencies", library)
		}
	}
}
