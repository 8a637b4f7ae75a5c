package xds

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/protobuf/types/known/anypb"
)

const (
	wildcard           = "*"
	maxSubscribedNames = 4096 // names that one subscription may have: more is no sidecar
	maxReasonBytes     = 500  // bytes of a refusal's reason that are kept
)

// Rejection is a version that a sidecar turned down, and what it said of it.
type Rejection struct {
	Version, Reason string
	At              float64
}

// Stream is one aggregated stream of one sidecar. It knows what the sidecar asked for, was sent, holds and refused,
// and gives the next response for each kind. There is at most one response of a kind that is not yet answered, so a
// slow reader has the newest state wait for it and nothing else.
type Stream struct {
	ID    uint64
	Delta bool

	target        *Snapshot
	subscriptions [NumResourceTypes]subscription
	responseCount uint64 // responses so far

	Stale, Rejected, Accepted uint64 // answers to what is no longer out, NACKs, ACKs
}

type subscription struct {
	subscribed         bool // asked for
	firstResponseDue   bool // a first answer is owed, even an empty one
	wildcard           bool
	names              map[string]bool
	unansweredNames    map[string]bool // named and not there: delta says so once
	accepted           ResourceSet     // accepted, or stated when the stream began
	acceptedSequence   uint64          // of the target's kind that is held whole
	statedVersion      string          // the version that the sidecar said it had, if we do not know it
	pending            *pendingResponse
	lastNonce          string               // nonce of the newest response that was sent
	rejections         map[string]Rejection // by name: this version is not sent again
	suspects           map[string]bool      // of a response that was refused whole: sent one by one
	rejectedSetVersion string               // a set that was refused and in which no resource is at fault
}

// pendingResponse is a response that was sent and not answered.
type pendingResponse struct {
	nonce      string
	sentAt     float64
	after      ResourceSet // what is held if it is accepted
	changed    []string
	sequence   uint64 // of the target if it is sent whole, else 0
	setVersion string
}

// NewStream begins one.
func NewStream(id uint64, delta bool) *Stream {
	s := &Stream{ID: id, Delta: delta}
	for k := range s.subscriptions {
		s.subscriptions[k] = subscription{names: map[string]bool{}, unansweredNames: map[string]bool{}, accepted: ResourceSet{}, rejections: map[string]Rejection{},
			suspects: map[string]bool{}}
	}
	return s
}

// SetTarget sets what the sidecar is to hold from now on. Counts of another table's changes say nothing of this one's.
func (s *Stream) SetTarget(target *Snapshot, otherTable bool) {
	s.target = target
	if otherTable {
		for k := range s.subscriptions {
			if s.subscriptions[k].acceptedSequence = 0; s.subscriptions[k].pending != nil {
				s.subscriptions[k].pending.sequence = 0
			}
		}
	}
}

// HandleStateOfTheWorld takes a request of the state of the world variant.
func (s *Stream) HandleStateOfTheWorld(now float64, r *discoveryv3.DiscoveryRequest) error {
	kind, known := ParseTypeURL(r.GetTypeUrl())
	if !known {
		return fmt.Errorf("type %q is not served", truncateReason(r.GetTypeUrl()))
	}
	if len(r.GetResourceNames()) > maxSubscribedNames {
		return fmt.Errorf("%d names, %d at most", len(r.GetResourceNames()), maxSubscribedNames)
	}
	sub := &s.subscriptions[kind]
	first := !sub.subscribed
	if first {
		sub.subscribed, sub.firstResponseDue = true, true
	} else if nonce := r.GetResponseNonce(); nonce != "" && nonce != sub.lastNonce {
		s.Stale++
		return nil // of an answer to what is no longer out nothing counts; one to the newest response follows
	} else if nonce != "" && sub.pending != nil {
		s.handleAnswer(now, sub, nonce, r.GetErrorDetail())
	} // else only what it asks for is other than before
	names := map[string]bool{}
	for _, name := range r.GetResourceNames() {
		names[name] = true
	}
	// No names at first stand for all, and for all still until names come; clusters and listeners only.
	wild := names[wildcard] || len(names) == 0 && (kind == Clusters || kind == Listeners) && (first || sub.wildcard)
	delete(names, wildcard)
	for name := range sub.accepted {
		if !wild && !names[name] {
			sub.drop(name)
		}
	}
	for name := range names {
		if !sub.names[name] && !first && !sub.wildcard {
			sub.drop(name) // asked for anew: sent again
		}
	}
	sub.wildcard, sub.names = wild, names
	if first && r.GetVersionInfo() != "" {
		s.handleStatedVersion(kind, r.GetVersionInfo())
	}
	return nil
}

