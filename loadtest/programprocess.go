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

// programPollInterval is how often members are asked whether harehook-xds is in step, which it does not report by itself.
const programPollInterval = 100 * time.Millisecond

// startProgram starts harehook-xds, if there is one, as the controller with a process of its own.
func (r *run) startProgram(ctx context.Context) error {
	if r.controllerProgram == "" {
		return nil
	}
	began := time.Now()
	started, err := r.launch(RoleProgram)
	if err != nil {
		return err
	}
	p := &controllerProcess{
		worker:   started,
		indexes:  []int{measuredController},
		external: true,
		ready:    make(chan struct{}),
	}
	r.controllerProcesses = append(r.controllerProcesses, p)
	r.workers.add(started, func(report *workerReport) { r.handleReport(p, report) })
	controller := r.controllers[measuredController]
	setup := &programSetup{
		Program:    r.controllerProgram,
		Folder:     filepath.Join(r.folder, "harehookd"),
		Members:    r.addresses(),
		Controller: controller,
		Routes:     r.configuration.routeLines(controller.Scope),
	}
	if err := started.commands.write(workerCommand{Program: setup}); err != nil {
		return fmt.Errorf("set up the worker of harehook-xds: %w", err)
	}
	if err := r.waitFor(ctx, p.ready, startTimeout, "harehook-xds does not start"); err != nil {
		return err
	}
	if err := r.waitProgramConverged(ctx, stepTimeout); err != nil {
		return err
	}
	p.startTime = time.Since(began)
	return nil
}

// routeLines are the routes of a scope as harehook-xds's file has them. The agreed routes have the same prefixes, and may
// be mutating, which these are not.
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

// waitProgramConverged waits until a member knows that harehook-xds holds what was agreed when this was called.
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
			return fmt.Errorf("harehookd held revision %d after %s, %d was agreed; it refused %d: %s",
				lease.Accepted, timeout, want, lease.RejectedRevision, lease.Reason)
		}
		if err := sleep(ctx, programPollInterval); err != nil {
			return err
		}
	}
}

// latestLease is what the members know of a follower: the lease with the latest revision.
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
