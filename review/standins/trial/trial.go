// Package trial has what the cases of the second review share: the record of a trial, the program under test, and the
// exit codes of a case.
package trial

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	Held    = 0 // the rule held
	Broken  = 1 // the rule was broken
	Invalid = 2 // the case could not run
)

// TroubleEnabled reports whether the trial includes the disruption: TROUBLE=0 leaves it out.
func TroubleEnabled() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file that says what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record at a path. Times in it are seconds since now.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Now returns the seconds since the record was created.
func (r *Record) Now() float64 { return time.Since(r.start).Seconds() }

// Time returns the time of a number of seconds since the record was created.
func (r *Record) Time(seconds float64) time.Time {
	return r.start.Add(time.Duration(seconds * float64(time.Second)))
}

// Add adds a line with the current time.
func (r *Record) Add(format string, values ...any) { r.AddAt(r.Now(), format, values...) }

// AddAt adds a line with the given time.
func (r *Record) AddAt(seconds float64, format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", seconds, fmt.Sprintf(format, values...))
}

// Close closes the file.
func (r *Record) Close() error { return r.file.Close() }

// Program is a program of the project that the trial started. It runs in a process group of its own.
type Program struct {
	command *exec.Cmd
	log     *os.File
	ended   chan struct{}
	killed  sync.Once
}

// Start starts a shell command in the root of the repository, with additional environment variables. Its output goes to
// a file.
func Start(root, command, logPath string, environment ...string) (*Program, error) {
	log, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	p := &Program{command: exec.Command("/bin/sh", "-c", command), log: log, ended: make(chan struct{})}
	p.command.Dir = root
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout = log
	p.command.Stderr = log
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.ended)
		// A program that was killed returns an error; what matters is that it has ended.
		if err := p.command.Wait(); err != nil {
			fmt.Fprintln(log, "ended:", err)
		}
	}()
	return p, nil
}

// Running reports whether the program has not ended.
func (p *Program) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Kill ends the program's process group and waits until the program has ended. It may be called again.
func (p *Program) Kill() {
	p.killed.Do(p.kill)
}

func (p *Program) kill() {
	if p.Running() {
		// The group may end at the same moment; the wait below shows that it has.
		if err := syscall.Kill(-p.command.Process.Pid, syscall.SIGKILL); err != nil {
			fmt.Fprintln(p.log, "kill:", err)
		}
	}
	<-p.ended
	if err := p.log.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// FreeAddress returns an address on loopback at which nothing listens.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Run runs a trial with a temporary folder and the record beside the script, and returns its exit code. The arguments
// of the program are the root of the repository, the folder of the case, and the command of the deploy file.
func Run(run func(env Environment) (broken bool, err error)) int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: trial ROOT CASE COMMAND")
		return Invalid
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return Invalid
	}
	defer os.RemoveAll(folder) //nolint:errcheck // a temporary folder that is left does no harm
	record, err := NewRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return Invalid
	}
	broken, err := run(Environment{Root: os.Args[1], Folder: folder, Command: os.Args[3], Record: record})
	code := Held
	switch {
	case err != nil:
		record.Add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = Invalid
	case broken:
		code = Broken
	}
	record.Add("exit code %d", code)
	if err := record.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return Invalid
	}
	return code
}

// Environment is what a trial gets.
type Environment struct {
	Root    string // of the repository
	Folder  string // temporary
	Command string // of the program under test
	Record  *Record
}