// handleStatedVersion takes what a sidecar says it has accepted on an earlier stream: a version of a whole set.
func (s *Stream) handleStatedVersion(kind ResourceType, version string) {
	sub := &s.subscriptions[kind]
	if s.target == nil {
		sub.statedVersion = version
		return
	}
	want := s.wanted(kind)
	if want.Version() != version {
		sub.statedVersion = version
		return
	}
	sub.accepted, sub.acceptedSequence, sub.firstResponseDue, sub.statedVersion = want, s.target.sequence[kind], false, ""
}

// HandleDelta takes a request of the delta variant.
func (s *Stream) HandleDelta(now float64, r *discoveryv3.DeltaDiscoveryRequest) error {
	kind, known := ParseTypeURL(r.GetTypeUrl())
	if !known {
		return fmt.Errorf("type %q is not served", truncateReason(r.GetTypeUrl()))
	}
	sub := &s.subscriptions[kind]
	if n := len(sub.names) + len(r.GetResourceNamesSubscribe()) + len(r.GetInitialResourceVersions()); n > maxSubscribedNames {
		return fmt.Errorf("%d names, %d at most", n, maxSubscribedNames)
	}
	first := !sub.subscribed
	if first {
		// A sidecar that states what it holds is owed nothing but what changed.
		sub.subscribed, sub.firstResponseDue = true, len(r.GetInitialResourceVersions()) == 0
		sub.wildcard = len(r.GetResourceNamesSubscribe()) == 0
		for name, version := range r.GetInitialResourceVersions() {
			sub.accepted[name] = &Resource{Type: kind, Name: name, Version: version}
		}
	} else if r.GetResponseNonce() != "" {
		s.handleAnswer(now, sub, r.GetResponseNonce(), r.GetErrorDetail())
	}
	// Subscriptions count even where the answer came late.
	for _, name := range r.GetResourceNamesSubscribe() {
		if name == wildcard {
			sub.wildcard = true
			continue
		}
		if !first {
			sub.drop(name) // asked for, so sent, whatever it has
		}
		sub.names[name], sub.unansweredNames[name] = true, true
	}
	for _, name := range r.GetResourceNamesUnsubscribe() {
		if name == wildcard {
			sub.wildcard = false
			for held := range sub.accepted {
				if !sub.names[held] {
					sub.drop(held)
				}
			}
			continue
		}
		delete(sub.names, name)
		delete(sub.unansweredNames, name)
		if !sub.wildcard {
			sub.drop(name)
		}
	}
	return nil
}

// drop says that a sidecar does not hold a resource, also once it has accepted what is out if that does not bring it:
// else it would count as held by an answer to what was sent before it was dropped.
func (sub *subscription) drop(name string) {
	delete(sub.accepted, name)
	if out := sub.pending; out != nil && !slices.Contains(out.changed, name) {
		delete(out.after, name)
	}
}

// handleAnswer takes the answer to a response, if that is the one that is out.
func (s *Stream) handleAnswer(now float64, sub *subscription, nonce string, fault *status.Status) {
	out := sub.pending
	if out == nil || out.nonce != nonce {
		s.Stale++
		return
	}
	sub.pending = nil
	if fault == nil {
		s.Accepted++
		sub.accepted, sub.statedVersion = out.after, ""
		if out.sequence > 0 {
			sub.acceptedSequence = out.sequence
		}
		for _, name := range out.changed {
			delete(sub.suspects, name)
			delete(sub.rejections, name)
		}
		return
	}
	s.Rejected++
	why := truncateReason(fault.GetMessage())
	switch {
	case len(out.changed) > 1:
		// One of them is at fault, and which is not said: each is sent by itself, so that the good ones get through.
		for _, name := range out.changed {
			sub.suspects[name] = true
		}
	case len(out.changed) == 1 && out.after[out.changed[0]] != nil:
		name := out.changed[0]
		delete(sub.suspects, name)
		sub.rejections[name] = Rejection{Version: out.after[name].Version, Reason: why, At: now}
	default:
		sub.rejectedSetVersion = out.setVersion
		sub.rejections[wildcard] = Rejection{Version: out.setVersion, Reason: why, At: now}
	}
}

