package sidecar

import (
	"sync"
	"sync/atomic"
	"time"

	"harehook.dev/harehook/xds"
)

// LoadRecorder counts attempts and requests since the last load report. Its methods may be called from any goroutine.
type LoadRecorder struct {
	// Requests since the start: answered by a node without a status of 5xx, rejected by admission, and all others but those
	// of methods that are not supported.
	Completed, Rejected, Failed atomic.Uint64
	// Retried counts how often another node was looked for after an attempt without a connection.
	Retried atomic.Uint64

	reportMutex sync.Mutex // guards all below
	report      LoadReport
	startedAt   time.Time // of the report
}

// LoadReport is what came of attempts, and the requests of each route, over an interval.
type LoadReport struct {
	Nodes    map[NodeKey]*NodeLoad
	Routes   map[string]int // requests by route
	Interval time.Duration
}

// NodeKey names a node within a cluster.
type NodeKey struct {
	Cluster, Zone string
	Address       xds.Address
}

// NodeLoad counts the attempts at a node.
type NodeLoad struct {
	Attempts   int           // also failed ones
	Failed     int           // without a response, or with one of status 5xx
	LatencySum time.Duration // of those that did not fail
}

// NewLoadRecorder returns a recorder whose first report begins now.
func NewLoadRecorder(now time.Time) *LoadRecorder {
	return &LoadRecorder{report: newLoadReport(), startedAt: now}
}

func newLoadReport() LoadReport {
	return LoadReport{Nodes: map[NodeKey]*NodeLoad{}, Routes: map[string]int{}}
}

// addAttempt counts an attempt at a node.
func (r *LoadRecorder) addAttempt(key NodeKey, failed bool, latency time.Duration) {
	r.reportMutex.Lock()
	defer r.reportMutex.Unlock()
	node := r.report.Nodes[key]
	if node == nil {
		node = &NodeLoad{}
		r.report.Nodes[key] = node
	}
	node.Attempts++
	if failed {
		node.Failed++
		return
	}
	node.LatencySum += latency
}

// addRequest counts a request of a route.
func (r *LoadRecorder) addRequest(route string) {
	r.reportMutex.Lock()
	defer r.reportMutex.Unlock()
	r.report.Routes[route]++
}

// Take returns the report since the last call, and begins the next one.
func (r *LoadRecorder) Take(now time.Time) LoadReport {
	r.reportMutex.Lock()
	defer r.reportMutex.Unlock()
	taken := r.report
	taken.Interval = now.Sub(r.startedAt)
	r.report = newLoadReport()
	r.startedAt = now
	return taken
}
