package loadtest

import (
	"slices"
	"time"
)

const (
	kilobyte = 1 << 10
	megabyte = 1 << 20
)

// reportUsage reports what the processes used while changes were played.
func (r *run) reportUsage(measured *Measured) {
	for _, p := range r.controllerProcesses {
		if p.isMeasured() {
			measured.Controller = r.controllerUsage(p)
			continue
		}
		measured.SimulatedProcesses = append(measured.SimulatedProcesses, p.usageSince(r.playStart))
	}
	for _, member := range r.memberProcesses {
		measured.Members = append(measured.Members, member.usage())
	}
}

// isMeasured tells whether it is the process of the one controller that is measured.
func (p *controllerProcess) isMeasured() bool { return p.indexes[0] == measuredController }

// controllerUsage is what the measured controller used.
func (r *run) controllerUsage(p *controllerProcess) *ControllerUsage {
	wire := p.wireSamples(r.playStart)
	return &ControllerUsage{
		IsProgram:    p.external,
		ProcessUsage: p.usageSince(r.playStart),
		KBS:          meanRate(wire) / kilobyte,
		BusiestKBS:   maxRate(wire) / kilobyte,
		StartCPU:     p.startCPU,
		StartKB:      p.startWire / kilobyte,
		StartS:       p.startTime.Seconds(),
	}
}

// simulatedKBS is what a simulated controller received and sent, in kilobytes a second, on average while no fault was
// played.
func (r *run) simulatedKBS() float64 {
	bytesPerSecond := 0.0
	controllers := 0
	for _, p := range r.controllerProcesses {
		if p.isMeasured() {
			continue
		}
		faultFree := slices.DeleteFunc(p.wireSamples(r.playStart), func(s sample) bool { return s.at.After(r.faultFreeUntil) })
		bytesPerSecond += meanRate(faultFree)
		controllers += len(p.indexes)
	}
	if controllers == 0 {
		return 0
	}
	return bytesPerSecond / float64(controllers) / kilobyte
}

// usageSince is what a worker of controllers used since a time.
func (p *controllerProcess) usageSince(since time.Time) ProcessUsage {
	return summarizeUsage(p.samples, p.resident, since)
}

// usage is what the member used while changes were played.
func (m *memberProcess) usage() MemberUsage {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return MemberUsage{ID: m.id, ProcessUsage: summarizeUsage(m.samples, m.resident, time.Time{}), Sent: m.sent}
}

// summarizeUsage is what a process used since a time.
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

// wireSamples are the bytes of a worker in and out since a time.
func (p *controllerProcess) wireSamples(since time.Time) (samples []sample) {
	for _, reading := range p.wire {
		samples = append(samples, sample{at: time.Unix(0, reading.At), amount: float64(reading.In + reading.Out)})
	}
	return samplesSince(samples, since)
}
