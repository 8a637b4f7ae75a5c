package loadtest

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// clockTicks is the unit of processor time in /proc, a second's part: Linux has it fixed for programs.
const clockTicks = 100

// processReading is what a process has used until a time.
type processReading struct {
	at       time.Time
	cpu      time.Duration
	resident int64 // bytes
}

// readProcess reads what the kernel tells of a process.
func readProcess(pid int) (processReading, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processReading{}, err
	}
	// The name is in parentheses and may hold anything; what follows it begins with the third field.
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	const user, system, pages = 14 - 3, 15 - 3, 24 - 3
	if len(fields) <= pages {
		return processReading{}, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	var values [3]int64
	for at, field := range []int{user, system, pages} {
		if values[at], err = strconv.ParseInt(string(fields[field]), 10, 64); err != nil {
			return processReading{}, err
		}
	}
	cpu := time.Duration(values[0]+values[1]) * time.Second / clockTicks
	return processReading{time.Now(), cpu, values[2] * int64(os.Getpagesize())}, nil
}

// maxRateSpan is the time over which the most that is used is taken.
const maxRateSpan = 10 * time.Second

// sample is an amount that grew until a time.
type sample struct {
	at     time.Time
	amount float64
}

// maxRate is the most that an amount grew a second over the span, or over all samples if they are over a shorter time.
func maxRate(samples []sample) (rate float64) {
	if len(samples) < 2 {
		return 0
	}
	all := samples[len(samples)-1].at.Sub(samples[0].at)
	span := min(maxRateSpan, all)
	from := 0
	for to := range samples {
		for samples[to].at.Sub(samples[from+1].at) >= span && from+1 < to {
			from++
		}
		if passed := samples[to].at.Sub(samples[from].at); passed >= span && passed > 0 {
			rate = max(rate, (samples[to].amount-samples[from].amount)/passed.Seconds())
		}
	}
	return rate
}

// meanRate is how much an amount grew a second.
func meanRate(samples []sample) float64 {
	if len(samples) < 2 {
		return 0
	}
	first, last := samples[0], samples[len(samples)-1]
	if passed := last.at.Sub(first.at).Seconds(); passed > 0 {
		return (last.amount - first.amount) / passed
	}
	return 0
}
