package loadtest

import "time"

// history is what one controller reported.
type history struct {
	external          bool        // it is harehook-xds, which reports nothing
	incarnationStarts []time.Time // when each incarnation began; incarnations count from 1
	joined            []time.Time // when a member answered on a new stream
	member            string      // address of the member that answered last
	accepted          []acceptance
	final             *acceptance // what it held at the end; nil if it did not report that
	windows           []faultWindow
}

// acceptance is a revision that a controller held from a time on.
type acceptance struct {
	at          time.Time
	incarnation int
	revision    uint64
	digest      Digest
	outside     int // records held that are not of the controller's scope
}

// recordEvent adds what the controller reported.
func (h *history) recordEvent(e event) {
	at := time.Unix(0, e.At)
	accepted := acceptance{at: at, incarnation: e.Incarnation, revision: e.Revision, digest: e.Digest, outside: e.Outside}
	switch e.Kind {
	case eventStarted:
		h.incarnationStarts = append(h.incarnationStarts, at)
	case eventJoined:
		h.joined = append(h.joined, at)
		h.member = e.Member
	case eventAccepted:
		h.accepted = append(h.accepted, accepted)
	case eventFinal:
		h.final = &accepted
	}
}

// heldRevision is the revision that the present incarnation holds; 0 if it has accepted none.
func (h *history) heldRevision() uint64 {
	if len(h.accepted) == 0 {
		return 0
	}
	last := h.accepted[len(h.accepted)-1]
	if last.incarnation < len(h.incarnationStarts) {
		return 0
	}
	return last.revision
}

// acceptTimes returns, for each change, when the controller first held its revision or a later one; zero if it never did.
// Changes are in the order of their revisions.
func (h *history) acceptTimes(changes []change) []time.Time {
	acceptTimes := make([]time.Time, len(changes))
	next := 0 // the first acceptance that may have the change
	for index, c := range changes {
		for next < len(h.accepted) && h.accepted[next].revision < c.revision {
			next++
		}
		if next == len(h.accepted) {
			break
		}
		acceptTimes[index] = h.accepted[next].at
	}
	return acceptTimes
}

// inStepAt is when an incarnation first held a revision or a later one; zero if it never did.
func (h *history) inStepAt(incarnation int, revision uint64) time.Time {
	for _, accepted := range h.accepted {
		if accepted.incarnation == incarnation && accepted.revision >= revision {
			return accepted.at
		}
	}
	return time.Time{}
}
