package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"slices"
	"testing"
)

// binary is the path of the program under test. It is built with the debug tag, which makes a broken invariant panic.
// The tests connect to it over loopback.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "harehook")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "harehook")
	build := []string{"build", "-tags", "debug", "-o", binary}
	if withRaceDetector() {
		build = append(build, "-race")
	}
	if out, err := exec.Command("go", append(build, ".")...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// withRaceDetector reports whether the tests, and therefore the program, run with the race detector, which uses much
// memory.
func withRaceDetector() bool {
	info, ok := debug.ReadBuildInfo()
	return ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"})
}

const settingsJSON = `{"zones":["north","south"],"machine-types":["small"],"tick-ns":4000000,"peers-total":1,

"discovery":"automatic","weights":"off","report":{"names":[],"source":"off"},
"categories":[{"name":"quote","effect":"safe","promise-ns":750000000,"deadline-ns":2000000000,"gain":2},
{"name":"issue","effect":"unsafe","promise-ns":750000000,"deadline-ns":2000000000,"gain":3}],
"extra":{"backlog":1800,"push-rate":1200,"head":4,"proxy-count":8,"reloads-max":30,"level-kind":"fraction",
"counted-over-ns":10000000000,"interval-ns":500000000},
"rules":{"ramp-time-ns":18000000000,"fall-multiple":4}}`
