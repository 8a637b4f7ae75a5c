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
	wildcard    = "*"
	namesMost   = 4096 // names that one subscription may have: more is no sidecar
	reasonShown = 500  // bytes of a refusal's reason that are kept
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

	target *Snapshot
	subs   [Kinds]subscription
	sent   uint64 // responses so far

	Stale, Rejected, Accepted uint64 // answers to what is no longer out, NACKs, ACKs
}

type subscription struct {
	open     bool // asked for
	first    bool // a first answer is owed, even an empty one
	wild     bool
	names    map[string]bool
	owed     map[string]bool // named and not there: delta says so once
	held     Set             // accepted, or stated when the stream began
	heldSeq  uint64          // of the target's kind that is held whole
	stated   string          // the version that the sidecar said it had, if we do not know it
	out      *offer
	last     string               // nonce of the newest response that was sent
	refused  map[string]Rejection // by name: this version is not sent again
	suspects map[string]bool      // of a response that was refused whole: sent one by one
	shut     string               // a set that was refused and in which no resource is at fault
}

// offer is a response that was sent and not answered.
type offer struct {
	nonce   string
	at      float64
	after   Set // what is held if it is accepted
	changed []string
	seq     uint64 // of the target if it is sent whole, else 0
	set     string
}

// NewStream begins one.
func NewStream(id uint64, delta bool) *Stream {
	s := &Stream{ID: id, Delta: delta}
	for k := range s.subs {
		s.subs[k] = subscription{names: map[string]bool{}, owed: map[string]bool{}, held: Set{}, refused: map[string]Rejection{},
			suspects: map[string]bool{}}
	}
	return s
}

// SetTarget sets what the sidecar is to hold from now on. Counts of another table's changes say nothing of this one's.
func (s *Stream) SetTarget(target *Snapshot, otherTable bool) {
	s.target = target
	if otherTable {
		for k := range s.subs {
			if s.subs[k].heldSeq = 0; s.subs[k].out != nil {
				s.subs[k].out.seq = 0
			}
		}
	}
}

// HandleStateOfTheWorld takes a request of the state of the world variant.
func (s *Stream) HandleStateOfTheWorld(now float64, r *discoveryv3.DiscoveryRequest) error {
	kind, known := KindOf(r.GetTypeUrl())
	if !known {
		return fmt.Errorf("type %q is not served", shorten(r.GetTypeUrl()))
	}
	if len(r.GetResourceNames()) > namesMost {
		return fmt.Errorf("%d names, %d at most", len(r.GetResourceNames()), namesMost)
	}
	sub := &s.subs[kind]
	first := !sub.open
	if first {
		sub.open, sub.first = true, true
	} else if nonce := r.GetResponseNonce(); nonce != "" && nonce != sub.last {
		s.Stale++
		return nil // of an answer to what is no longer out nothing counts; one to the newest response follows
	} else if nonce != "" && sub.out != nil {
		s.answered(now, sub, nonce, r.GetErrorDetail())
	} // else only what it asks for is other than before
	names := map[string]bool{}
	for _, name := range r.GetResourceNames() {
		names[name] = true
	}
	// No names at first stand for all, and for all still until names come; clusters and listeners only.
	wild := names[wildcard] || len(names) == 0 && (kind == Clusters || kind == Listeners) && (first || sub.wild)
	delete(names, wildcard)
	for name := range sub.held {
		if !wild && !names[name] {
			sub.drop(name)
		}
	}
	for name := range names {
		if !sub.names[name] && !first && !sub.wild {
			sub.drop(name) // asked for anew: sent again
		}
	}
	sub.wild, sub.names = wild, names
	if first && r.GetVersionInfo() != "" {
		s.stated(kind, r.GetVersionInfo())
	}
	return nil
}

// stated takes what a sidecar says it has accepted on an earlier stream: a version of a whole set.
func (s *Stream) stated(kind Kind, version string) {
	sub := &s.subs[kind]
	if s.target == nil {
		sub.stated = version
		return
	}
	want := s.wanted(kind)
	if want.Version() != version {
		sub.stated = version
		return
	}
	sub.held, sub.heldSeq, sub.first, sub.stated = want, s.target.seq[kind], false, ""
}

// HandleDelta takes a request of the delta variant.
func (s *Stream) HandleDelta(now float64, r *discoveryv3.DeltaDiscoveryRequest) error {
	kind, known := KindOf(r.GetTypeUrl())
	if !known {
		return fmt.Errorf("type %q is not served", shorten(r.GetTypeUrl()))
	}
	sub := &s.subs[kind]
	if n := len(sub.names) + len(r.GetResourceNamesSubscribe()) + len(r.GetInitialResourceVersions()); n > namesMost {
		return fmt.Errorf("%d names, %d at most", n, namesMost)
	}
	first := !sub.open
	if first {
		// A sidecar that states what it holds is owed nothing but what changed.
		sub.open, sub.first = true, len(r.GetInitialResourceVersions()) == 0
		sub.wild = len(r.GetResourceNamesSubscribe()) == 0
		for name, version := range r.GetInitialResourceVersions() {
			sub.held[name] = &Resource{Kind: kind, Name: name, Version: version}
		}
	} else if r.GetResponseNonce() != "" {
		s.answered(now, sub, r.GetResponseNonce(), r.GetErrorDetail())
	}
	// Subscriptions count even where the answer came late.
	for _, name := range r.GetResourceNamesSubscribe() {
		if name == wildcard {
			sub.wild = true
			continue
		}
		if !first {
			sub.drop(name) // asked for, so sent, whatever it has
		}
		sub.names[name], sub.owed[name] = true, true
	}
	for _, name := range r.GetResourceNamesUnsubscribe() {
		if name == wildcard {
			sub.wild = false
			for held := range sub.held {
				if !sub.names[held] {
					sub.drop(held)
				}
			}
			continue
		}
		delete(sub.names, name)
		delete(sub.owed, name)
		if !sub.wild {
			sub.drop(name)
		}
	}
	return nil
}

