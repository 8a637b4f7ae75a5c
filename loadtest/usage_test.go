package loadtest

import (
	"os"
	"testing"
	"time"
)

func TestMaxRateIsThatOfTheBusiestSpan(t *testing.T) {
	t.Parallel()
	var samples []sample
	amount := 0.0
	for second := range 61 {
		samples = append(samples, sample{testTime(float64(second)), amount})
		if second >= 30 && second < 40 {
			amount += 5
		} else {
			amount++
		}
	}
	if rate := maxRate(samples); rate < 4.99 || rate > 5.01 {
		t.Errorf("busiest %g a second, want 5", rate)
	}
	if rate := meanRate(samples); rate < 1.66 || rate > 1.67 {
		t.Errorf("mean %g a second, want 100 in 60", rate)
	}
	if rate := maxRate(samples[:6]); rate != 1 {
		t.Errorf("over a shorter time than the span: %g, want 1", rate)
	}
	if maxRate(nil) != 0 || maxRate(samples[:1]) != 0 || meanRate(nil) != 0 {
		t.Error("a rate of no time")
	}
}

func TestProcessorTimeAndMemoryOfThisProcessAreRead(t *testing.T) {
	t.Parallel()
	before, err := readProcess(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if before.resident < 1<<20 {
		t.Errorf("%d bytes resident", before.resident)
	}
	// Processor time passes while this process is at work, however slowly.
	deadline := time.Now().Add(time.Minute)
	for {
		after, err := readProcess(os.Getpid())
		if err != nil {
			t.Fatal(err)
		}
		if after.cpu > before.cpu {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("no processor time passed in a minute")
		}
	}
}
