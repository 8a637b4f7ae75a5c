package main

import (
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/cluster"
)

// members changes the membership of the group.
func (o *options) members() *cobra.Command {
	c := &cobra.Command{Use: "members", Short: "Change the members of a group (--controller is the group address of the leader)"}
	change := func(use, short string, argumentCount int, request func(id uint64, address string) cluster.MembershipRequest) {
		c.AddCommand(&cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(argumentCount), RunE: func(c *cobra.Command, args []string) error {
			id, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil || id == 0 {
				return fmt.Errorf("number of a member must be an integer greater than 0, got %q", args[0])
			}
			address := ""
			if argumentCount > 1 {
				address = args[1]
			}
			r, err := callGroup[cluster.StatusReport](c.Context(), o, "Members", request(id, address))
			if err != nil {
				return err
			}
			if o.output == "json" {
				return writeJSON(c.OutOrStdout(), r)
			}
			return showStatus(c.OutOrStdout(), r)
		}})
	}
	change("add NUMBER ADDRESS", "Add a member as a learner, which receives the log but has no vote", 2, func(id uint64, address string) cluster.MembershipRequest {
		return cluster.MembershipRequest{Change: cluster.MembershipChange{Learn: []uint64{id}}, Address: address}
	})
	change("promote NUMBER", "Promote a learner to a voter", 1, func(id uint64, _ string) cluster.MembershipRequest {
		return cluster.MembershipRequest{Change: cluster.MembershipChange{Add: []uint64{id}}}
	})
	change("remove NUMBER", "Remove a member; its number may be added again with another disk", 1, func(id uint64, _ string) cluster.MembershipRequest {
		return cluster.MembershipRequest{Change: cluster.MembershipChange{Remove: []uint64{id}}}
	})
	return c
}

// lead transfers leadership to a member.
func (o *options) lead() *cobra.Command {
	return &cobra.Command{Use: "lead NUMBER", Short: "Transfer leadership to a member (--controller is the group address of the leader)", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		id, err := strconv.ParseUint(args[0], 10, 64)
		if err != nil {
			return fmt.Errorf("number of a member must be a non-negative integer, got %q", args[0])
		}
		r, err := callGroup[cluster.StatusReport](c.Context(), o, "Members", cluster.MembershipRequest{Lead: id})
		if err == nil && r.Status.Leader != id {
			err = fault(fmt.Errorf("member %d did not become the leader: it may be behind or unreachable", id))
		}
		return err
	}}
}
