package loadtest

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/configsync"
)

// messageMeter counts the messages that the controllers of a worker get, by what they are for.
type messageMeter struct {
	mutex                                                        sync.Mutex
	fullScope, change, progress, overhead                        *hdrhistogram.Histogram // bytes
	heartbeats, changeRecords, fullScopeRepeated, fullScopeAgain int64
}

const (
	maxMessageBytes   = 64 << 20
	significantDigits = 3 // significant ones that histograms keep
)

func newBytesHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMessageBytes, significantDigits)
}

func newMessageMeter() *messageMeter {
	return &messageMeter{fullScope: newBytesHistogram(), change: newBytesHistogram(), progress: newBytesHistogram(), overhead: newBytesHistogram()}
}

func (m *messageMeter) recordHeartbeat(int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.heartbeats++
}

// record counts an offer. A whole scope is in order as the first offer of a stream; later it is told in place of what
// changed, so that all of it counts as bytes beside the record.
func (m *messageMeter) record(response *discoveryv3.DeltaDiscoveryResponse, wireBytes int, first, holds bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	content := configsync.ContentOf(response)
	bytes := min(int64(wireBytes), maxMessageBytes)
	switch {
	case content.FullScope:
		m.fullScope.RecordValue(bytes)
		if holds {
			m.fullScopeAgain++
		}
		if !first {
			m.fullScopeRepeated++
			m.overhead.RecordValue(bytes)
		}
	case content.Records == 0:
		m.progress.RecordValue(bytes)
	default:
		m.change.RecordValue(bytes)
		m.changeRecords += int64(content.Records)
		for _, resource := range response.GetResources() {
			bytes -= int64(bodyBytes(resource))
		}
		m.overhead.RecordValue(max(1, bytes/int64(content.Records)))
	}
}

// messageReport is what a messageMeter has counted, in a form that goes from process to process.
type messageReport struct {
	FullScope, Change, Progress, Overhead                        []byte // histograms, encoded
	Heartbeats, ChangeRecords, FullScopeRepeated, FullScopeAgain int64
}

func (m *messageMeter) report() (report *messageReport, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	report = &messageReport{Heartbeats: m.heartbeats, ChangeRecords: m.changeRecords, FullScopeRepeated: m.fullScopeRepeated, FullScopeAgain: m.fullScopeAgain}
	for _, one := range []struct {
		from *hdrhistogram.Histogram
		to   *[]byte
	}{{m.fullScope, &report.FullScope}, {m.change, &report.Change}, {m.progress, &report.Progress}, {m.overhead, &report.Overhead}} {
		if *one.to, err = one.from.Encode(hdrhistogram.V2CompressedEncodingCookieBase); err != nil {
			return nil, err
		}
	}
	return report, nil
}

// add takes in what another worker has counted.
func (m *messageMeter) add(report *messageReport) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.heartbeats += report.Heartbeats
	m.changeRecords += report.ChangeRecords
	m.fullScopeRepeated += report.FullScopeRepeated
	m.fullScopeAgain += report.FullScopeAgain
	for _, one := range []struct {
		from []byte
		to   *hdrhistogram.Histogram
	}{{report.FullScope, m.fullScope}, {report.Change, m.change}, {report.Progress, m.progress}, {report.Overhead, m.overhead}} {
		decoded, err := hdrhistogram.Decode(one.from)
		if err != nil {
			return err
		}
		one.to.Merge(decoded)
	}
	return nil
}
