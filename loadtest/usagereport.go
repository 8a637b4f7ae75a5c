package loadtest

import (
	"slices"
	"time"
)

const (
	kilobyte = 1 << 10
	megabyte = 1 << 20
)

// reportUsage fills in the resource usage of the processes while changes were made.
func (r *run) reportUsage(measured *Measured) {
	for _, p := range r.controllerProcesses {
		if p.isMeasured() {
			measured.Controller = r.controllerUsage(p)
			continue
		}
		measured.SimulatedProcesses = append(measured.SimulatedProcesses, p.usageSince(r.workloadStart))
	}
	for _, member := range r.memberProcesses {
		measured.Members = append(measured.Members, member.usage())
	}
}

// isMeasured reports whether p is the process of the measured controller.
func (p *controllerProcess) isMeasured() bool { return p.indexes[0] == measuredController }

// controllerUsage returns the resource usage of the measured controller.
func (r *run) controllerUsage(p *controllerProcess) *ControllerUsage {
	wire := p.wireSamples(r.workloadStart)
	return &ControllerUsage{
		IsProgram:    p.isProgram,
		ProcessUsage: p.usageSince(r.workloadStart),
		KBS:          meanRate(wire) / kilobyte,
		BusiestKBS:   maxRate(wire) / kilobyte,
		StartCPU:     p.startCPU,
		StartKB:      p.startWire / kilobyte,
		StartS:       p.startDuration.Seconds(),
	}
}

// simulatedKBS returns the mean traffic of a simulated controller before the first fault, in kilobytes per second
// received and sent.
func (r *run) simulatedKBS() float64 {
	bytesPerSecond := 0.0
	controllers := 0
	for _, p := range r.controllerProcesses {
		if p.isMeasured() {
			continue
		}
		faultFree := slices.DeleteFunc(p.wireSamples(r.workloadStart), func(s sample) bool { return s.at.After(r.faultFreeUntil) })
		bytesPerSecond += meanRate(faultFree)
		controllers += len(p.indexes)
	}
	if controllers == 0 {
		return 0
	}
	return bytesPerSecond / float64(controllers) / kilobyte
}

// usageSince returns the resource usage of the process since a time.
func (p *controllerProcess) usageSince(since time.Time) ProcessUsage {
	return summarizeUsage(p.samples, p.resident, since)
}

// usage returns the resource usage of the member while changes were made.
func (m *memberProcess) usage() MemberUsage {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return MemberUsage{ID: m.id, ProcessUsage: summarizeUsage(m.samples, m.resident, time.Time{}), Sent: m.sent}
}

// summarizeUsage returns the resource usage of a process since a time.
func summarizeUsage(samples []sample, resident int64, since time.Time) ProcessUsage {
	samples = samplesSince(samples, since)
	return ProcessUsage{
		CPU:        meanRate(samples),
		BusiestCPU: maxRate(samples),
		WorstMB:    float64(resident) / megabyte,
	}
}

func samplesSince(samples []sample, since time.Time) []sample {
	return slices.DeleteFunc(slices.Clone(samples), func(s sample) bool { return s.at.Before(since) })
}

// wireSamples returns the bytes that the process received and sent, sampled since a time.
func (p *controllerProcess) wireSamples(since time.Time) (samples []sample) {
	for _, reading := range p.wire {
		samples = append(samples, sample{at: time.Unix(0, reading.At), amount: float64(reading.In + reading.Out)})
	}
	return samplesSince(samples, since)
}