// drop says that a sidecar does not hold a resource, also once it has accepted what is out if that does not bring it:
// else it would count as held by an answer to what was sent before it was dropped.
func (sub *subscription) drop(name string) {
	delete(sub.held, name)
	if out := sub.out; out != nil && !slices.Contains(out.changed, name) {
		delete(out.after, name)
	}
}

// answered takes the answer to a response, if that is the one that is out.
func (s *Stream) answered(now float64, sub *subscription, nonce string, fault *status.Status) {
	out := sub.out
	if out == nil || out.nonce != nonce {
		s.Stale++
		return
	}
	sub.out = nil
	if fault == nil {
		s.Accepted++
		sub.held, sub.stated = out.after, ""
		if out.seq > 0 {
			sub.heldSeq = out.seq
		}
		for _, name := range out.changed {
			delete(sub.suspects, name)
			delete(sub.refused, name)
		}
		return
	}
	s.Rejected++
	why := shorten(fault.GetMessage())
	switch {
	case len(out.changed) > 1:
		// One of them is at fault, and which is not said: each is sent by itself, so that the good ones get through.
		for _, name := range out.changed {
			sub.suspects[name] = true
		}
	case len(out.changed) == 1 && out.after[out.changed[0]] != nil:
		name := out.changed[0]
		delete(sub.suspects, name)
		sub.refused[name] = Rejection{Version: out.after[name].Version, Reason: why, At: now}
	default:
		sub.shut = out.set
		sub.refused[wildcard] = Rejection{Version: out.set, Reason: why, At: now}
	}
}

func shorten(text string) string { return strings.ToValidUTF8(text[:min(len(text), reasonShown)], "?") }

// wanted is what of the target a sidecar asked for.
func (s *Stream) wanted(kind Kind) Set {
	sub, want := &s.subs[kind], Set{}
	for name, r := range s.target.Sets[kind] {
		if sub.wild || sub.names[name] {
			want[name] = r
		}
	}
	return want
}

// next is what a sidecar is to hold next of a kind: the target, but a version that it refused does not come again,
// nor routes to clusters that it does not hold yet, and clusters stay until no route that it holds uses them. It
// tells whether that is all of the target.
func (s *Stream) next(kind Kind) (next Set, whole bool) {
	sub := &s.subs[kind]
	next, whole = s.wanted(kind), true
	for name, r := range next {
		if refused, was := sub.refused[name]; was && refused.Version == r.Version || !s.ready(r) {
			whole = false
			if delete(next, name); sub.held[name] != nil {
				next[name] = sub.held[name]
			}
		}
	}
	for name, r := range next {
		if held := sub.held[name]; held != nil && held.Version == r.Version {
			sub.held[name] = r // what was only stated so far is known by its version
		}
	}
	if kind == Clusters || kind == Endpoints {
		for name, held := range sub.held {
			if next[name] == nil && s.used(name) && (s.Delta || held.Body != nil) {
				next[name] = held
			}
		}
	}
	return next, whole
}

// used tells whether routes that the sidecar holds send to a cluster. Of routes that were only stated that is not
// known: then they may.
func (s *Stream) used(cluster string) bool {
	for _, routes := range s.subs[Routes].held {
		if routes.Body == nil || slices.Contains(routes.Uses, cluster) {
			return true
		}
	}
	return false
}

