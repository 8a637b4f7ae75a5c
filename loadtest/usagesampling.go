package loadtest

import (
	"context"
	"time"
)

// sampleUsage reads what all processes use, every second until ctx ends.
func (r *run) sampleUsage(ctx context.Context) {
	if !r.separateProcesses {
		return
	}
	for {
		for _, p := range r.controllerProcesses {
			p.sampleUsage()
		}
		for _, member := range r.memberProcesses {
			member.sampleUsage()
		}
		if sleep(ctx, sampleInterval) != nil {
			return
		}
	}
}

func (p *controllerProcess) sampleUsage() {
	used, err := readProcess(p.pid)
	if err != nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.samples = append(p.samples, sample{used.at, used.cpu.Seconds()})
	p.resident = max(p.resident, used.resident)
}

// recordStartUsage keeps what the start took of each worker, once each has told its bytes.
func (r *run) recordStartUsage(ctx context.Context) error {
	if !r.separateProcesses {
		return nil
	}
	if err := sleep(ctx, wireReportInterval+reportInterval); err != nil {
		return err
	}
	for _, p := range r.controllerProcesses {
		p.sampleUsage()
		p.mutex.Lock()
		if len(p.samples) > 0 {
			p.startCPU = p.samples[len(p.samples)-1].amount
		}
		if len(p.wire) > 0 {
			last := p.wire[len(p.wire)-1]
			p.startWire = float64(last.In + last.Out)
		}
		p.mutex.Unlock()
	}
	return nil
}

// sampleUsage reads what the member's process uses. A process that was started again counts from nothing; its time is put
// behind that of the one before.
func (m *memberProcess) sampleUsage() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.worker == nil {
		return
	}
	used, err := readProcess(m.worker.pid)
	if err != nil {
		return
	}
	m.samples = append(m.samples, sample{used.at, (m.cpuBefore + used.cpu).Seconds()})
	m.cpu = used.cpu
	m.resident = max(m.resident, used.resident)
}

// usage is what the member used while changes were played.
func (m *memberProcess) usage() MemberUsage {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return MemberUsage{ID: m.id, ProcessUsage: summarizeUsage(m.samples, m.resident, time.Time{}), Sent: m.sent}
}
