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

// asProgram has the test's own program be harehook-testbed, also for the processes that it starts.
const asProgram = "HAREHOOK_LAB_TEST"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		Main("harehook-testbed")
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// testTimeout is for what takes seconds on an idle machine.
const testTimeout = 2 * time.Minute

// testbedCommand prepares harehook-testbed with its temporary files in a folder of the test.
func testbedCommand(t *testing.T, arguments ...string) (command *exec.Cmd, folder string) {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	folder = t.TempDir()
	command = exec.Command(program, arguments...)
	command.Env = append(os.Environ(), asProgram+"=1", "TMPDIR="+folder)
	return command, folder
}

// smallFleet are the flags of a fleet that is played in seconds; bounds on times and use of this machine are not held.
func smallFleet(further ...string) []string {
	flags := "fleet --conductors 8 --nodes 50 --services 8 --routes 24 --tenants 100 --regions 2 --zones 2 --members 3 --changes 10 --seconds 2 " +
		"--bound-in-force-s 0 --bound-conductor-cpu 0 --bound-conductor-mb 0 --bound-conductor-kbs 0"
	return append(strings.Fields(flags), further...)
}

// Members and controllers are processes of the program; its JSON is one object, and nothing is left behind.
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
		t.Errorf("there is more than one object: %v", err)
	}
	m := report.Measured
	if report.Plan.Controllers != 8 || m.Changes != 20 || len(m.Members) != 3 || !m.Separate || m.Controller == nil {
		t.Errorf("asked %+v, measured %+v", report.Plan, m)
	}
	for _, member := range m.Members {
		if member.WorstMB == 0 {
			t.Errorf("member %d has no memory", member.ID)
		}
	}
	if len(report.Broken) != 0 {
		t.Errorf("broken: %q", report.Broken)
	}
	checkNothingLeft(t, folder)
}

// Members are killed (SIGKILL), the leader among them, while changes are played. All bounds have to hold nevertheless.
func TestFleetKeepsItsBoundsWhileMembersAreKilled(t *testing.T) {
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
		t.Errorf("%d changes, affected %v, broken %q", m.Changes, m.Affected, report.Broken)
	}
	checkNothingLeft(t, folder)
}

// A bound breaks: the program has to end with 1 and name it, so that a script notices.
func TestFleetNamesTheBoundThatBroke(t *testing.T) {
	t.Parallel()
	command, _ := testbedCommand(t, smallFleet("--bound-bytes-beside", "1")...)
	output, err := command.CombinedOutput()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("it ended with %v, want exit code 1", err)
	}
	if !strings.Contains(string(output), "BROKEN bytes to an interested conductor beside the record") {
		t.Errorf("the bound is not named: %s", output)
	}
}

// A fleet is interrupted or killed while it runs. Processes that are left behind would load the machine until somebody
// notices: all have to end with it, and where it can clean up, its folder has to be gone as well.
func TestNothingIsLeftOfAFleetThatIsEnded(t *testing.T) {
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
				t.Errorf("%d workers, want three members and two of controllers", len(workers))
			}
			if err := command.Process.Signal(signal); err != nil {
				t.Fatal(err)
			}
			command.Wait()
			for _, worker := range workers {
				waitUntilEnded(t, worker)
			}
			if signal != syscall.SIGKILL {
				checkNothingLeft(t, folder)
			}
		})
	}
}

// waitUntilInStep waits until a fleet says that its controllers are in step, and reads on.
func waitUntilInStep(t *testing.T, progress io.Reader) {
	t.Helper()
	played := make(chan struct{})
	go func() {
		defer io.Copy(io.Discard, progress)
		var seen []byte
		one := make([]byte, 1<<10)
		for !bytes.Contains(seen, []byte("in step")) {
			n, err := progress.Read(one)
			if err != nil {
				return
			}
			seen = append(seen, one[:n]...)
		}
		close(played)
	}()
	select {
	case <-played:
	case <-time.After(testTimeout):
		t.Fatal("the controllers are not in step")
	}
}

// childProcesses lists the processes that one has started.
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

// waitUntilEnded waits until a process runs no more; one that nobody waits for may be left as a zombie.
func waitUntilEnded(t *testing.T, pid string) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		status, err := os.ReadFile("/proc/" + pid + "/status")
		if err != nil || bytes.Contains(status, []byte("State:\tZ")) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("process %s still runs", pid)
}

// checkNothingLeft checks that a temporary folder is empty.
func checkNothingLeft(t *testing.T, folder string) {
	t.Helper()
	left, err := os.ReadDir(folder)
	if err != nil || len(left) > 0 {
		t.Errorf("left in the temporary folder: %v, %v", left, err)
	}
}
