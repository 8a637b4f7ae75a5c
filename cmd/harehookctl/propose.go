package main

import (
	"fmt"
	"os"
	"os/user"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/config"
)

// propose proposes a command to the group and prints the result.
func (o *options) propose(c *cobra.Command, command cluster.Command) error {
	r, err := callGroup[cluster.Result](c.Context(), o, "Propose", command)
	if err != nil {
		return err
	}
	if r.Rejected != "" {
		return rejectionError(r.Rejected)
	}
	if o.output == "json" {
		return writeJSON(c.OutOrStdout(), r)
	}
	fmt.Fprintf(c.OutOrStdout(), "version %d is in force\n", r.Version)
	return nil
}

// newCommand creates a command for a proposal. A repeated proposal with the same ID is applied only once. Without an
// ID, newCommand generates one that is unique to this call.
func newCommand(kind cluster.CommandKind, base uint64, id, why string) cluster.Command {
	by := "unknown"
	if u, err := user.Current(); err == nil {
		by = u.Username
	}
	if id == "" {
		id = fmt.Sprintf("%s-%d-%d", by, os.Getpid(), time.Now().UnixNano())
	}
	return cluster.Command{Kind: kind, Client: id, Seq: 1, Base: base, By: by, Why: why, At: time.Now().Unix()}
}

// proposeCommand proposes a configuration file as the next version.
func (o *options) proposeCommand() *cobra.Command {
	base, why, id := int64(-1), "", ""
	c := &cobra.Command{Use: "propose FILE", Short: "Propose a configuration as the next version", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, files []string) error {
		text, err := os.ReadFile(files[0])
		if err != nil {
			return fault(err)
		}
		if err := config.ValidateAgreed(string(text)); err != nil {
			return fault(fmt.Errorf("%s: %w", files[0], err))
		}
		if base < 0 {
			r, err := o.read(c.Context(), cluster.ReadRequest{Linearizable: true})
			if err != nil {
				return err
			}
			base = int64(r.Versions[0].Number)
		}
		put := newCommand(cluster.CommandPut, uint64(base), id, why)
		put.Text = string(text)
		return o.propose(c, put)
	}}
	c.Flags().Int64Var(&base, "base", base, "number of the version that the file is based on; default is the version in effect")
	c.Flags().StringVar(&why, "why", "", "the reason, for the history")
	c.Flags().StringVar(&id, "id", "", "ID of the proposal; repeat a proposal that got no response under the same ID to apply it only once")
	return c
}

// rollback puts an earlier version into effect under a new number.
func (o *options) rollback() *cobra.Command {
	why := ""
	c := &cobra.Command{Use: "rollback VERSION", Short: "Put an earlier version into effect under a new number", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		to, err := strconv.ParseUint(args[0], 10, 64)
		if err != nil {
			return fmt.Errorf("number of a version must be a non-negative integer, got %q", args[0])
		}
		r, err := o.read(c.Context(), cluster.ReadRequest{Linearizable: true})
		if err != nil {
			return err
		}
		rollback := newCommand(cluster.CommandRollBack, r.Versions[0].Number, "", why)
		if rollback.To = to; why == "" {
			rollback.Why = fmt.Sprint("back to version ", to)
		}
		return o.propose(c, rollback)
	}}
	c.Flags().StringVar(&why, "why", "", "the reason, for the history")
	return c
}
