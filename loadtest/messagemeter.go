package loadtest

import (
	"fmt"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"harehook.dev/harehook/configsync"
)

// messageMeter counts the messages that the controllers of a worker receive, by their content.
type messageMeter struct {
	mutex    sync.Mutex              // guards the fields below
	full     *hdrhistogram.Histogram // bytes of messages with a full scope
	change   *hdrhistogram.Histogram // bytes of messages with changed records
	progress *hdrhistogram.Histogram // bytes of messages with a revision alone
	overhead *hdrhistogram.Histogram // bytes per changed record, without its body

	heartbeats      int64
	changeRecords   int64
	fullScopeInStep int64 // full scopes after the first update of a stream, sent to a controller in step
	fullScopeAgain  int64 // full scopes sent to a controller that had already accepted a revision
}

func newMessageMeter() *messageMeter {
	return &messageMeter{
		full:     newSizeHistogram(),
		change:   newSizeHistogram(),
		progress: newSizeHistogram(),
		overhead: newSizeHistogram(),
	}
}

// recordHeartbeat counts a message that only renews the lease.
func (m *messageMeter) recordHeartbeat() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.heartbeats++
}

// updateContext holds the state of the receiver of an update.
type updateContext struct {
	firstOfStream bool
	hasAccepted   bool // the current incarnation has accepted a revision
}

// recordUpdate counts a message with a revision.
func (m *messageMeter) recordUpdate(response *discoveryv3.DeltaDiscoveryResponse, wireBytes int, context updateContext) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	content := configsync.ContentOf(response)
	size := min(int64(wireBytes), maxMessageBytes)
	switch {
	case content.FullScope:
		m.recordFullScope(size, context)
	case content.Records == 0:
		m.progress.RecordValue(size)
	default:
		m.recordChange(response, size, int64(content.Records))
	}
}

// recordFullScope counts a full scope. It is expected only as the first update of a stream. Later it replaces a message
// with changed records, so its whole size counts as overhead.
func (m *messageMeter) recordFullScope(size int64, context updateContext) {
	m.full.RecordValue(size)
	if context.hasAccepted {
		m.fullScopeAgain++
	}
	if !context.firstOfStream {
		m.fullScopeInStep++
		m.overhead.RecordValue(size)
	}
}

// recordChange counts a message with changed records and its overhead, which is its size without the records' bodies.
func (m *messageMeter) recordChange(response *discoveryv3.DeltaDiscoveryResponse, size, records int64) {
	m.change.RecordValue(size)
	m.changeRecords += records
	overhead := size
	for _, resource := range response.GetResources() {
		overhead -= int64(bodyBytes(resource))
	}
	m.overhead.RecordValue(max(1, overhead/records))
}

// bodyBytes returns the length of the record's body in a resource.
func bodyBytes(resource *discoveryv3.Resource) int {
	var body wrapperspb.BytesValue
	if resource.GetResource().UnmarshalTo(&body) != nil {
		return 0
	}
	return len(body.GetValue())
}

// encodedHistogram pairs a histogram with its field in a messageReport.
type encodedHistogram struct {
	histogram *hdrhistogram.Histogram
	encoded   *[]byte
}

// encodedHistograms pairs the meter's histograms with their fields in a report.
func (m *messageMeter) encodedHistograms(report *messageReport) []encodedHistogram {
	return []encodedHistogram{
		{m.full, &report.FullScope},
		{m.change, &report.Change},
		{m.progress, &report.Progress},
		{m.overhead, &report.Overhead},
	}
}

// report returns the meter's counts in the form that is sent to the run.
func (m *messageMeter) report() (*messageReport, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	report := &messageReport{
		Heartbeats:      m.heartbeats,
		ChangeRecords:   m.changeRecords,
		FullScopeInStep: m.fullScopeInStep,
		FullScopeAgain:  m.fullScopeAgain,
	}
	for _, pair := range m.encodedHistograms(report) {
		encoded, err := pair.histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return nil, fmt.Errorf("encode a message histogram: %w", err)
		}
		*pair.encoded = encoded
	}
	return report, nil
}

// add adds the counts of a worker.
func (m *messageMeter) add(report *messageReport) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.heartbeats += report.Heartbeats
	m.changeRecords += report.ChangeRecords
	m.fullScopeInStep += report.FullScopeInStep
	m.fullScopeAgain += report.FullScopeAgain
	for _, pair := range m.encodedHistograms(report) {
		decoded, err := hdrhistogram.Decode(*pair.encoded)
		if err != nil {
			return fmt.Errorf("decode a message histogram: %w", err)
		}
		pair.histogram.Merge(decoded)
	}
	return nil
}
