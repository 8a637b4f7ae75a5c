package cluster

import (
	"context"
	"slices"

	"harehook.dev/harehook/records"
)

const (
	// maxReadTextBytes bounds the texts in one response to an operator: half of a message.
	maxReadTextBytes = maxCallBytes / 2
	// maxRecordsRead bounds the records in one response, at some 150 bytes each, to a message.
	maxRecordsRead = 300000
)

// handleRead is an operator's reading of the version in effect, or of the history.
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

// addTexts gives versions their texts, the newest first, as long as there is room. If only some are wanted, the others
// get none; a wanted version that lacks its text had no room, or its changes are not retained any more.
func (n *Node) addTexts(versions []Version, wanted []uint64) {
	room := maxReadTextBytes
	for i := len(versions) - 1; i >= 0 && room > 0; i-- {
		version := &versions[i]
		if wanted != nil && !slices.Contains(wanted, version.Number) {
			continue
		}
		text, retained := n.member.State.TextOf(version.Number)
		if retained && len(text) <= room {
			version.Text = text
			room -= len(text)
		}
	}
}

// handleRecords is an operator's reading of records, as of the last change that was agreed on.
func (n *Node) handleRecords(ctx context.Context, request RecordsRequest) (RecordsResponse, error) {
	if _, err := n.confirmedVersion(ctx); err != nil {
		return RecordsResponse{}, err
	}
	store := n.member.State.Store()
	if len(request.Keys) > 0 {
		return recordsOfKeys(store, request.Keys), nil
	}
	return recordsOfService(store.OfKinds(request.wantedKinds()...), request.Service), nil
}

// wantedKinds are the kinds of record that a request is for.
func (r RecordsRequest) wantedKinds() []records.Kind {
	if r.Kind != 0 {
		return []records.Kind{r.Kind}
	}
	return []records.Kind{records.KindRoute, records.KindService, records.KindTenant, records.KindOverride}
}

// recordsOfKeys gives the records of some keys, as far as they exist.
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

// recordsOfService gives the records of a view that belong to a service, or all of them for an empty name.
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
