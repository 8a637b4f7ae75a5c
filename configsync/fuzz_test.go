package configsync

import (
	"testing"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/records"
)

// encodeMessage returns the wire encoding of a message.
func encodeMessage(t testing.TB, message proto.Message) []byte {
	t.Helper()
	data, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// FuzzServerReceive passes arbitrary first and second requests of a stream to a member, which must continue to serve
// other followers.
func FuzzServerReceive(f *testing.F) {
	handshake := encodeMessage(f, Handshake{Name: "f", Scope: serviceScope("s1", "s2"), Revision: 1}.request())
	for _, second := range []*discoveryv3.DeltaDiscoveryRequest{
		{TypeUrl: TypeURL}, {TypeUrl: TypeURL, ResponseNonce: "1"}, {TypeUrl: TypeURL, ResponseNonce: "9"}, {TypeUrl: "other"},
	} {
		f.Add(handshake, encodeMessage(f, second))
	}
	f.Add(encodeMessage(f, Handshake{Name: "victim", Revision: 1<<64 - 1}.request()), []byte{})
	f.Add(encodeMessage(f, Handshake{Name: "", Scope: records.Scope{All: true}}.request()), handshake)
	f.Fuzz(func(t *testing.T, first, second []byte) {
		member := newTestMember(t)
		member.commit(at(0), 1, oneRecord(newRouteRecord(t, "a", "s1", 10)))
		member.commit(at(0), 2, oneRecord(newRouteRecord(t, "b", "s1", 10)))
		bystander := connect(t, member.server, NewFollower("bystander", serviceScope("s1"), testLimits.Lease, nil), at(0))
		stream, err := member.server.Open(at(0))
		if err != nil {
			t.Fatal(err)
		}
		for _, data := range [][]byte{first, second} {
			request := &discoveryv3.DeltaDiscoveryRequest{}
			if proto.Unmarshal(data, request) != nil || member.server.Receive(at(0), stream, request) != nil {
				break
			}
			for range 3 {
				if _, _, err := stream.Send(at(0)); err != nil {
					break
				}
			}
		}
		status := member.server.Status(at(1))
		if status.ConvergedRevision > status.Revision || len(status.Leases) > 2 {
			t.Errorf("got status %+v, want a converged revision of at most %d and at most 2 leases", status, status.Revision)
		}
		member.server.Close(stream)
		if stream.Name() != "bystander" {
			bystander.deliverAll(at(1))
			member.checkFollower(bystander.follower)
		}
	})
}

// FuzzFollowerReceive passes an arbitrary response to a follower. The follower must contain only records of its scope
// with revisions up to its own. If it rejects the response or returns an error, its records must be unchanged.
func FuzzFollowerReceive(f *testing.F) {
	record := withRevision(newRouteRecord(f, "a", "s1", 11), 6)
	for _, update := range []Update{
		{Revision: 6},
		{Revision: 6, Nonce: "2"},
		{Revision: 6, Nonce: "2", Records: oneRecord(record)},
		{Revision: 6, RoutingRevision: 6, Nonce: "2", Records: oneRecord(record)},
		{Revision: 6, RoutingRevision: 7, Nonce: "2"},
		{Revision: 6, Nonce: "2", FullScope: true, Records: oneRecord(record)},
		{Revision: 6, Nonce: "2", Removed: []records.Key{record.Key}},
		{Revision: 6, Nonce: "2", Records: oneRecord(record), Removed: []records.Key{record.Key}},
		{Revision: 0, Nonce: "2", FullScope: true},
		{Revision: 5, Nonce: "2", FullScope: true},
		{Revision: 1<<64 - 1, Nonce: "2"},
	} {
		f.Add(encodeMessage(f, encodeUpdate(f, update)))
	}
	f.Add(encodeMessage(f, &discoveryv3.DeltaDiscoveryResponse{TypeUrl: TypeURL, SystemVersionInfo: "6", Nonce: "2",
		Resources: []*discoveryv3.Resource{{Name: fullScopeName}, {Name: fullScopeName}, {Name: "route/"}, {}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		response := &discoveryv3.DeltaDiscoveryResponse{}
		if proto.Unmarshal(data, response) != nil {
			return
		}
		follower := newFollowerWithRecords(t)
		reply, accepted, err := follower.Receive(response)
		if (err != nil || reply.GetErrorDetail() != nil) && (accepted || follower.Revision() != 5 || follower.Records()[routeKey("a")].Revision != 4) {
			t.Errorf("response %s: rejected, but got accepted %v, revision %d with records %v; want revision 5 unchanged",
				protojson.Format(response), accepted, follower.Revision(), follower.Records())
		}
		if accepted != (follower.Revision() > 5) {
			t.Errorf("got accepted %v with revision %d, want accepted only above revision 5", accepted, follower.Revision())
		}
		if follower.RoutingRevision() > follower.Revision() {
			t.Errorf("got routing revision %d, want at most revision %d", follower.RoutingRevision(), follower.Revision())
		}
		for key, record := range follower.Records() {
			if record == nil || record.Key != key || !follower.scope.Contains(record) || record.Revision == 0 || record.Revision > follower.Revision() {
				t.Errorf("key %s: got record %v at revision %d, want one of the key and scope with revision 1 to %d",
					key, record, follower.Revision(), follower.Revision())
			}
		}
	})
}
