package loadtest

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// clockTicksPerSecond is the unit of CPU time in /proc, a fixed part of the interface of Linux to programs.
const clockTicksPerSecond = 100

// processReading is the resource usage of a process at a time.
type processReading struct {
	at       time.Time
	cpu      time.Duration
	resident int64 // bytes
}

// Indices of fields of /proc/PID/stat, counted from the field after the process name, which is the third field.
const (
	userTicksField     = 14 - 3
	systemTicksField   = 15 - 3
	residentPagesField = 24 - 3
)

// readProcess reads the resource usage of a process from /proc.
func readProcess(pid int) (processReading, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processReading{}, err
	}
	// The process name is in parentheses and may itself contain parentheses.
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	if len(fields) <= residentPagesField {
		return processReading{}, fmt.Errorf("/proc/%d/stat must have more than %d fields after the process name, got %d", pid, residentPagesField, len(fields))
	}
	var values [3]int64
	for index, field := range []int{userTicksField, systemTicksField, residentPagesField} {
		value, err := strconv.ParseInt(string(fields[field]), 10, 64)
		if err != nil {
			return processReading{}, fmt.Errorf("/proc/%d/stat: %w", pid, err)
		}
		values[index] = value
	}
	userTicks, systemTicks, residentPages := values[0], values[1], values[2]
	return processReading{
		at:       time.Now(),
		cpu:      time.Duration(userTicks+systemTicks) * time.Second / clockTicksPerSecond,
		resident: residentPages * int64(os.Getpagesize()),
	}, nil
}

// maxRateSpan is the time span over which the highest rate is computed.
const maxRateSpan = 10 * time.Second

// sample is the value of a cumulative amount at a time. Samples are ordered by time.
type sample struct {
	at     time.Time
	amount float64
}

// maxRate returns the highest rate per second over maxRateSpan, or the rate over all samples if they cover a shorter
// time.
func maxRate(samples []sample) (highest float64) {
	if len(samples) < 2 {
		return 0
	}
	duration := samples[len(samples)-1].at.Sub(samples[0].at)
	span := min(maxRateSpan, duration)
	from := 0 // index of the last sample that is at least a span before samples[to]
	for to := range samples {
		for from+1 < to && samples[to].at.Sub(samples[from+1].at) >= span {
			from++
		}
		if samples[to].at.Sub(samples[from].at) >= span {
			highest = max(highest, rateBetween(samples[from], samples[to]))
		}
	}
	return highest
}

// meanRate returns the mean rate per second over all samples.
func meanRate(samples []sample) float64 {
	if len(samples) < 2 {
		return 0
	}
	return rateBetween(samples[0], samples[len(samples)-1])
}

// rateBetween returns the rate per second between two samples, or 0 if no time passed between them.
func rateBetween(first, last sample) float64 {
	seconds := last.at.Sub(first.at).Seconds()
	if seconds <= 0 {
		return 0
	}
	return (last.amount - first.amount) / seconds
}
