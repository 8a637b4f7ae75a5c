// Package rig starts the project's programs and the stand-ins of a review case, and records what happens.
package rig

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0 // the rule held
	ExitBroken = 1 // the rule was broken
	ExitCannot = 2 // the case could not run
)

const (
	maxRun    = 115 * time.Second // after it a case gives up with ExitCannot
	firstPort = 20000             // of those that FreeAddress chooses from
	ports     = 12000
)

// Rig holds the processes, the folder and the record of one case.
type Rig struct {
	Folder  string // temporary; removed at the end
	Trouble bool   // whether the disruption is played

	root      string       // of the repository
	portCount atomic.Int32 // ports that were tried

	recordMutex sync.Mutex // guards the fields below
	record      *os.File
	start       time.Time

	processMutex sync.Mutex // guards processes
	processes    []*Process
}

// Process is a program that a case has started.
type Process struct {
	Command *exec.Cmd
	Name    string // program and configuration
	ended   chan struct{}
}

// Main runs a case and exits with the code that it returns. A panic of the rig is a case that cannot run. The working
// directory must be the root of the repository, and the first argument the folder of the case.
func Main(run func(r *Rig) int) {
	// A signal that this process ignores, as under nohup, would be ignored by the programs that it starts. One that it
	// catches has its usual effect there.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	folder, err := os.MkdirTemp("", "review-")
	if err != nil || len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER", err)
		os.Exit(ExitCannot)
	}
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitCannot)
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitCannot)
	}
	r := &Rig{Folder: folder, Trouble: os.Getenv("TROUBLE") != "0", root: root, record: record, start: time.Now()}
	r.Note("case %s, disruption: %v", os.Args[1], r.Trouble)
	code := r.runWithin(run)
	r.endAll()
	r.Note("exit code %d (0: the rule held, 1: it was broken, 2: the case could not run)", code)
	if err := record.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err := os.RemoveAll(folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// runWithin runs a case and returns its exit code, or ExitCannot if it gives up, is interrupted or takes longer than
// maxRun.
func (r *Rig) runWithin(run func(r *Rig) int) int {
	result := make(chan int, 1)
	go func() {
		defer func() {
			if fault := recover(); fault != nil {
				r.Note("the case cannot run: %v", fault)
				result <- ExitCannot
			}
		}()
		result <- run(r)
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case code := <-result:
		return code
	case <-interrupted:
		r.Note("the case cannot run: interrupted")
		return ExitCannot
	case <-time.After(maxRun):
		r.Note("the case cannot run: not finished within %s", maxRun)
		return ExitCannot
	}
}

// Cannot ends the case with ExitCannot.
func (r *Rig) Cannot(format string, args ...any) {
	panic(fmt.Sprintf(format, args...))
}

// Check ends the case with ExitCannot if err is not nil.
func (r *Rig) Check(err error) {
	if err != nil {
		r.Cannot("%v", err)
	}
}

// Note writes a line with the time since the start to the record and to standard output.
func (r *Rig) Note(format string, args ...any) {
	r.recordMutex.Lock()
	defer r.recordMutex.Unlock()
	line := fmt.Sprintf("%9.3f %s\n", time.Since(r.start).Seconds(), strings.TrimRight(fmt.Sprintf(format, args...), "\n"))
	fmt.Print(line)
	fmt.Fprint(r.record, line)
}

// Write replaces a file of the case's folder and returns its path.
func (r *Rig) Write(name, text string) string {
	path := filepath.Join(r.Folder, name)
	r.Check(os.WriteFile(path+".part", []byte(text), 0o600))
	r.Check(os.Rename(path+".part", path))
	return path
}

// FreeAddress returns a loopback address on which nothing listens. Its port is below the range from which the system
// assigns ports to connections: a connection could otherwise be assigned it before it is used.
func (r *Rig) FreeAddress() string {
	for range ports {
		port := firstPort + (os.Getpid()*37+int(r.portCount.Add(1)))%ports
		listener, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err == nil {
			defer listener.Close()
			return listener.Addr().String()
		}
	}
	r.Cannot("no free port from %d to %d", firstPort, firstPort+ports-1)
	return ""
}

// Start starts a program of bin/ as the deploy file's commands do, with a configuration of the case's folder. Its log
// goes to a file there.
func (r *Rig) Start(program, config string) *Process {
	command := exec.Command("/bin/sh", "-c", "exec bin/"+program+" --config "+filepath.Join(r.Folder, config))
	name := program + " " + config
	command.Dir = r.root
	log, err := os.OpenFile(r.logPath(program, config), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	r.Check(err)
	command.Stdout = log
	command.Stderr = log
	r.Check(command.Start())
	r.Check(log.Close())
	p := &Process{Command: command, Name: name, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		_ = command.Wait() // a killed program ends with an error
	}()
	r.processMutex.Lock()
	r.processes = append(r.processes, p)
	r.processMutex.Unlock()
	r.Note("started %s, process %d", name, command.Process.Pid)
	return p
}

func (r *Rig) logPath(program, config string) string {
	return filepath.Join(r.Folder, program+"-"+config+".log")
}

// NoteLog copies the log of a program with a configuration to the record.
func (r *Rig) NoteLog(program, config string) {
	text, err := os.ReadFile(r.logPath(program, config))
	r.Check(err)
	r.Note("log of %s %s:\n%s", program, config, text)
}

// Signal sends a signal to a program.
func (r *Rig) Signal(p *Process, signal os.Signal) {
	r.Note("signal %v to %s", signal, p.Name)
	r.Check(p.Command.Process.Signal(signal))
}

// Ended reports whether a program has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Kill kills a program and waits until it has ended.
func (r *Rig) Kill(p *Process) {
	if p.Ended() {
		return
	}
	r.Note("kill %s", p.Name)
	if err := p.Command.Process.Kill(); err == nil {
		<-p.ended
	}
}

func (r *Rig) endAll() {
	r.processMutex.Lock()
	defer r.processMutex.Unlock()
	for _, p := range r.processes {
		if !p.Ended() && p.Command.Process.Kill() == nil {
			<-p.ended
		}
	}
}

// Ctl runs harehookctl at a controller's address and returns its output and exit code.
func (r *Rig) Ctl(address string, args ...string) (out string, code int) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	command := exec.CommandContext(ctx, "bin/harehookctl", append([]string{"--controller", address}, args...)...)
	command.Dir = r.root
	var text bytes.Buffer
	command.Stdout = &text
	command.Stderr = &text
	_ = command.Run() // the exit code tells
	return text.String(), command.ProcessState.ExitCode()
}

// MustCtl is Ctl for a command that must succeed.
func (r *Rig) MustCtl(address string, args ...string) string {
	out, code := r.Ctl(address, args...)
	if code != 0 {
		r.Cannot("harehookctl %v: exit code %d: %s", args, code, out)
	}
	r.Note("harehookctl %s: %s", strings.Join(args, " "), out)
	return out
}

// Until waits until a condition holds, and ends the case with ExitCannot if it does not within the time.
func (r *Rig) Until(what string, within time.Duration, holds func() bool) {
	for end := time.Now().Add(within); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			r.Cannot("not within %s: %s", within, what)
		}
	}
	r.Note("seen: %s", what)
}
