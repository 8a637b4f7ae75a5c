package cluster

import (
	"context"
	"slices"

	"harehook.dev/harehook/records"
)

const (
	// maxReadTextBytes is the maximum size of the texts in one response to an operator: half of a message.
	maxReadTextBytes = maxCallBytes / 2
	// maxRecordsRead is the maximum number of records in one response. At about 150 bytes each, they fit in a message.
	maxRecordsRead = 300000
)

// handleRead handles an operator's Read call, which returns the version in effect or the history.
func (n *Node) handleRead(ctx context.Context, request ReadRequest) (ReadResponse, error) {
	var current Version
	if request.Linearizable {
		confirmed, err := n.confirmedVersion(ctx)
		if err != nil {
			return ReadResponse{}, err
		}
		current = confirmed
	}
	var retained []Version
	err := n.runOnLoop(ctx, func() {
		if !request.Linearizable {
			current = n.member.State.Latest()
		}
		retained = slices.Clone(n.member.State.Versions)
	})
	if err != nil {
		return ReadResponse{}, err
	}
	response := ReadResponse{Linearizable: request.Linearizable}
	if request.History {
		n.addTexts(retained, request.Texts)
		response.Versions = retained
		return response, nil
	}
	current, err = n.withText(current)
	if err != nil {
		return ReadResponse{}, err
	}
	response.Versions = []Version{current}
	return response, nil
}

// addTexts adds the texts of versions, the newest first, within maxReadTextBytes. If requested is not nil, it adds only
// the texts of the requested versions. A requested version has no text if its text exceeds the remaining space or if
// the changes since that version are no longer retained.
func (n *Node) addTexts(versions []Version, requested []uint64) {
	remainingBytes := maxReadTextBytes
	for i := len(versions) - 1; i >= 0 && remainingBytes > 0; i-- {
		version := &versions[i]
		if requested != nil && !slices.Contains(requested, version.Number) {
			continue
		}
		text, retained := n.member.State.TextOf(version.Number)
		if retained && len(text) <= remainingBytes {
			version.Text = text
			remainingBytes -= len(text)
		}
	}
}

// handleRecords handles an operator's Records call. The read is linearizable.
func (n *Node) handleRecords(ctx context.Context, request RecordsRequest) (RecordsResponse, error) {
	if _, err := n.confirmedVersion(ctx); err != nil {
		return RecordsResponse{}, err
	}
	store := n.member.State.Store()
	if len(request.Keys) > 0 {
		return recordsOfKeys(store, request.Keys), nil
	}
	return recordsOfService(store.OfKinds(request.requestedKinds()...), request.Service), nil
}

// requestedKinds returns the requested kind, or all kinds if none is given.
func (r RecordsRequest) requestedKinds() []records.Kind {
	if r.Kind != 0 {
		return []records.Kind{r.Kind}
	}
	return []records.Kind{records.KindRoute, records.KindService, records.KindTenant, records.KindOverride}
}

// recordsOfKeys returns the existing records with the given keys.
func recordsOfKeys(store *records.Store, keys []records.Key) RecordsResponse {
	var response RecordsResponse
	for _, key := range keys {
		if record := store.Get(key); record != nil {
			response.Records = append(response.Records, readRecord(record))
		}
	}
	response.Revision = store.Revision()
	return response
}

// recordsOfService returns the records of a view that belong to a service. An empty name matches all records.
func recordsOfService(view records.View, service string) RecordsResponse {
	response := RecordsResponse{Revision: view.Revision}
	for _, record := range view.Records {
		if service != "" && record.Service != service {
			continue
		}
		if len(response.Records) == maxRecordsRead {
			response.More = true
			break
		}
		response.Records = append(response.Records, readRecord(record))
	}
	return response
}

func readRecord(record *records.Record) ReadRecord {
	return ReadRecord{Key: record.Key, Revision: record.Revision, Body: record.Body}
}
