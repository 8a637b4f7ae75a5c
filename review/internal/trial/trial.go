// Package trial is what the cases 4 to 6 of the review share: it starts the project's programs as separate processes on
// free loopback ports, plays servers and clients, and writes the record of a run.
package trial

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	stopPatience = 3 * time.Second
	maxDuration  = 110 * time.Second // of a run; one that takes longer could not run
)

var errTooLong = errors.New("the run took too long")

// Run is one run of a case.
type Run struct {
	Trouble bool   // whether the disruption takes place
	Folder  string // temporary: configurations and logs of the programs
	Bin     string // the folder of the project's programs

	start time.Time

	mutex     sync.Mutex // guards the fields below
	record    *os.File
	processes []*Process
}

// Main runs a case and ends the process with its exit code. The environment states where the programs are
// (TRIAL_BIN), where the record goes (TRIAL_RECORD), the temporary folder (TRIAL_TMP) and whether the disruption takes
// place (TROUBLE, 0: no). The error of play says that the case could not run.
func Main(play func(r *Run) (broken bool, err error)) {
	os.Exit(runCase(play))
}

func runCase(play func(r *Run) (broken bool, err error)) int {
	record, err := os.Create(os.Getenv("TRIAL_RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r := &Run{
		Trouble: os.Getenv("TROUBLE") != "0",
		Folder:  os.Getenv("TRIAL_TMP"),
		Bin:     os.Getenv("TRIAL_BIN"),
		start:   time.Now(),
		record:  record,
	}
	r.Note("disruption: %v", r.Trouble)
	broken, err := r.play(play)
	r.stopAll()
	code := exitHeld
	switch {
	case err != nil:
		r.Note("the case could not run: %v", err)
		code = exitNotRun
	case broken:
		r.Note("result: the rule was broken")
		code = exitBroken
	default:
		r.Note("result: the rule held")
	}
	if err := record.Close(); err != nil {
		return exitNotRun
	}
	return code
}

// play plays the case until it ends, takes too long, or is told to end.
func (r *Run) play(play func(r *Run) (broken bool, err error)) (broken bool, err error) {
	type result struct {
		broken bool
		err    error
	}
	played := make(chan result, 1)
	go func() {
		broken, err := play(r)
		played <- result{broken, err}
	}()
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	select {
	case end := <-played:
		return end.broken, end.err
	case s := <-told:
		return false, fmt.Errorf("told to end: %s", s)
	case <-time.After(maxDuration):
		return false, errTooLong
	}
}

// Note writes a line with the time since the start to the record and to standard output.
func (r *Run) Note(format string, values ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, err := r.record.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	fmt.Print(line)
}

// Seconds returns the time since the start of the run.
func (r *Run) Seconds() float64 { return time.Since(r.start).Seconds() }

// Time returns the time of a number of seconds since the start of the run.
func (r *Run) Time(seconds float64) time.Time {
	return r.start.Add(time.Duration(seconds * float64(time.Second)))
}

// Write writes a file into the temporary folder, at once as a whole, and returns its path.
func (r *Run) Write(name, content string) (path string, err error) {
	path = filepath.Join(r.Folder, name)
	beside := path + ".new"
	if err := os.WriteFile(beside, []byte(content), 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(beside, path)
}

// Address returns a loopback address whose port is free.
func Address() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Process is a program of the project that the case started.
type Process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
}

// Start starts a program with a configuration. Its log goes into the temporary folder.
func (r *Run) Start(name, program, configuration string) (*Process, error) {
	path, err := r.Write(name+".kdl", configuration)
	if err != nil {
		return nil, err
	}
	return r.startProcess(name, exec.Command(filepath.Join(r.Bin, program), "--config", path))
}

// StartCommand starts a program by a shell command, such as that of the deploy file, in the root of the repository, with
// additional environment variables. Its log goes into the temporary folder.
func (r *Run) StartCommand(name, command string, environment ...string) (*Process, error) {
	shell := exec.Command("/bin/sh", "-c", command)
	shell.Dir = filepath.Dir(r.Bin)
	shell.Env = append(os.Environ(), environment...)
	return r.startProcess(name, shell)
}

// startProcess starts a command as a process of the case.
func (r *Run) startProcess(name string, command *exec.Cmd) (*Process, error) {
	log, err := os.Create(filepath.Join(r.Folder, name+".log"))
	if err != nil {
		return nil, err
	}
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	p := &Process{name: name, command: command, ended: make(chan struct{})}
	go func() {
		err := command.Wait()
		close(p.ended)
		r.Note("process %s (%s) has ended: %v", name, command.Path, err)
		if err := log.Close(); err != nil {
			r.Note("log of %s: %v", name, err)
		}
	}()
	r.mutex.Lock()
	r.processes = append(r.processes, p)
	r.mutex.Unlock()
	r.Note("process %s started: %s", name, command.Path)
	return p, nil
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error { return p.command.Process.Signal(s) }

// stopAll ends all processes: by SIGTERM, then by SIGKILL.
func (r *Run) stopAll() {
	r.mutex.Lock()
	processes := r.processes
	r.mutex.Unlock()
	for _, p := range processes {
		if p.Running() && p.Signal(syscall.SIGTERM) != nil {
			continue // it has ended meanwhile
		}
	}
	for _, p := range processes {
		select {
		case <-p.ended:
		case <-time.After(stopPatience):
			if err := p.command.Process.Kill(); err == nil {
				<-p.ended
			}
		}
	}
}

// WaitFor waits until done returns true, and returns an error if that takes longer than patience.
func WaitFor(what string, patience time.Duration, done func() bool) error {
	for end := time.Now().Add(patience); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s: not within %s", what, patience)
		}
	}
	return nil
}
