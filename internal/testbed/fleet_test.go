package testbed

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"harehook.dev/harehook/loadtest"
)

// runAsProgram names the environment variable that makes the test binary run as harehook-testbed. Child processes
// inherit it.
const runAsProgram = "HAREHOOK_LAB_TEST"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) != "" {
		Main("harehook-testbed")
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// testTimeout bounds waits that take seconds on an idle machine.
const testTimeout = 2 * time.Minute

// testbedCommand creates a command that runs harehook-testbed with its temporary files in a folder of the test.
func testbedCommand(t *testing.T, arguments ...string) (command *exec.Cmd, folder string) {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	folder = t.TempDir()
	command = exec.Command(program, arguments...)
	command.Env = append(os.Environ(), runAsProgram+"=1", "TMPDIR="+folder)
	return command, folder
}

// smallFleet returns the flags of a load test that takes seconds. Bounds on times and on the load of this machine are
// off.
func smallFleet(additional ...string) []string {
	flags := "fleet --conductors 8 --nodes 50 --services 8 --routes 24 --tenants 100 --regions 2 --zones 2 --members 3 --changes 10 --seconds 2 " +
		"--bound-in-force-s 0 --bound-conductor-cpu 0 --bound-conductor-mb 0 --bound-conductor-kbs 0"
	return append(strings.Fields(flags), additional...)
}

// Members and controllers run as processes of the program. Its output must be one JSON object, and its temporary files
// must be gone afterwards.
func TestFleetRunsAsProcesses(t *testing.T) {
	t.Parallel()
	command, folder := testbedCommand(t, smallFleet("--json")...)
	var out, progress bytes.Buffer
	command.Stdout, command.Stderr = &out, &progress
	if err := command.Run(); err != nil {
		t.Fatalf("%v: %s", err, progress.String())
	}
	var report loadtest.Report
	decoder := json.NewDecoder(&out)
	if err := decoder.Decode(&report); err != nil {
		t.Fatal(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		t.Errorf("after the first JSON object: got %v, want %v", err, io.EOF)
	}
	m := report.Measured
	if report.Plan.Controllers != 8 || m.Changes != 20 || len(m.Members) != 3 || !m.Separate || m.Controller == nil {
		t.Errorf("got plan %+v, measured %+v, want 8 controllers, 20 changes, 3 members, a separate controller", report.Plan, m)
	}
	for _, member := range m.Members {
		if member.WorstMB == 0 {
			t.Errorf("member %d: got memory of 0 MB, want more", member.ID)
		}
	}
	if len(report.Broken) != 0 {
		t.Errorf("got violated bounds %q, want none", report.Broken)
	}
	checkFolderEmpty(t, folder)
}

// Members, including the leader, are killed with SIGKILL while changes are proposed. All bounds must still hold.
func TestFleetMeetsBoundsWhileMembersAreKilled(t *testing.T) {
	t.Parallel()
	command, folder := testbedCommand(t, smallFleet("--seconds", "6", "--faults", "member-killed,reconnect", "--json")...)
	var out, progress bytes.Buffer
	command.Stdout, command.Stderr = &out, &progress
	if err := command.Run(); err != nil {
		t.Fatalf("%v: %s%s", err, progress.String(), out.String())
	}
	var report loadtest.Report
	if err := json.NewDecoder(&out).Decode(&report); err != nil {
		t.Fatal(err)
	}
	if m := report.Measured; m.Changes != 60 || m.Affected[loadtest.FaultMemberKilled] == 0 || len(report.Broken) != 0 {
		t.Errorf("got %d changes, affected %v, violated bounds %q; want 60 changes, some affected by killed members, no violated bounds",
			m.Changes, m.Affected, report.Broken)
	}
	checkFolderEmpty(t, folder)
}

// A script must notice a violated bound: the program exits with code 1 and names the bound.
func TestFleetNamesViolatedBound(t *testing.T) {
	t.Parallel()
	command, _ := testbedCommand(t, smallFleet("--bound-bytes-beside", "1")...)
	output, err := command.CombinedOutput()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("got %v, want exit code 1", err)
	}
	if !strings.Contains(string(output), "BROKEN maximum overhead per record in a message to an interested controller") {
		t.Errorf("got output %s, want the violated bound in it", output)
	}
}

// A load test is interrupted or killed while it runs. Worker processes that outlive it would load the machine
// unnoticed, so all must exit with it. Unless it is killed with SIGKILL, its temporary files must be gone as well.
func TestFleetCleansUpAfterSignal(t *testing.T) {
	t.Parallel()
	for _, signal := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(signal.String(), func(t *testing.T) {
			t.Parallel()
			command, folder := testbedCommand(t, smallFleet("--seconds", "600")...)
			progress, err := command.StderrPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := command.Start(); err != nil {
				t.Fatal(err)
			}
			waitUntilInStep(t, progress)
			workers := childProcesses(t, command.Process.Pid)
			if len(workers) != 5 {
				t.Errorf("got %d workers, want 5: three with members and two with controllers", len(workers))
			}
			if err := command.Process.Signal(signal); err != nil {
				t.Fatal(err)
			}
			command.Wait()
			for _, worker := range workers {
				waitUntilExited(t, worker)
			}
			if signal != syscall.SIGKILL {
				checkFolderEmpty(t, folder)
			}
		})
	}
}

// waitUntilInStep waits until the progress output reports that the controllers are in step. It fails the test if the
// output ends before, which means that the program has exited. It drains the remaining output in the background, so
// that the program does not block on a full pipe.
func waitUntilInStep(t *testing.T, progress io.Reader) {
	t.Helper()
	inStep := make(chan struct{})
	ended := make(chan string, 1)
	go func() {
		defer io.Copy(io.Discard, progress)
		var seen []byte
		buffer := make([]byte, 1<<10)
		for !bytes.Contains(seen, []byte("in step")) {
			n, err := progress.Read(buffer)
			seen = append(seen, buffer[:n]...)
			if err != nil {
				ended <- string(seen)
				return
			}
		}
		close(inStep)
	}()
	select {
	case <-inStep:
	case output := <-ended:
		t.Fatalf("the program exited before the controllers were in step:\n%s", output)
	case <-time.After(testTimeout):
		t.Fatalf("controllers are not in step after %v", testTimeout)
	}
}

// childProcesses returns the IDs of the child processes of a process.
func childProcesses(t *testing.T, pid int) (pids []string) {
	t.Helper()
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		pids = append(pids, strings.Fields(string(text))...)
	}
	return pids
}

// waitUntilExited waits until a process has exited. A process whose parent does not wait for it may remain as a zombie.
func waitUntilExited(t *testing.T, pid string) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		status, err := os.ReadFile("/proc/" + pid + "/status")
		if err != nil || bytes.Contains(status, []byte("State:\tZ")) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("process %s still runs after %v", pid, testTimeout)
}

// checkFolderEmpty checks that a temporary folder is empty.
func checkFolderEmpty(t *testing.T, folder string) {
	t.Helper()
	entries, err := os.ReadDir(folder)
	if err != nil || len(entries) > 0 {
		t.Errorf("temporary folder: got %v, error %v, want no entries", entries, err)
	}
}
