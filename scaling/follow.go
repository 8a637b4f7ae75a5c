package scaling

import (
	"fmt"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/records"
)

const (
	followedTenants         = 1400 // tenants of the followed state, which has ten services
	unlimitedFullScopeBytes = 1 << 40
	changedService          = 0 // the service whose tenants change
	otherService            = 1 // a service without changes
)

// changingStore is a member's store in which one tenant changes at a time.
type changingStore struct {
	store   *records.Store
	changes int
}

func newChangingStore() (*changingStore, error) {
	state, err := newRecordState(followedTenants)
	if err != nil {
		return nil, err
	}
	return &changingStore{store: state.replicated.Store()}, nil
}

// change sets another share for a tenant of the changed service.
func (f *changingStore) change() (records.Change, error) {
	f.changes++
	proportions := recordState{services: minServices} // writeTenant uses only the number of services
	share := changeShare + float64(f.changes%shareSteps)*shareStep
	return f.store.Apply(f.store.Revision()+1, records.Transaction{Writes: []records.Write{proportions.writeTenant(changedService, share)}})
}

// scopeOf returns a scope of one service.
func scopeOf(service int) records.Scope {
	return records.Scope{Services: []string{serviceName(service)}, Zones: []string{"zone-0"}}
}

// followedMember is a member with followers, without sockets. Its virtual clock does not advance.
type followedMember struct {
	*changingStore
	server    *configsync.Server
	now       time.Time
	followers []*configsync.Follower
	streams   []*configsync.Stream
	scope     records.Scope
}

// followCost sums the member's cost of changes, and the messages to the followers.
type followCost struct {
	member          meter
	bytes, messages int
}

// newFollowedMember returns a member whose followers all have the same scope and are in step.
func newFollowedMember(followers int, scope records.Scope) (*followedMember, error) {
	source, err := newChangingStore()
	if err != nil {
		return nil, err
	}
	limits := configsync.DefaultLimits
	limits.MaxStreams = followers
	limits.FullScopeBytesPerSecond = unlimitedFullScopeBytes
	limits.FullScopeBurstBytes = unlimitedFullScopeBytes
	member := &followedMember{changingStore: source, now: time.Unix(1e9, 0), scope: scope}
	member.server = configsync.NewServer("member", source.store, limits, member.now)
	for n := range followers {
		member.followers = append(member.followers, configsync.NewFollower(fmt.Sprint("conductor-", n), scope, limits.Lease, nil))
		stream, err := member.server.Open(member.now)
		if err != nil {
			return nil, err
		}
		member.streams = append(member.streams, stream)
		if err := member.server.Receive(member.now, stream, member.followers[n].Begin(member.now)); err != nil {
			return nil, err
		}
	}
	return member, member.settle(&followCost{})
}

// settle delivers responses and the followers' requests until the member has nothing to send.
func (f *followedMember) settle(cost *followCost) error {
	for {
		pending, err := f.send(cost)
		if err != nil || pending == nil {
			return err
		}
		requests := make([]*discoveryv3.DeltaDiscoveryRequest, len(pending))
		for n, response := range pending {
			if response == nil {
				continue
			}
			if requests[n], _, err = f.followers[n].Receive(response); err != nil {
				return err
			}
		}
		if err := f.handleRequests(cost, requests); err != nil {
			return err
		}
	}
}

// send returns the next response for each follower, nil for a follower without one. It returns a nil slice if no
// follower has one.
func (f *followedMember) send(cost *followCost) ([]*discoveryv3.DeltaDiscoveryResponse, error) {
	pending := make([]*discoveryv3.DeltaDiscoveryResponse, len(f.streams))
	isSending := false
	cost.member.start()
	defer cost.member.stop()
	for n, stream := range f.streams {
		response, _, err := stream.Send(f.now)
		if err != nil {
			return nil, err
		}
		if response == nil {
			continue
		}
		body, err := proto.Marshal(response)
		if err != nil {
			return nil, err
		}
		pending[n] = response
		isSending = true
		cost.bytes += len(body)
		cost.messages++
	}
	if !isSending {
		return nil, nil
	}
	return pending, nil
}

// handleRequests passes the followers' requests to the server.
func (f *followedMember) handleRequests(cost *followCost, requests []*discoveryv3.DeltaDiscoveryRequest) error {
	cost.member.start()
	defer cost.member.stop()
	for n, request := range requests {
		if request == nil {
			continue
		}
		if err := f.server.Receive(f.now, f.streams[n], request); err != nil {
			return err
		}
	}
	return nil
}

// commit changes a tenant and delivers the revision until all followers have accepted it.
func (f *followedMember) commit(cost *followCost) error {
	change, err := f.change()
	if err != nil {
		return err
	}
	cost.member.start()
	f.server.Committed(f.now, change.Revision)
	cost.member.stop()
	if err := f.settle(cost); err != nil {
		return err
	}
	for _, follower := range f.followers {
		if follower.Revision() != change.Revision {
			return fmt.Errorf("a follower has revision %d, want %d", follower.Revision(), change.Revision)
		}
	}
	return nil
}

// followSample measures commits at a member whose followers all have the same scope. Values are per follower.
func followSample(followers int, effort Effort, scope records.Scope) (Sample, error) {
	sample := newSample(followers)
	member, err := newFollowedMember(followers, scope)
	if err != nil {
		return sample, err
	}
	return sample, measureFollowedChanges(&sample, member, effort, member.commit)
}

// measureFollowedChanges measures commits at a member. Values are per follower.
func measureFollowedChanges(sample *Sample, member *followedMember, effort Effort, commit func(*followCost) error) error {
	var cost followCost
	commits := 0
	for !effort.isEnough(&cost.member, commits, fullMinOperations) {
		if err := commit(&cost); err != nil {
			return err
		}
		commits++
	}
	notifications := commits * len(member.followers)
	cost.member.recordPerOperation(sample, notifications)
	sample.Values[Wire] = float64(cost.bytes) / float64(notifications)
	sample.Values[Messages] = float64(cost.messages) / float64(notifications)
	return nil
}

func followSlopes() []Slope {
	sizes := []int{20, 60, 200, 600, 2000}
	return []Slope{
		{
			Name:      "follow-change-interested",
			Operation: "one changed tenant, sent to a follower that needs it; member's side, without sockets",
			Size:      "followers, all interested",
			Method:    Isolated,
			Sizes:     sizes,
			Run: func(size int, effort Effort) (Sample, error) {
				return followSample(size, effort, scopeOf(changedService))
			},
		},
		{
			Name:      "follow-change-other",
			Operation: "one changed tenant, to a follower that does not need it; member's side, without sockets",
			Size:      "followers, none interested",
			Method:    Isolated,
			Sizes:     sizes,
			Run: func(size int, effort Effort) (Sample, error) {
				return followSample(size, effort, scopeOf(otherService))
			},
		},
	}
}
