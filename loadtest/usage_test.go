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
		t.Errorf("got a maximum rate of %g per second, want 5", rate)
	}
	if rate := meanRate(samples); rate < 1.66 || rate > 1.67 {
		t.Errorf("got a mean rate of %g per second, want 100 in 60 s", rate)
	}
	if rate := maxRate(samples[:6]); rate != 1 {
		t.Errorf("got a maximum rate of %g per second over less than the span, want 1", rate)
	}
	if maxRate(nil) != 0 || maxRate(samples[:1]) != 0 || meanRate(nil) != 0 {
		t.Errorf("got rates %g, %g and %g for at most one sample, want 0", maxRate(nil), maxRate(samples[:1]), meanRate(nil))
	}
}

func TestReadProcessReturnsCPUTimeAndMemory(t *testing.T) {
	t.Parallel()
	before, err := readProcess(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if before.resident < 1<<20 {
		t.Errorf("got %d bytes resident, want at least 1 MiB", before.resident)
	}
	// The loop consumes CPU time, even on a busy machine.
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
			t.Fatal("the CPU time has not increased for one minute")
		}
	}
}
