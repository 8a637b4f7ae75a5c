package loadtest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// programWorker is the worker that runs harehook-xds behind proxies, which count what it is sent and sends.
type programWorker struct {
	setup *programSetup
	out   *lineWriter
	wire  wireCounter
}

// run starts the program and ends it when ctx ends. That the program ends by itself is a failure.
func (p *programWorker) run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	var proxies sync.WaitGroup
	defer proxies.Wait()
	defer stop()
	var members []string
	for _, member := range p.setup.Members {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		members = append(members, listener.Addr().String())
		proxies.Go(func() { (&proxy{member, &p.wire}).serve(ctx, listener) })
	}
	path, err := p.configure(members)
	if err != nil {
		return err
	}
	started, stopped := make(chan int, 1), make(chan error, 1)
	go func() { stopped <- p.execute(ctx, path, started) }()
	tick := time.NewTicker(wireReportInterval)
	defer tick.Stop()
	for {
		select {
		case pid := <-started:
			if err := p.out.write(workerReport{Ready: true, PID: pid}); err != nil {
				stop()
				return errors.Join(err, <-stopped)
			}
		case err := <-stopped:
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("%s ended: %w", p.setup.Program, err)
		case <-tick.C:
			if err := p.out.write(workerReport{Wire: p.wire.reading()}); err != nil {
				stop()
				return errors.Join(err, <-stopped)
			}
		}
	}
}

// execute runs the program until it or ctx ends. Its thread lives as long, so that the program ends with this process.
func (p *programWorker) execute(ctx context.Context, config string, started chan<- int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	log, err := os.Create(filepath.Join(p.setup.Folder, "harehookd.log"))
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.CommandContext(ctx, p.setup.Program, "--config", config)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	started <- command.Process.Pid
	return command.Wait()
}

// configure writes the program's files: the routes of its scope, a list of nodes, and whom it follows.
func (p *programWorker) configure(members []string) (path string, err error) {
	if err := os.MkdirAll(p.setup.Folder, 0o700); err != nil {
		return "", err
	}
	listen, err := freeAddress()
	if err != nil {
		return "", err
	}
	var text, nodes strings.Builder
	fmt.Fprintf(&text, "conductor %q {\n  listen %q\n  seed 1\n  nodes \"nodes.kdl\"\n", p.setup.Name, listen)
	for _, zone := range p.setup.Scope.Zones {
		fmt.Fprintf(&text, "  zone %q\n", zone)
		fmt.Fprintf(&nodes, "node \"own-%s\" zone=%q address=\"127.0.0.1:9\"\n", zone, zone)
	}
	for _, route := range p.setup.Routes {
		fmt.Fprintf(&text, "  %s\n", route)
	}
	text.WriteString("  follow {\n")
	for _, one := range []struct {
		name   string
		values []string
	}{{"member", members}, {"service", p.setup.Scope.Services}, {"zone", p.setup.Scope.Zones}} {
		for _, value := range one.values {
			fmt.Fprintf(&text, "    %s %q\n", one.name, value)
		}
	}
	text.WriteString("  }\n}\n")
	if err := os.WriteFile(filepath.Join(p.setup.Folder, "nodes.kdl"), []byte(nodes.String()), 0o600); err != nil {
		return "", err
	}
	path = filepath.Join(p.setup.Folder, "conductor.kdl")
	return path, os.WriteFile(path, []byte(text.String()), 0o600)
}

// proxy hands connections on to an address and counts what goes through. The counts are those of who connects.
type proxy struct {
	address string
	wire    *wireCounter
}

// serve takes connections until ctx ends.
func (p *proxy) serve(ctx context.Context, listener net.Listener) {
	defer context.AfterFunc(ctx, func() { listener.Close() })()
	var carrying sync.WaitGroup
	defer carrying.Wait()
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		carrying.Go(func() { p.carry(ctx, near) })
	}
}

// carry hands on one connection until either side ends it.
func (p *proxy) carry(ctx context.Context, near net.Conn) {
	defer near.Close()
	dialer := net.Dialer{Timeout: dialTimeout}
	far, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return
	}
	defer far.Close()
	closeBoth := func() { near.Close(); far.Close() }
	defer context.AfterFunc(ctx, closeBoth)()
	var other sync.WaitGroup
	defer other.Wait()
	other.Go(func() {
		defer closeBoth()
		io.Copy(countingWriter{far, &p.wire.out}, near)
	})
	defer closeBoth()
	io.Copy(countingWriter{near, &p.wire.in}, far)
}
