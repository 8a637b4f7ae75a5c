package loadtest

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// times is a histogram of durations.
type times struct{ histogram *hdrhistogram.Histogram } // of microseconds

const longestTime = time.Hour

func newTimes() *times {
	return &times{hdrhistogram.New(1, longestTime.Microseconds(), significantDigits)}
}

func (t *times) record(d time.Duration) {
	t.histogram.RecordValue(min(max(d.Microseconds(), 1), longestTime.Microseconds()))
}

// Times is a distribution of durations as it is told.
type Times struct {
	Count    int64   `json:"count"`
	MedianMS float64 `json:"median_ms"`
	P90MS    float64 `json:"nine_in_ten_ms"`
	P99MS    float64 `json:"p99_ms"`
	WorstMS  float64 `json:"worst_ms"`
}

func (t *times) summary() Times {
	at := func(quantile float64) float64 { return float64(t.histogram.ValueAtQuantile(quantile)) / 1000 }
	if t.histogram.TotalCount() == 0 {
		return Times{}
	}
	return Times{t.histogram.TotalCount(), at(50), at(90), at(99), float64(t.histogram.Max()) / 1000}
}

// Bytes is a distribution of sizes as it is told.
type Bytes struct {
	Count  int64 `json:"count"`
	Median int64 `json:"median"`
	P99    int64 `json:"p99"`
	Worst  int64 `json:"worst"`
	Sum    int64 `json:"sum"`
}

func summarizeBytes(h *hdrhistogram.Histogram) Bytes {
	if h.TotalCount() == 0 {
		return Bytes{}
	}
	return Bytes{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max(), int64(h.Mean() * float64(h.TotalCount()))}
}
