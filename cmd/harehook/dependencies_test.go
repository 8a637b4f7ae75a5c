package main

import (
	"os/exec"
	"strings"
	"testing"
)

// On the platform memory begins at 32 MB, and libraries for other installations cost some of it even when they are off.
// The program links none of them.
func TestProgramLinksNoLibraryOfOtherInstallations(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"google.golang.org", "envoyproxy", "spf13", "participle", "go.etcd.io", "harehook/xds", "harehook/sidecar",
		"harehook/config", "harehook/cluster", "harehook/raftlog", "harehook/records"} {
		if strings.Contains(string(out), part) {
			t.Errorf("%s is linked", part)
		}
	}
}
