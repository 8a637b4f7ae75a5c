package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"harehook.dev/harehook/cluster"
)

// groupCallTimeout bounds a call to a member, including the commit of a proposal.
const groupCallTimeout = 15 * time.Second

// callGroup calls a method of a member of the group. Its errors carry an exit code: exitUnavailable if the member does
// not answer in time, and exitFault otherwise.
func callGroup[Out any](ctx context.Context, o *options, method string, in any) (out Out, err error) {
	conn, err := o.dial()
	if err != nil {
		return out, err
	}
	defer conn.Close()
	ctx, stop := context.WithTimeout(ctx, groupCallTimeout)
	defer stop()
	out, err = cluster.Call[Out](ctx, conn, method, in)
	switch status.Code(err) {
	case codes.OK:
		return out, nil
	case codes.Unavailable, codes.DeadlineExceeded:
		return out, unavailable(fmt.Errorf("member %s: %s", o.address, status.Convert(err).Message()))
	}
	return out, fault(errors.New(status.Convert(err).Message()))
}

// clusterCommands returns the commands that call a member of a group.
func (o *options) clusterCommands() []*cobra.Command {
	return []*cobra.Command{o.status(), o.config(), o.proposeCommand(), o.history(), o.diff(), o.rollback(), o.members(), o.lead(), o.snapshot(), o.records()}
}
