package sidecar

import (
	"sync"
	"sync/atomic"
	"time"

	"harehook.dev/harehook/xds"
)

// LoadRecorder counts the outcomes of requests since the start, and collects the attempts and requests for the next
// load report. It is safe for concurrent use.
type LoadRecorder struct {
	// Requests since the start. Completed counts the responses of nodes with a status other than 5xx, Rejected the
	// requests rejected by admission, and Failed all others except unsupported ones (CONNECT and Upgrade).
	Completed, Rejected, Failed atomic.Uint64
	// Retried counts the retries after failed connection attempts, including those that find no other node.
	Retried atomic.Uint64

	reportMutex sync.Mutex // guards the fields below
	report      LoadReport
	startedAt   time.Time // start of the report's interval
}

// LoadReport holds the outcomes of attempts by node and the number of requests by route over an interval.
type LoadReport struct {
	Nodes    map[NodeKey]*NodeLoad
	Routes   map[string]int // requests by route
	Interval time.Duration
}

// NodeKey identifies a node within a cluster.
type NodeKey struct {
	Cluster, Zone string
	Address       xds.Address
}

// NodeLoad counts the attempts at a node.
type NodeLoad struct {
	Attempts   int           // includes failed ones
	Failed     int           // without a response, or with a response of status 5xx
	LatencySum time.Duration // of attempts that did not fail
}

// NewLoadRecorder returns a recorder whose first report starts at now.
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

// Take returns the report since the previous call and starts the next one at now.
func (r *LoadRecorder) Take(now time.Time) LoadReport {
	r.reportMutex.Lock()
	defer r.reportMutex.Unlock()
	finished := r.report
	finished.Interval = now.Sub(r.startedAt)
	r.report = newLoadReport()
	r.startedAt = now
	return finished
}