func truncateReason(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxReasonBytes)], "?")
}

// wanted is what of the target a sidecar asked for.
func (s *Stream) wanted(kind ResourceType) ResourceSet {
	sub, want := &s.subscriptions[kind], ResourceSet{}
	for name, r := range s.target.Sets[kind] {
		if sub.wildcard || sub.names[name] {
			want[name] = r
		}
	}
	return want
}

// nextResources is what a sidecar is to hold next of a kind: the target, but a version that it refused does not come again,
// nor routes to clusters that it does not hold yet, and clusters stay until no route that it holds uses them. It
// tells whether that is all of the target.
func (s *Stream) nextResources(kind ResourceType) (next ResourceSet, whole bool) {
	sub := &s.subscriptions[kind]
	next, whole = s.wanted(kind), true
	for name, r := range next {
		if refused, was := sub.rejections[name]; was && refused.Version == r.Version || !s.dependenciesAccepted(r) {
			whole = false
			if delete(next, name); sub.accepted[name] != nil {
				next[name] = sub.accepted[name]
			}
		}
	}
	for name, r := range next {
		if held := sub.accepted[name]; held != nil && held.Version == r.Version {
			sub.accepted[name] = r // what was only stated so far is known by its version
		}
	}
	if kind == Clusters || kind == Endpoints {
		for name, held := range sub.accepted {
			if next[name] == nil && s.mayUseCluster(name) && (s.Delta || held.Body != nil) {
				next[name] = held
			}
		}
	}
	return next, whole
}

// mayUseCluster tells whether routes that the sidecar holds send to a cluster. Of routes that were only stated that is not
// known: then they may.
func (s *Stream) mayUseCluster(cluster string) bool {
	for _, routes := range s.subscriptions[Routes].accepted {
		if routes.Body == nil || slices.Contains(routes.Clusters, cluster) {
			return true
		}
	}
	return false
}

// dependenciesAccepted tells whether a resource may be sent: routes only once all clusters that they use and the endpoints of these
// are held.
func (s *Stream) dependenciesAccepted(r *Resource) bool {
	for _, name := range r.Clusters {
		for _, kind := range []ResourceType{Clusters, Endpoints} {
			if !s.subscriptions[kind].subscribed || s.subscriptions[kind].accepted[name] == nil {
				return false
			}
		}
	}
	return true
}

// Next gives the responses that are due, in the order in which they are to leave: one of them is not nil, the
// stream's variant. A kind waits while one before it is not settled.
func (s *Stream) Next(now float64) (state []*discoveryv3.DiscoveryResponse, delta []*discoveryv3.DeltaDiscoveryResponse) {
	if s.target == nil {
		return nil, nil
	}
	for kind := range NumResourceTypes {
		sub := &s.subscriptions[kind]
		if !sub.subscribed {
			continue
		}
		if sub.pending != nil {
			break
		}
		if stated := sub.statedVersion; stated != "" {
			s.handleStatedVersion(kind, stated) // said before there was a target
		}
		next, whole := s.nextResources(kind)
		var changed, removed []string
		for _, name := range sortedKeys(next) {
			if sub.accepted[name] == nil || sub.accepted[name].Version != next[name].Version {
				changed = append(changed, name)
			}
		}
		for _, name := range sortedKeys(sub.accepted) {
			if next[name] == nil {
				removed = append(removed, name)
			}
		}
		if at := slices.IndexFunc(changed, func(name string) bool { return sub.suspects[name] }); at >= 0 && len(changed) > 1 {
			// Alone: the others stay as they are held.
			alone := changed[at]
			one := maps.Clone(sub.accepted)
			one[alone] = next[alone]
			next, changed, removed, whole = one, []string{alone}, nil, false
		}
		owed := s.missingNames(sub, next)
		due, set := len(changed)+len(removed)+len(owed) > 0 || sub.firstResponseDue && (sub.wildcard || len(next) > 0), ""
		if due {
			set = next.Version()
		}
		if !due || sub.rejectedSetVersion == set {
			if whole && sub.accepted.Equal(next) {
				sub.acceptedSequence = s.target.sequence[kind]
			}
			continue
		}
		if !s.Delta && len(changed) == 0 && (kind == Endpoints || kind == Routes) && !sub.firstResponseDue {
			// A sidecar that speaks this variant drops these by itself once nothing uses them.
			sub.accepted = next
			continue
		}
		s.responseCount++
		sub.firstResponseDue = false
		sub.lastNonce = fmt.Sprintf("%d-%d-%d", s.ID, kind, s.responseCount)
		sub.pending = &pendingResponse{nonce: sub.lastNonce, sentAt: now, after: next, changed: changed, setVersion: set}
		if whole {
			sub.pending.sequence = s.target.sequence[kind]
		}
		if s.Delta {
			delta = append(delta, s.deltaResponse(kind, sub, append(removed, owed...)))
		} else {
			state = append(state, s.stateOfTheWorldResponse(kind, sub))
		}
		clear(sub.unansweredNames)
		break
	}
	return state, delta
}

