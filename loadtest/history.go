package loadtest

import "time"

// history holds the events that one controller reported.
type history struct {
	isProgram         bool        // the controller is harehook-xds, which reports no events
	incarnationStarts []time.Time // by incarnation; incarnations are numbered from 1
	joined            []time.Time // times of the first answer on a new stream
	member            string      // address of the member that most recently answered on a new stream
	accepted          []acceptance
	final             *acceptance // final state; nil if the controller did not report it
	windows           []faultWindow
}

// acceptance is the acceptance of a revision by a controller.
type acceptance struct {
	at          time.Time
	incarnation int
	revision    uint64
	digest      Digest
	outside     int // number of its records outside the controller's scope
}

// recordEvent adds an event that the controller reported.
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

// acceptedRevision returns the revision that the current incarnation last accepted, or 0 if there is none.
func (h *history) acceptedRevision() uint64 {
	if len(h.accepted) == 0 {
		return 0
	}
	last := h.accepted[len(h.accepted)-1]
	if last.incarnation < len(h.incarnationStarts) {
		return 0
	}
	return last.revision
}

// acceptTimes returns, for each change, when the controller first accepted its revision or a later one, or the zero
// time if it never did. Changes must be in the order of their revisions.
func (h *history) acceptTimes(changes []change) []time.Time {
	acceptTimes := make([]time.Time, len(changes))
	next := 0 // the first acceptance that may include the change
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

// inStepAt returns when an incarnation first accepted a revision or a later one, or the zero time if it never did.
func (h *history) inStepAt(incarnation int, revision uint64) time.Time {
	for _, accepted := range h.accepted {
		if accepted.incarnation == incarnation && accepted.revision >= revision {
			return accepted.at
		}
	}
	return time.Time{}
}
