package loadtest

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"time"

	"harehook.dev/harehook/configsync"
)

// memberProcess is a member of the group, which may be killed and started again.
type memberProcess struct {
	id      uint64
	address string

	mutex     sync.Mutex
	workers   *workerSet
	worker    *worker // nil while it is down
	ready     chan struct{}
	sent      configsync.Counts
	samples   []sample      // processor time, of all its processes
	cpu       time.Duration // of the present process
	cpuBefore time.Duration // of those before
	resident  int64
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

// freeAddress is one on loopback that nothing listens on.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func (r *run) addresses() (all []string) {
	for _, member := range r.memberProcesses {
		all = append(all, member.address)
	}
	return all
}

// startMember starts a member with what its folder has, and waits until it serves.
func (r *run) startMember(ctx context.Context, member *memberProcess) error {
	started, err := r.launch(RoleMember)
	if err != nil {
		return err
	}
	ready := make(chan struct{})
	member.mutex.Lock()
	member.worker, member.ready = started, ready
	member.mutex.Unlock()
	r.workers.add(started, func(report *workerReport) { member.handleReport(started, report, r.recorder) })
	setup := &memberSetup{ID: member.id, Folder: filepath.Join(r.folder, fmt.Sprint("member-", member.id)), Addresses: map[uint64]string{}}
	for _, other := range r.memberProcesses {
		setup.Addresses[other.id] = other.address
	}
	if err := started.commands.write(workerCommand{Member: setup}); err != nil {
		return err
	}
	return r.waitFor(ctx, ready, startTimeout, fmt.Sprintf("member %d does not serve", member.id))
}

// handleReport notes what the member tells.
func (m *memberProcess) handleReport(from *worker, report *workerReport, to *recorder) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.worker != from {
		return // it was killed
	}
	if report.Ready {
		close(m.ready)
	}
	if report.Counts != nil {
		m.sent = *report.Counts
	}
	if report.Failed != "" {
		to.recordFailure(errors.New("member " + fmt.Sprint(m.id) + " ended: " + report.Failed))
	}
}

// kill kills the member.
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