// missingNames are names asked for that do not exist: delta tells that once.
func (s *Stream) missingNames(sub *subscription, next ResourceSet) (names []string) {
	if !s.Delta {
		return nil
	}
	for _, name := range sortedKeys(sub.unansweredNames) {
		if next[name] == nil && sub.accepted[name] == nil {
			names = append(names, name)
		}
	}
	return names
}

func (s *Stream) stateOfTheWorldResponse(kind ResourceType, sub *subscription) *discoveryv3.DiscoveryResponse {
	out := &discoveryv3.DiscoveryResponse{TypeUrl: kind.TypeURL(), Nonce: sub.pending.nonce, VersionInfo: sub.pending.setVersion}
	names := sub.pending.changed
	if kind == Clusters || kind == Listeners {
		names = sortedKeys(sub.pending.after) // these are told whole: what is not named is gone
	}
	for _, name := range names {
		if body := sub.pending.after[name].Body; body != nil {
			out.Resources = append(out.Resources, body)
		}
	}
	return out
}

func (s *Stream) deltaResponse(kind ResourceType, sub *subscription, removed []string) *discoveryv3.DeltaDiscoveryResponse {
	out := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: kind.TypeURL(), Nonce: sub.pending.nonce, SystemVersionInfo: sub.pending.setVersion,
		RemovedResources: removed}
	for _, name := range sub.pending.changed {
		r := sub.pending.after[name]
		out.Resources = append(out.Resources, &discoveryv3.Resource{Name: name, Version: r.Version,
			Resource: &anypb.Any{TypeUrl: r.Body.GetTypeUrl(), Value: r.Body.GetValue()}})
	}
	return out
}

// Holds tells whether all of a kind that the target had at some count, or later, is held. One that was not asked for
// yet is not: a stream that has just begun asks for one kind after the other, and its sidecar may hold old ones.
func (s *Stream) Holds(kind ResourceType, seq uint64) bool {
	return s.subscriptions[kind].subscribed && s.subscriptions[kind].acceptedSequence >= seq
}

// ResourceStatus is what one resource is at one sidecar.
type ResourceStatus struct {
	Type           ResourceType
	Name           string
	Accepted       string // the version that it accepted, empty if none
	Target         string // the version that it is to hold, empty if it is to go
	PendingSeconds float64
	Rejection      *Rejection
	Body           *anypb.Any
}

// Resources lists all that a sidecar holds or is to hold.
func (s *Stream) Resources(now float64) (all []ResourceStatus) {
	for kind := range NumResourceTypes {
		sub := &s.subscriptions[kind]
		if !sub.subscribed {
			continue
		}
		want := ResourceSet{}
		if s.target != nil {
			want = s.wanted(kind)
		}
		names := map[string]bool{}
		for name := range want {
			names[name] = true
		}
		for name := range sub.accepted {
			names[name] = true
		}
		for _, name := range sortedKeys(names) {
			st := ResourceStatus{Type: kind, Name: name}
			if r := sub.accepted[name]; r != nil {
				st.Accepted = r.Version
			}
			if r := want[name]; r != nil {
				st.Target, st.Body = r.Version, r.Body
			}
			if sub.pending != nil && slices.Contains(sub.pending.changed, name) {
				st.PendingSeconds = now - sub.pending.sentAt
			}
			if refused, was := sub.rejections[name]; was {
				st.Rejection = &refused
			}
			all = append(all, st)
		}
		if refused, was := sub.rejections[wildcard]; was {
			all = append(all, ResourceStatus{Type: kind, Name: wildcard, Accepted: sub.accepted.Version(), Target: want.Version(), Rejection: &refused})
		}
	}
	return all
}

// ParseNode is the sidecar that a first request names: its id and its zone.
func ParseNode(n *corev3.Node) (id, zone string) { return n.GetId(), n.GetLocality().GetZone() }
