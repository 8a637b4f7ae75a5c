package loadtest

import "context"

// sampleUsage samples the resource usage of all processes every second until ctx ends.
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

// sampleUsage samples the resource usage of the worker process.
func (p *controllerProcess) sampleUsage() {
	reading, err := readProcess(p.pid)
	if err != nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.samples = append(p.samples, sample{at: reading.at, amount: reading.cpu.Seconds()})
	p.resident = max(p.resident, reading.resident)
}

// recordStartUsage records each worker's resource usage from its start until all controllers are in step. It first
// waits until each worker has reported its bytes.
func (r *run) recordStartUsage(ctx context.Context) error {
	if !r.separateProcesses {
		return nil
	}
	if err := sleep(ctx, wireReportInterval+reportInterval); err != nil {
		return err
	}
	for _, p := range r.controllerProcesses {
		p.sampleUsage()
		p.recordStartUsage()
	}
	return nil
}

// recordStartUsage records the resource usage of the worker so far.
func (p *controllerProcess) recordStartUsage() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.samples) > 0 {
		p.startCPU = p.samples[len(p.samples)-1].amount
	}
	if len(p.wire) > 0 {
		last := p.wire[len(p.wire)-1]
		p.startWire = float64(last.In + last.Out)
	}
}

// sampleUsage samples the resource usage of the member's process. The CPU time of a restarted process counts from 0, so
// the CPU time of the previous processes is added.
func (m *memberProcess) sampleUsage() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.worker == nil {
		return
	}
	reading, err := readProcess(m.worker.pid)
	if err != nil {
		return
	}
	m.samples = append(m.samples, sample{at: reading.at, amount: (m.previousCPU + reading.cpu).Seconds()})
	m.cpu = reading.cpu
	m.resident = max(m.resident, reading.resident)
}