// ready tells whether a resource may be sent: routes only once all clusters that they use and the endpoints of these
// are held.
func (s *Stream) ready(r *Resource) bool {
	for _, name := range r.Uses {
		for _, kind := range []Kind{Clusters, Endpoints} {
			if !s.subs[kind].open || s.subs[kind].held[name] == nil {
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
	for kind := range Kinds {
		sub := &s.subs[kind]
		if !sub.open {
			continue
		}
		if sub.out != nil {
			break
		}
		if stated := sub.stated; stated != "" {
			s.stated(kind, stated) // said before there was a target
		}
		next, whole := s.next(kind)
		var changed, removed []string
		for _, name := range sortedNames(next) {
			if sub.held[name] == nil || sub.held[name].Version != next[name].Version {
				changed = append(changed, name)
			}
		}
		for _, name := range sortedNames(sub.held) {
			if next[name] == nil {
				removed = append(removed, name)
			}
		}
		if at := slices.IndexFunc(changed, func(name string) bool { return sub.suspects[name] }); at >= 0 && len(changed) > 1 {
			// Alone: the others stay as they are held.
			alone := changed[at]
			one := maps.Clone(sub.held)
			one[alone] = next[alone]
			next, changed, removed, whole = one, []string{alone}, nil, false
		}
		owed := s.owed(sub, next)
		due, set := len(changed)+len(removed)+len(owed) > 0 || sub.first && (sub.wild || len(next) > 0), ""
		if due {
			set = next.Version()
		}
		if !due || sub.shut == set {
			if whole && sub.held.Equal(next) {
				sub.heldSeq = s.target.seq[kind]
			}
			continue
		}
		if !s.Delta && len(changed) == 0 && (kind == Endpoints || kind == Routes) && !sub.first {
			// A sidecar that speaks this variant drops these by itself once nothing uses them.
			sub.held = next
			continue
		}
		s.sent++
		sub.first = false
		sub.last = fmt.Sprintf("%d-%d-%d", s.ID, kind, s.sent)
		sub.out = &offer{nonce: sub.last, at: now, after: next, changed: changed, set: set}
		if whole {
			sub.out.seq = s.target.seq[kind]
		}
		if s.Delta {
			delta = append(delta, s.deltaResponse(kind, sub, append(removed, owed...)))
		} else {
			state = append(state, s.stateResponse(kind, sub))
		}
		clear(sub.owed)
		break
	}
	return state, delta
}

// owed are names asked for that do not exist: delta tells that once.
func (s *Stream) owed(sub *subscription, next Set) (names []string) {
	if !s.Delta {
		return nil
	}
	for _, name := range sortedNames(sub.owed) {
		if next[name] == nil && sub.held[name] == nil {
			names = append(names, name)
		}
	}
	return names
}

func (s *Stream) stateResponse(kind Kind, sub *subscription) *discoveryv3.DiscoveryResponse {
	out := &discoveryv3.DiscoveryResponse{TypeUrl: kind.URL(), Nonce: sub.out.nonce, VersionInfo: sub.out.set}
	names := sub.out.changed
	if kind == Clusters || kind == Listeners {
		names = sortedNames(sub.out.after) // these are told whole: what is not named is gone
	}
	for _, name := range names {
		if body := sub.out.after[name].Body; body != nil {
			out.Resources = append(out.Resources, body)
		}
	}
	return out
}

func (s *Stream) deltaResponse(kind Kind, sub *subscription, removed []string) *discoveryv3.DeltaDiscoveryResponse {
	out := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: kind.URL(), Nonce: sub.out.nonce, SystemVersionInfo: sub.out.set,
		RemovedResources: removed}
	for _, name := range sub.out.changed {
		r := sub.out.after[name]
		out.Resources = append(out.Resources, &discoveryv3.Resource{Name: name, Version: r.Version,
			Resource: &anypb.Any{TypeUrl: r.Body.GetTypeUrl(), Value: r.Body.GetValue()}})
	}
	return out
}

// Holds tells whether all of a kind that the target had at some count, or later, is held. One that was not asked for
// yet is not: a stream that has just begun asks for one kind after the other, and its sidecar may hold old ones.
func (s *Stream) Holds(kind Kind, seq uint64) bool {
	return s.subs[kind].open && s.subs[kind].heldSeq >= seq
}

// ResourceStatus is what one resource is at one sidecar.
type ResourceStatus struct {
	Kind           Kind
	Name           string
	Accepted       string // the version that it accepted, empty if none
	Target         string // the version that it is to hold, empty if it is to go
	PendingSeconds float64
	Rejection      *Rejection
	Body           *anypb.Any
}

// Resources lists all that a sidecar holds or is to hold.
func (s *Stream) Resources(now float64) (all []ResourceStatus) {
	for kind := range Kinds {
		sub := &s.subs[kind]
		if !sub.open {
			continue
		}
		want := Set{}
		if s.target != nil {
			want = s.wanted(kind)
		}
		names := map[string]bool{}
		for name := range want {
			names[name] = true
		}
		for name := range sub.held {
			names[name] = true
		}
		for _, name := range sortedNames(names) {
			st := ResourceStatus{Kind: kind, Name: name}
			if r := sub.held[name]; r != nil {
				st.Accepted = r.Version
			}
			if r := want[name]; r != nil {
				st.Target, st.Body = r.Version, r.Body
			}
			if sub.out != nil && slices.Contains(sub.out.changed, name) {
				st.PendingSeconds = now - sub.out.at
			}
			if refused, was := sub.refused[name]; was {
				st.Rejection = &refused
			}
			all = append(all, st)
		}
		if refused, was := sub.refused[wildcard]; was {
			all = append(all, ResourceStatus{Kind: kind, Name: wildcard, Accepted: sub.held.Version(), Target: want.Version(), Rejection: &refused})
		}
	}
	return all
}

// NodeOf is the sidecar that a first request names: its id and its zone.
func NodeOf(n *corev3.Node) (id, zone string) { return n.GetId(), n.GetLocality().GetZone() }
