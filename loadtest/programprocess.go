package loadtest

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/records"
)

// programPollInterval is the interval at which the members are polled for the revision of harehook-xds, which does not
// report it itself.
const programPollInterval = 100 * time.Millisecond

// startProgram starts harehook-xds as the measured controller, if the run has its path, and waits until it is in step.
func (r *run) startProgram(ctx context.Context) error {
	if r.controllerProgram == "" {
		return nil
	}
	start := time.Now()
	w, err := r.launch(RoleProgram)
	if err != nil {
		return err
	}
	p := &controllerProcess{
		worker:    w,
		indexes:   []int{measuredController},
		isProgram: true,
		ready:     make(chan struct{}),
	}
	r.controllerProcesses = append(r.controllerProcesses, p)
	r.workers.add(w, func(report *workerReport) { r.handleReport(p, report) })
	controller := r.controllers[measuredController]
	setup := &programSetup{
		Program:    r.controllerProgram,
		Folder:     filepath.Join(r.folder, "harehookd"),
		Members:    r.memberAddresses(),
		Controller: controller,
		Routes:     r.configuration.routeLines(controller.Scope),
	}
	if err := w.commands.write(workerCommand{Program: setup}); err != nil {
		return fmt.Errorf("set up the worker of harehook-xds: %w", err)
	}
	if err := r.waitFor(ctx, p.ready, startTimeout, "harehook-xds did not start"); err != nil {
		return err
	}
	if err := r.waitProgramConverged(ctx, inStepTimeout); err != nil {
		return err
	}
	p.startDuration = time.Since(start)
	return nil
}

// routeLines returns the routes of a scope as lines of the configuration of harehook-xds. They have the same prefixes
// as the agreed routes. The agreed routes may be mutating; these never are.
func (c *Configuration) routeLines(scope records.Scope) (lines []string) {
	for _, name := range c.routes {
		key := records.Key{Kind: records.KindRoute, Name: name}
		if !slices.Contains(scope.Services, c.serviceOf[key]) {
			continue
		}
		lines = append(lines, fmt.Sprintf("route %q { prefix %q; limit-ms 2000; }", name, c.prefix(key)))
	}
	return lines
}

// waitProgramConverged waits until a member reports that harehook-xds has accepted the newest revision at the time of
// the call.
func (r *run) waitProgramConverged(ctx context.Context, timeout time.Duration) error {
	want := r.recorder.newestRevision()
	name := r.controllers[measuredController].Name
	deadline := time.Now().Add(timeout)
	for {
		lease, found := r.latestLease(ctx, name)
		if found && lease.Accepted >= want {
			return nil
		}
		if err := r.recorder.firstFailure(); err != nil {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("harehook-xds has accepted revision %d after %s, want %d; last rejected revision: %d (0 if none), reason: %q",
				lease.Accepted, timeout, want, lease.RejectedRevision, lease.Reason)
		}
		if err := sleep(ctx, programPollInterval); err != nil {
			return err
		}
	}
}

// latestLease returns a follower's lease with the latest accepted revision among all members.
func (r *run) latestLease(ctx context.Context, name string) (latest configsync.LeaseStatus, found bool) {
	for _, status := range r.group.memberStatuses(ctx) {
		for _, lease := range status.Leases {
			if lease.Name == name && (!found || lease.Accepted > latest.Accepted) {
				latest = lease
				found = true
			}
		}
	}
	return latest, found
}
