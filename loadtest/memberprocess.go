package loadtest

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"time"

	"harehook.dev/harehook/configsync"
)

// memberProcess is a member of the group as the run sees it. It may be killed and started again.
type memberProcess struct {
	id      uint64
	address string
	workers *workerSet

	mutex     sync.Mutex    // guards all below
	worker    *worker       // nil while it is down
	ready     chan struct{} // closed once the worker serves
	sent      configsync.Counts
	samples   []sample      // processor time in seconds, of all its processes
	cpu       time.Duration // of the present process
	cpuBefore time.Duration // of the processes before
	resident  int64         // bytes, the most that was seen
}

// startMembers starts the group and waits until it has a leader.
func (r *run) startMembers(ctx context.Context) error {
	for id := range uint64(r.plan.Members) {
		address, err := freeAddress()
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
	group, err := newGroupClient(r.addresses())
	if err != nil {
		return err
	}
	r.group = group
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	_, err = r.group.leader(ctx)
	return err
}

// freeAddress returns one on loopback that nothing listens on.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// addresses are those of all members.
func (r *run) addresses() (addresses []string) {
	for _, member := range r.memberProcesses {
		addresses = append(addresses, member.address)
	}
	return addresses
}

// startMember starts a member with what its folder has, and waits until it serves.
func (r *run) startMember(ctx context.Context, member *memberProcess) error {
	started, err := r.launch(RoleMember)
	if err != nil {
		return err
	}
	ready := make(chan struct{})
	member.mutex.Lock()
	member.worker = started
	member.ready = ready
	member.mutex.Unlock()
	r.workers.add(started, func(report *workerReport) { member.handleReport(started, report, r.recorder) })
	if err := started.commands.write(workerCommand{Member: r.memberSetup(member)}); err != nil {
		return fmt.Errorf("set up member %d: %w", member.id, err)
	}
	return r.waitFor(ctx, ready, startTimeout, fmt.Sprintf("member %d does not serve", member.id))
}

// memberSetup says how to start a member.
func (r *run) memberSetup(member *memberProcess) *memberSetup {
	setup := &memberSetup{
		ID:        member.id,
		Folder:    filepath.Join(r.folder, fmt.Sprint("member-", member.id)),
		Addresses: map[uint64]string{},
	}
	for _, other := range r.memberProcesses {
		setup.Addresses[other.id] = other.address
	}
	return setup
}

// handleReport notes what a worker of the member reports, unless it was killed.
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
		recorder.recordFailure(fmt.Errorf("member %d ended: %s", m.id, report.Failed))
	}
}

// kill ends the member's process at once.
func (m *memberProcess) kill() error {
	m.mutex.Lock()
	killed := m.worker
	m.worker = nil
	m.cpuBefore += m.cpu
	m.cpu = 0
	m.mutex.Unlock()
	if killed == nil {
		return nil
	}
	return m.workers.kill(killed)
}
