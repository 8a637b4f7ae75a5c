package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	statusv3 "github.com/envoyproxy/go-control-plane/envoy/service/status/v3"
	"github.com/spf13/cobra"
)

// follow polls the controller and prints each change of the versions that sidecars have accepted or rejected, until it
// is interrupted or the given number of polls is reached.
func (o *options) follow() *cobra.Command {
	every, times := time.Second, 0
	c := &cobra.Command{Use: "follow", Short: "Print changes of the versions that sidecars accept or reject", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if every <= 0 {
				return fmt.Errorf("--every must be greater than 0, got %s", every)
			}
			last := map[string]string{}
			for n := 0; times == 0 || n < times; n++ {
				configs, err := o.fetch(c.Context(), true)
				if c.Context().Err() != nil {
					return nil
				}
				if err != nil {
					return err
				}
				if err := o.changes(c.OutOrStdout(), configs, last); err != nil {
					return err
				}
				select {
				case <-c.Context().Done():
					return nil
				case <-time.After(every):
				}
			}
			return nil
		}}
	c.Flags().DurationVar(&every, "every", every, "interval between polls")
	c.Flags().IntVar(&times, "times", 0, "number of polls; 0 means until interrupted")
	return c
}

// changes prints one line for each value that differs from last, and updates last.
func (o *options) changes(out io.Writer, configs []*statusv3.ClientConfig, last map[string]string) error {
	tell := func(key, what string, about any) error {
		if last[key] == what {
			return nil
		}
		last[key] = what
		if o.output == "json" {
			return json.NewEncoder(out).Encode(about)
		}
		_, err := fmt.Fprintf(out, "%s %s\n", key, what)
		return err
	}
	for _, c := range configs {
		r := sidecarOutputOf(c)
		stream := map[bool]string{true: "joined, table " + r.Table, false: "gone"}[r.Joined]
		if err := tell(r.ID, stream, map[string]any{"sidecar": r.ID, "stream": stream}); err != nil {
			return err
		}
		for _, v := range r.Versions {
			what := strings.TrimSpace(v.Status + " " + v.Accepted + " " + v.Rejected + " " + v.Reason)
			if err := tell(r.ID+" "+v.Kind+" "+v.Name, what, map[string]any{"sidecar": r.ID, "version": v}); err != nil {
				return err
			}
		}
	}
	return nil
}
