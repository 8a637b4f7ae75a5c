package loadtest

import (
	"fmt"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"harehook.dev/harehook/configsync"
)

// messageMeter counts the messages that the controllers of a worker receive, by what they are for.
type messageMeter struct {
	mutex    sync.Mutex              // guards all below
	full     *hdrhistogram.Histogram // bytes of messages with a full scope
	change   *hdrhistogram.Histogram // bytes of messages with changed records
	progress *hdrhistogram.Histogram // bytes of messages with a revision alone
	overhead *hdrhistogram.Histogram // bytes for each changed record, without its body

	heartbeats        int64
	changeRecords     int64
	fullScopeRepeated int64 // full scopes after the first update of a stream
	fullScopeAgain    int64 // full scopes to a controller that held something
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

// updateContext is what the receiver of an update was about.
type updateContext struct {
	firstOfStream bool
	hasAccepted   bool // something, since the controller was started
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

// recordFullScope counts a full scope. It is due as the first update of a stream; later it is sent in place of what
// changed, so that all of it is overhead.
func (m *messageMeter) recordFullScope(size int64, context updateContext) {
	m.full.RecordValue(size)
	if context.hasAccepted {
		m.fullScopeAgain++
	}
	if !context.firstOfStream {
		m.fullScopeRepeated++
		m.overhead.RecordValue(size)
	}
}

// recordChange counts changed records, and what the message has beside their bodies.
func (m *messageMeter) recordChange(response *discoveryv3.DeltaDiscoveryResponse, size, records int64) {
	m.change.RecordValue(size)
	m.changeRecords += records
	overhead := size
	for _, resource := range response.GetResources() {
		overhead -= int64(bodyBytes(resource))
	}
	m.overhead.RecordValue(max(1, overhead/records))
}

// bodyBytes is the length of the record that a resource carries.
func bodyBytes(resource *discoveryv3.Resource) int {
	var body wrapperspb.BytesValue
	if resource.GetResource().UnmarshalTo(&body) != nil {
		return 0
	}
	return len(body.GetValue())
}

// encodedHistogram is a histogram with its place in a messageReport.
type encodedHistogram struct {
	histogram *hdrhistogram.Histogram
	encoded   *[]byte
}

// encodedHistograms pairs the meter's histograms with their places in a report.
func (m *messageMeter) encodedHistograms(report *messageReport) []encodedHistogram {
	return []encodedHistogram{
		{m.full, &report.FullScope},
		{m.change, &report.Change},
		{m.progress, &report.Progress},
		{m.overhead, &report.Overhead},
	}
}

// report is what the meter has counted, for another process.
func (m *messageMeter) report() (*messageReport, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	report := &messageReport{
		Heartbeats:        m.heartbeats,
		ChangeRecords:     m.changeRecords,
		FullScopeRepeated: m.fullScopeRepeated,
		FullScopeAgain:    m.fullScopeAgain,
	}
	for _, pair := range m.encodedHistograms(report) {
		encoded, err := pair.histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return nil, fmt.Errorf("encode a histogram of messages: %w", err)
		}
		*pair.encoded = encoded
	}
	return report, nil
}

// add sums what another worker has counted.
func (m *messageMeter) add(report *messageReport) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.heartbeats += report.Heartbeats
	m.changeRecords += report.ChangeRecords
	m.fullScopeRepeated += report.FullScopeRepeated
	m.fullScopeAgain += report.FullScopeAgain
	for _, pair := range m.encodedHistograms(report) {
		decoded, err := hdrhistogram.Decode(*pair.encoded)
		if err != nil {
			return fmt.Errorf("decode a histogram of messages: %w", err)
		}
		pair.histogram.Merge(decoded)
	}
	return nil
}
