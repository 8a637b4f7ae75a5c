// Command toy runs a small platform on loopback: a conductor, which it builds and starts, and stand-ins for the rest,
// that is discovery with six nodes, a relay with six proxies, and a collector of load reports in each zone. One node
// is slow, and now and then another one drains and comes back. The toy prints each call of orders that the conductor
// sends.
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
	reportPeriod = 500 * time.Millisecond // as in the settings of the example
	changePeriod = 8 * time.Second        // between two changes of the list of nodes
)

func main() {
	config := flag.String("config", "example/config.json", "the conductor's configuration")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *config); err != nil && ctx.Err() == nil {
		log.Fatal("toy: ", err)
	}
}

// run plays the platform until the context or the conductor ends.
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
	ended, err := startConductor(ctx, path)
	if err != nil {
		return err
	}
	reports, changes := time.NewTicker(reportPeriod), time.NewTicker(changePeriod)
	defer reports.Stop()
	defer changes.Stop()
	for {
		select {
		case err := <-ended:
			return fmt.Errorf("the conductor ended: %w", err)
		case <-changes.C:
			platform.changeNode()
		case <-reports.C:
			platform.report()
		}
	}
}
