package loadtest

import (
	"os"
	"testing"
	"time"
)

func TestBusiestSpan(t *testing.T) {
	t.Parallel()
	var samples []sample
	amount := 0.0
	for second := range 61 {
		samples = append(samples, sample{at(float64(second)), amount})
		if second >= 30 && second < 40 {
			amount += 5
		} else {
			amount++
		}
	}
	if rate := busiest(samples); rate < 4.99 || rate > 5.01 {
		t.Errorf("busiest %g a second, want 5", rate)
	}
	if rate := mean(samples); rate < 1.66 || rate > 1.67 {
		t.Errorf("mean %g a second, want 100 in 60", rate)
	}
	if rate := busiest(samples[:6]); rate != 1 {
		t.Errorf("over a shorter time than the span: %g, want 1", rate)
	}
	if busiest(nil) != 0 || busiest(samples[:1]) != 0 || mean(nil) != 0 {
		t.Error("a rate of no time")
	}
}

func TestUsageOfThisProcess(t *testing.T) {
	t.Parallel()
	before, err := readUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if before.resident < 1<<20 {
		t.Errorf("%d bytes resident", before.resident)
	}
	// Processor time passes while this process is at work, however slowly.
	deadline := time.Now().Add(time.Minute)
	for {
		after, err := readUsage(os.Getpid())
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
