package loadtest

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/configsync"
)

// messageMeter counts the messages that the conductors of a worker get, by what they are for.
type messageMeter struct {
	mutex                                             sync.Mutex
	whole, change, progress, beside                   *hdrhistogram.Histogram // bytes
	heartbeats, changeRecords, repeatedly, wholeAgain int64
}

const (
	maxMessageBytes = 64 << 20
	figures         = 3 // significant ones that histograms keep
)

func newBytesHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMessageBytes, figures)
}

func newMessageMeter() *messageMeter {
	return &messageMeter{whole: newBytesHistogram(), change: newBytesHistogram(), progress: newBytesHistogram(), beside: newBytesHistogram()}
}

func (m *messageMeter) noteHeartbeat(int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.heartbeats++
}

// note counts an offer. A whole scope is in order as the first offer of a stream; later it is told in place of what
// changed, so that all of it counts as bytes beside the record.
func (m *messageMeter) note(response *discoveryv3.DeltaDiscoveryResponse, wireBytes int, first, holds bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	content := configsync.ContentOf(response)
	bytes := min(int64(wireBytes), maxMessageBytes)
	switch {
	case content.FullScope:
		m.whole.RecordValue(bytes)
		if holds {
			m.wholeAgain++
		}
		if !first {
			m.repeatedly++
			m.beside.RecordValue(bytes)
		}
	case content.Records == 0:
		m.progress.RecordValue(bytes)
	default:
		m.change.RecordValue(bytes)
		m.changeRecords += int64(content.Records)
		for _, resource := range response.GetResources() {
			bytes -= int64(bodyBytes(resource))
		}
		m.beside.RecordValue(max(1, bytes/int64(content.Records)))
	}
}

// messageReport is what a messageMeter has counted, in a form that goes from process to process.
type messageReport struct {
	Whole, Change, Progress, Beside                   []byte // histograms, encoded
	Heartbeats, ChangeRecords, Repeatedly, WholeAgain int64
}

func (m *messageMeter) report() (report *messageReport, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	report = &messageReport{Heartbeats: m.heartbeats, ChangeRecords: m.changeRecords, Repeatedly: m.repeatedly, WholeAgain: m.wholeAgain}
	for _, one := range []struct {
		from *hdrhistogram.Histogram
		to   *[]byte
	}{{m.whole, &report.Whole}, {m.change, &report.Change}, {m.progress, &report.Progress}, {m.beside, &report.Beside}} {
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
	m.repeatedly += report.Repeatedly
	m.wholeAgain += report.WholeAgain
	for _, one := range []struct {
		from []byte
		to   *hdrhistogram.Histogram
	}{{report.Whole, m.whole}, {report.Change, m.change}, {report.Progress, m.progress}, {report.Beside, m.beside}} {
		decoded, err := hdrhistogram.Decode(one.from)
		if err != nil {
			return err
		}
		one.to.Merge(decoded)
	}
	return nil
}
