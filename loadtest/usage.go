package loadtest

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// clockTicksPerSecond is the unit of processor time in /proc; Linux has it fixed for programs.
const clockTicksPerSecond = 100

// processReading is what a process has used until a time.
type processReading struct {
	at       time.Time
	cpu      time.Duration
	resident int64 // bytes
}

// The fields of /proc/PID/stat that are read, counted from the one after the process's name, which is the third one.
const (
	userTicksField     = 14 - 3
	systemTicksField   = 15 - 3
	residentPagesField = 24 - 3
)

// readProcess reads what the kernel says of a process.
func readProcess(pid int) (processReading, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processReading{}, err
	}
	// The name is in parentheses and may hold anything, also parentheses.
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	if len(fields) <= residentPagesField {
		return processReading{}, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
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

// maxRateSpan is the time over which the highest rate is taken.
const maxRateSpan = 10 * time.Second

// sample is an amount that grew until a time. Samples are in the order of their times.
type sample struct {
	at     time.Time
	amount float64
}

// maxRate is the highest rate a second at which an amount grew over the span, or over all samples if they are over a
// shorter time.
func maxRate(samples []sample) (highest float64) {
	if len(samples) < 2 {
		return 0
	}
	duration := samples[len(samples)-1].at.Sub(samples[0].at)
	span := min(maxRateSpan, duration)
	from := 0 // the last sample that is a span or more before
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

// meanRate is how much an amount grew a second.
func meanRate(samples []sample) float64 {
	if len(samples) < 2 {
		return 0
	}
	return rateBetween(samples[0], samples[len(samples)-1])
}

// rateBetween is how much an amount grew a second between two samples; 0 if no time passed.
func rateBetween(first, last sample) float64 {
	seconds := last.at.Sub(first.at).Seconds()
	if seconds <= 0 {
		return 0
	}
	return (last.amount - first.amount) / seconds
}
