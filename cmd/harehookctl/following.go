package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/spf13/cobra"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"harehook.dev/harehook/configsync/transport"
)

// following shows the state of a controller that follows a group.
func (o *options) following() *cobra.Command {
	return &cobra.Command{
		Use: "following", Short: "Show the state of a controller that follows a group", Args: cobra.NoArgs,
		Long: "Show the state of a controller that follows a group (--controller is its address for sidecars).\n" +
			"The exit code is 1 if the controller is stale: its lease has expired, and it serves the last revision that it accepted.",
		RunE: func(c *cobra.Command, _ []string) error {
			conn, err := o.dial()
			if err != nil {
				return err
			}
			defer conn.Close()
			ctx, cancel := context.WithTimeout(c.Context(), callTimeout)
			defer cancel()
			report, err := transport.FetchFollowerReport(ctx, conn)
			if status.Code(err) == codes.Unimplemented {
				return fault(fmt.Errorf("controller %s does not follow a group", o.address))
			}
			if err != nil {
				return unavailable(fmt.Errorf("controller %s: %s", o.address, status.Convert(err).Message()))
			}
			if o.output == "json" {
				err = writeJSON(c.OutOrStdout(), report)
			} else {
				showFollowing(c, report)
			}
			if err == nil && report.Stale {
				err = fault(errors.New("the controller is stale: its lease has expired, and it serves the last revision that it accepted"))
			}
			return err
		},
	}
}

func showFollowing(c *cobra.Command, report transport.FollowerReport) {
	out := c.OutOrStdout()
	member := report.Member
	if member == "" {
		member = "none"
	}
	fmt.Fprintf(out, "%s: revision %d, follows %s, accepted %d updates, rejected %d, %d failovers\n", report.Name, report.Revision, member,
		report.Accepted, report.Rejected, report.Failovers)
	if report.LastError != "" {
		fmt.Fprintf(out, "last error of a stream to a member: %s\n", report.LastError)
	}
}
