// Command toy runs a small platform on loopback. It builds and starts a controller, and runs fakes of the other
// parties: discovery with six endpoints, a relay with six proxies, and a collector of load reports in each zone. One
// endpoint is slow. At intervals, one of the other endpoints drains and later returns to service. The toy logs each
// call that the controller sends.
package main

import (
	"context"
	"flag"
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	reportInterval = 500 * time.Millisecond // as in the settings of example/config.json
	changeInterval = 8 * time.Second        // between two changes of the endpoint list
)

func main() {
	config := flag.String("config", "example/config.json", "path of the controller's configuration `file`")
	flag.Parse()
	if err := runUntilSignal(*config); err != nil {
		log.Fatal("toy: ", err)
	}
}

// runUntilSignal runs the platform until SIGINT or SIGTERM is received. It returns an error if the controller exits
// first.
func runUntilSignal(config string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := run(ctx, config)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// run runs the platform until the controller exits. The controller is stopped when ctx ends.
func run(ctx context.Context, path string) error {
	config, err := readConfig(path)
	if err != nil {
		return err
	}
	platform, err := startPlatform(config)
	if err != nil {
		return err
	}
	defer platform.close()
	exited, err := startController(ctx, path)
	if err != nil {
		return err
	}
	reports := time.NewTicker(reportInterval)
	defer reports.Stop()
	changes := time.NewTicker(changeInterval)
	defer changes.Stop()
	for {
		select {
		case err := <-exited:
			return fmt.Errorf("controller exited: %w", err)
		case <-changes.C:
			platform.changeEndpoint()
		case <-reports.C:
			platform.report()
		}
	}
}
