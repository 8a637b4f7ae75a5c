package loadtest

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"harehook.dev/harehook/internal/loopback"
)

// programWorker is a worker that runs harehook-xds behind proxies, which count the bytes that it receives and sends.
type programWorker struct {
	setup *programSetup
	out   *lineWriter
	wire  wireCounter
}

// run runs the program until ctx is canceled. It returns an error if the program exits earlier.
func (p *programWorker) run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	var proxies sync.WaitGroup
	defer proxies.Wait()
	defer stop()
	members, err := p.startProxies(ctx, &proxies)
	if err != nil {
		return err
	}
	listen, err := loopback.Reserve()
	if err != nil {
		return err
	}
	defer listen.Close()
	config, err := p.writeConfig(listen.Address(), members)
	if err != nil {
		return fmt.Errorf("configure %s: %w", p.setup.Program, err)
	}
	started := make(chan int, 1) // process ID
	exited := make(chan error, 1)
	go func() { exited <- p.execute(ctx, config, started) }()
	err = p.report(ctx, started, exited)
	if errors.Is(err, errReport) {
		stop()
		return errors.Join(err, <-exited)
	}
	return err
}

// errReport is returned when a report cannot be written because its reader has exited.
var errReport = errors.New("write a report")

// report reports the process ID and, periodically, the wire counters until the program has exited. It returns errReport
// if a report cannot be written; the program is then still running.
func (p *programWorker) report(ctx context.Context, started <-chan int, exited <-chan error) error {
	ticker := time.NewTicker(wireReportInterval)
	defer ticker.Stop()
	for {
		var report workerReport
		select {
		case pid := <-started:
			report = workerReport{Ready: true, PID: pid}
		case err := <-exited:
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("%s exited: %w", p.setup.Program, err)
		case <-ticker.C:
			report = workerReport{Wire: p.wire.reading()}
		}
		if err := p.out.write(report); err != nil {
			return fmt.Errorf("%w: %w", errReport, err)
		}
	}
}

// startProxies starts a proxy for each member and returns their addresses.
func (p *programWorker) startProxies(ctx context.Context, tasks *sync.WaitGroup) (addresses []string, err error) {
	for _, member := range p.setup.Members {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen for the proxy of member %s: %w", member, err)
		}
		addresses = append(addresses, listener.Addr().String())
		proxy := &countingProxy{address: member, wire: &p.wire}
		tasks.Go(func() { proxy.serve(ctx, listener) })
	}
	return addresses, nil
}

// execute runs the program until it exits or ctx is canceled. The kernel kills the program when the thread that started
// it exits. The goroutine is locked to its thread, so that this happens only when the worker's process exits.
func (p *programWorker) execute(ctx context.Context, config string, started chan<- int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	log, err := os.Create(filepath.Join(p.setup.Folder, "harehookd.log"))
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.CommandContext(ctx, p.setup.Program, "--config", config)
	command.Stdout = log
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	started <- command.Process.Pid
	return command.Wait()
}

// writeConfig writes the program's configuration and node list and returns the path of the configuration.
func (p *programWorker) writeConfig(listen string, members []string) (path string, err error) {
	if err := os.MkdirAll(p.setup.Folder, 0o700); err != nil {
		return "", err
	}
	nodesPath := filepath.Join(p.setup.Folder, "nodes.kdl")
	if err := os.WriteFile(nodesPath, []byte(p.nodesText()), 0o600); err != nil {
		return "", err
	}
	path = filepath.Join(p.setup.Folder, "conductor.kdl")
	return path, os.WriteFile(path, []byte(p.configText(listen, members)), 0o600)
}

// nodesText returns the program's node list. It has one node per zone of the scope; nothing listens on the address.
func (p *programWorker) nodesText() string {
	var text strings.Builder
	for _, zone := range p.setup.Scope.Zones {
		fmt.Fprintf(&text, "node \"own-%s\" zone=%q address=\"127.0.0.1:9\"\n", zone, zone)
	}
	return text.String()
}

// configText returns the program's configuration: the routes of its scope, its node list, and the members, services and
// zones that it follows.
func (p *programWorker) configText(listen string, members []string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "conductor %q {\n  listen %q\n  seed 1\n  nodes \"nodes.kdl\"\n", p.setup.Name, listen)
	writeLines := func(indent, key string, values []string) {
		for _, value := range values {
			fmt.Fprintf(&text, "%s%s %q\n", indent, key, value)
		}
	}
	writeLines("  ", "zone", p.setup.Scope.Zones)
	for _, route := range p.setup.Routes {
		fmt.Fprintf(&text, "  %s\n", route)
	}
	text.WriteString("  follow {\n")
	writeLines("    ", "member", members)
	writeLines("    ", "service", p.setup.Scope.Services)
	writeLines("    ", "zone", p.setup.Scope.Zones)
	text.WriteString("  }\n}\n")
	return text.String()
}
