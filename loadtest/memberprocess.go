package loadtest

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/internal/loopback"
)

// memberProcess is the run's handle to a member of the group, which may be killed and restarted.
type memberProcess struct {
	id      uint64
	address *loopback.Reservation // kept while the member is stopped
	workers *workerSet

	mutex       sync.Mutex    // guards the fields below
	worker      *worker       // nil while the member is stopped
	ready       chan struct{} // closed when the worker serves
	sent        configsync.Counts
	samples     []sample      // CPU time in seconds, of all its processes
	cpu         time.Duration // CPU time of the current process
	previousCPU time.Duration // CPU time of the earlier processes
	resident    int64         // maximum observed, in bytes
}

// startMembers starts the group and waits until it has a leader.
func (r *run) startMembers(ctx context.Context) error {
	for id := range uint64(r.plan.Members) {
		address, err := loopback.Reserve()
		if err != nil {
			return err
		}
		r.memberProcesses = append(r.memberProcesses, &memberProcess{id: id + 1, address: address, workers: &r.workers})
	}
	for _, member := range r.memberProcesses {
		if err := r.startMember(ctx, member); err != nil {
			return err
		}
	}
	group, err := newGroupClient(r.memberAddresses())
	if err != nil {
		return err
	}
	r.group = group
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	_, err = r.group.leader(ctx)
	return err
}

// releaseAddresses releases the addresses of all members, which must have stopped.
func (r *run) releaseAddresses() {
	for _, member := range r.memberProcesses {
		member.address.Close()
	}
}

// memberAddresses returns the addresses of all members.
func (r *run) memberAddresses() (addresses []string) {
	for _, member := range r.memberProcesses {
		addresses = append(addresses, member.address.Address())
	}
	return addresses
}

// startMember starts a member from the log in its folder and waits until it serves.
func (r *run) startMember(ctx context.Context, member *memberProcess) error {
	w, err := r.launch(RoleMember)
	if err != nil {
		return err
	}
	ready := make(chan struct{})
	member.mutex.Lock()
	member.worker = w
	member.ready = ready
	member.mutex.Unlock()
	r.workers.add(w, func(report *workerReport) { member.handleReport(w, report, r.recorder) })
	if err := w.commands.write(workerCommand{Member: r.memberSetup(member)}); err != nil {
		return fmt.Errorf("set up member %d: %w", member.id, err)
	}
	return r.waitFor(ctx, ready, startTimeout, fmt.Sprintf("member %d did not start to serve", member.id))
}

// memberSetup returns the settings of a member.
func (r *run) memberSetup(member *memberProcess) *memberSetup {
	setup := &memberSetup{
		ID:        member.id,
		Folder:    filepath.Join(r.folder, fmt.Sprint("member-", member.id)),
		Addresses: map[uint64]string{},
	}
	for _, other := range r.memberProcesses {
		setup.Addresses[other.id] = other.address.Address()
	}
	return setup
}

// handleReport records a report of the member's worker. Reports of a worker that was killed are ignored.
func (m *memberProcess) handleReport(from *worker, report *workerReport, recorder *recorder) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.worker != from {
		return
	}
	if report.Ready {
		close(m.ready)
	}
	if report.Counts != nil {
		m.sent = *report.Counts
	}
	if report.Failed != "" {
		recorder.recordFailure(fmt.Errorf("member %d failed: %s", m.id, report.Failed))
	}
}

// kill kills the member's process and waits until it has exited.
func (m *memberProcess) kill() error {
	m.mutex.Lock()
	killed := m.worker
	m.worker = nil
	m.previousCPU += m.cpu
	m.cpu = 0
	m.mutex.Unlock()
	if killed == nil {
		return nil
	}
	return m.workers.kill(killed)
}
