package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/configsync/transport"
)

// maxBehind is the longest time that a change may take to converge at all followers.
const maxBehind = 7 * time.Second

// followers shows which revisions the controllers that follow the group have accepted.
func (o *options) followers() *cobra.Command {
	return &cobra.Command{
		Use: "followers", Short: "Show the converged revision of a group and the followers that are behind", Args: cobra.NoArgs,
		Long: "Ask all members of a group (--controller is the group address of one) which revisions their followers have accepted.\n" +
			"A revision has converged when every follower with a live lease has accepted it. The converged revision is unknown\n" +
			"while a member does not answer or has served for less than the duration of a lease.\n" +
			"The exit code is 1 if it is unknown or if a follower with a live lease has been behind for more than " + maxBehind.String() + ".",
		RunE: func(c *cobra.Command, _ []string) error {
			report, err := callGroup[cluster.StatusReport](c.Context(), o, "Status", struct{}{})
			if err != nil {
				return err
			}
			convergence := o.fetchStatuses(c.Context(), report)
			if o.output == "json" {
				err = writeJSON(c.OutOrStdout(), convergence)
			} else {
				err = showConvergence(c.OutOrStdout(), convergence)
			}
			if err != nil {
				return err
			}
			return convergenceFault(convergence)
		},
	}
}

// fetchStatuses fetches the status of the followers from all members concurrently, and merges the responses.
func (o *options) fetchStatuses(ctx context.Context, report cluster.StatusReport) configsync.Convergence {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ids := slices.Concat(report.Status.Voters, report.Status.Learners)
	names := make([]string, len(ids))
	var (
		calls    sync.WaitGroup
		mutex    sync.Mutex
		statuses []configsync.MemberStatus
	)
	for index, id := range ids {
		names[index] = strconv.FormatUint(id, 10)
		calls.Go(func() {
			status, err := o.fetchStatus(ctx, report.Addresses[id])
			if err != nil {
				return // Merge reports a member without a status as one that did not answer
			}
			mutex.Lock()
			defer mutex.Unlock()
			statuses = append(statuses, status)
		})
	}
	calls.Wait()
	return configsync.Merge(statuses, names)
}

func (o *options) fetchStatus(ctx context.Context, address string) (status configsync.MemberStatus, err error) {
	conn, err := o.dialTo(address)
	if err != nil {
		return status, err
	}
	defer conn.Close()
	return transport.FetchMemberStatus(ctx, conn)
}

// convergenceFault returns an error if followers are behind for too long or if the leases of a member are unknown.
func convergenceFault(convergence configsync.Convergence) error {
	var faults []string
	late := 0
	for _, follower := range convergence.Behind {
		if follower.Behind > maxBehind {
			late++
		}
	}
	if late > 0 {
		faults = append(faults, fmt.Sprintf("%d followers have been behind for more than %s", late, maxBehind))
	}
	for _, unknown := range convergence.UnknownMembers {
		faults = append(faults, fmt.Sprintf("member %s %s", unknown.Member, unknown.Reason))
	}
	if len(faults) == 0 {
		return nil
	}
	return fault(errors.New(strings.Join(faults, "; ")))
}

func showConvergence(out io.Writer, convergence configsync.Convergence) error {
	converged := strconv.FormatUint(convergence.ConvergedRevision, 10)
	if !convergence.Known {
		converged = "unknown"
	}
	fmt.Fprintf(out, "in force everywhere: %s, newest revision: %d, followers: %d live, %d behind, %d stale\n",
		converged, convergence.Revision, convergence.Live, len(convergence.Behind), len(convergence.Stale))
	for _, unknown := range convergence.UnknownMembers {
		fmt.Fprintf(out, "member %s %s\n", unknown.Member, unknown.Reason)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tREVISION\tFOLLOWERS")
	for _, member := range convergence.Members {
		fmt.Fprintf(w, "%s\t%d\t%d\n", member.Member, member.Revision, member.Live)
	}
	if len(convergence.Behind)+len(convergence.Stale) > 0 {
		fmt.Fprintln(w, "\nFOLLOWER\tSTATE\tACCEPTED\tBEHIND\tMEMBER\tREFUSED")
	}
	for _, follower := range convergence.Behind {
		showFollower(w, "behind", follower)
	}
	for _, follower := range convergence.Stale {
		showFollower(w, "stale", follower)
	}
	return w.Flush()
}

func showFollower(w io.Writer, state string, follower configsync.FollowerStatus) {
	rejection := ""
	if follower.RejectedRevision > 0 {
		rejection = fmt.Sprintf("%d: %s", follower.RejectedRevision, follower.Reason)
	}
	fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", follower.Name, state, follower.Accepted, follower.Behind.Round(time.Millisecond), follower.Member, rejection)
}
