package configsync

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/internal/goldentest"
	"harehook.dev/harehook/records"
)

// TestGoldenMessages compares the encoding of each kind of message between members and followers with that of commit
// 3968cf4.
func TestGoldenMessages(t *testing.T) {
	route, err := records.New(records.Key{Kind: records.KindRoute, Name: "quote"}, records.RouteSpec{Service: "pay", Prefix: "/quote", TimeLimitMS: 900})
	if err != nil {
		t.Fatal(err)
	}
	route.Revision = 5
	removed := records.Key{Kind: records.KindOverride, Name: "n-1"}
	updates := []struct {
		name   string
		update Update
	}{
		{"full scope", Update{Revision: 7, RoutingRevision: 5, Nonce: "1", FullScope: true, Records: []*records.Record{route}}},
		{"changes", Update{Revision: 8, RoutingRevision: 5, Nonce: "2", Records: []*records.Record{route}, Removed: []records.Key{removed}}},
		{"revision alone", Update{Revision: 9, RoutingRevision: 5, Nonce: "3"}},
		{"heartbeat", Update{Revision: 9}},
	}
	var output strings.Builder
	write := func(name string, message proto.Message) {
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&output, "%s: %x\n", name, data)
	}
	start := time.Unix(1700000000, 0)
	reject := false
	follower := NewFollower("site-17", records.Scope{Services: []string{"pay"}, Zones: []string{"north"}}, 3*time.Second,
		func(uint64, map[records.Key]*records.Record) error {
			if reject {
				return fmt.Errorf("no node for %s", "quote")
			}
			return nil
		})
	write("first request", follower.Begin(start))
	for _, step := range updates {
		response, err := step.update.response()
		if err != nil {
			t.Fatal(err)
		}
		write(step.name, response)
		reply, accepted, err := follower.Receive(response)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&output, "accepted: %t\n", accepted)
		if reply != nil {
			write("reply", reply)
		}
	}
	write("renewal", follower.Renew(start.Add(time.Second)))
	reject = true
	response, err := Update{Revision: 10, RoutingRevision: 5, Nonce: "4", Records: []*records.Record{route}}.response()
	if err != nil {
		t.Fatal(err)
	}
	nack, _, err := follower.Receive(response)
	if err != nil {
		t.Fatal(err)
	}
	write("refusal", nack)
	goldentest.Compare(t, "messages.txt", output.String())
}

// TestGoldenStatus compares the JSON of member statuses and of harehookctl output with that of an earlier release.
func TestGoldenStatus(t *testing.T) {
	goldentest.CompareJSON(t, "status.json", &MemberStatus{}, &Convergence{}, &Counts{})
}
