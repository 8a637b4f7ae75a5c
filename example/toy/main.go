// Command toy runs a small platform on loopback: a controller, which it builds and starts, and fakes of the rest, that
// is discovery with six endpoints, a relay with six proxies, and a collector of load reports in each zone. One endpoint
// is slow, and now and then another one drains and comes back. The toy prints each call that the controller sends.
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
	reportInterval = 500 * time.Millisecond // as in the settings of the example
	changeInterval = 8 * time.Second        // between two changes of the endpoint list
)

func main() {
	config := flag.String("config", "example/config.json", "the controller's configuration")
	flag.Parse()
	if err := runUntilSignal(*config); err != nil {
		log.Fatal("toy: ", err)
	}
}

// runUntilSignal plays the platform until a signal comes, or until the controller ends, which is an error.
func runUntilSignal(config string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := run(ctx, config)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// run plays the platform until the controller ends, as it does after ctx has ended.
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
	ended, err := startController(ctx, path)
	if err != nil {
		return err
	}
	reports := time.NewTicker(reportInterval)
	defer reports.Stop()
	changes := time.NewTicker(changeInterval)
	defer changes.Stop()
	for {
		select {
		case err := <-ended:
			return fmt.Errorf("the controller ended: %w", err)
		case <-changes.C:
			platform.changeEndpoint()
		case <-reports.C:
			platform.report()
		}
	}
}
