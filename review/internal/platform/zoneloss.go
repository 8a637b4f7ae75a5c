package platform

import (
	"cmp"
	"slices"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
)

// ZoneLoss is the loss of all nodes of a zone, and their return.
type ZoneLoss struct {
	Zone        string
	At, Len     float64 // s
	NoticeAfter float64 // s, from the loss until the list shows it
	// Listed is, for each node of the zone, the time in s from its start until the list shows it.
	Listed []float64
}

// Play plays the loss and the return. The nodes keep their names and come back cold.
func (p *Platform) Play(loss ZoneLoss) {
	var names []string
	p.mutex.Lock()
	for name, n := range p.nodes {
		if n.listed.Zone == loss.Zone {
			names = append(names, name)
		}
	}
	p.mutex.Unlock()
	slices.Sort(names)
	p.sleepUntil(loss.At)
	p.update(names, func(n *node) { n.up = false })
	p.run.Note("zone %s is lost: %v are down", loss.Zone, names)
	p.sleepUntil(loss.At + loss.NoticeAfter)
	p.tell(names, "terminated")
	start := loss.At + loss.Len
	p.sleepUntil(start)
	p.update(names, func(n *node) {
		n.up = true
		n.startedAt = start
		n.waiting = 0
		n.listed.SinceMS = float64(p.run.Time(start).UnixMilli())
	})
	p.run.Note("zone %s is back: %v have started, cold", loss.Zone, names)
	for first := 0; first < len(names); {
		next := first
		for next < len(names) && loss.Listed[next] == loss.Listed[first] {
			next++
		}
		p.sleepUntil(start + loss.Listed[first])
		p.tell(names[first:next], "in_service")
		first = next
	}
}

func (p *Platform) sleepUntil(at float64) {
	time.Sleep(time.Duration((at - p.run.Seconds()) * float64(time.Second)))
}

func (p *Platform) update(names []string, change func(*node)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, name := range names {
		change(p.nodes[name])
	}
}

// tell has discovery tell the controller a status of nodes.
func (p *Platform) tell(names []string, status string) {
	var changed []fakeplatform.Node
	now := p.run.Seconds()
	p.update(names, func(n *node) {
		n.listed.Status = status
		if status == "in_service" {
			n.toldStartAt = now
		}
		changed = append(changed, n.listed)
	})
	p.discovery.Set(changed...)
	p.run.Note("discovery tells: %v %s", names, status)
}

// RecordRequests notes the requests of a zone's proxies from a time on.
func (p *Platform) RecordRequests(zone string, from float64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, r := range p.requests {
		if r.At >= from && r.ProxyZone == zone {
			p.run.Note("at %.3f s proxy %d in %s sends %s to %s in %s; answered: %t", r.At, r.Proxy, zone, r.Class, r.Node, r.NodeZone, r.Answered)
		}
	}
}

// Fall is a cold node that was pushed over.
type Fall struct {
	Node       string
	At         float64 // s
	Age        float64 // s, since its start
	Sent       int     // requests in the window
	Allowed    float64
	KnownShare float64 // of the requests, from proxies whose last message was sent with knowledge of the start
	Window     float64 // s
}

// Falls returns, for each cold node that was pushed over, the window in which it was sent the most beside what is
// allowed. The rule is that of the users' pages: in a window of the stated length, which is longer by 300 ms on
// sockets, more work than the multiple of the node's present capacity; a breach if two thirds of it came from proxies
// with knowledge of the start. For chance, a fifth and two requests are added, and the present capacity is that at the
// end of the window, where it is highest.
func (p *Platform) Falls() (falls []Fall) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	received := map[string][]Request{} // by cold node
	for _, r := range p.requests {
		n := p.nodes[r.Node]
		if n.startedAt > 0 && r.At >= n.startedAt && r.At < n.startedAt+p.plan.RampTime.Seconds() {
			received[r.Node] = append(received[r.Node], r)
		}
	}
	for name, requests := range received {
		if worst, found := p.worstWindow(p.nodes[name], requests); found {
			falls = append(falls, worst)
		}
	}
	slices.SortFunc(falls, func(a, b Fall) int { return cmp.Compare(a.At, b.At) })
	return falls
}

// worstWindow returns the window in which a cold node was pushed over the farthest, if it was.
func (p *Platform) worstWindow(n *node, requests []Request) (worst Fall, found bool) {
	const (
		socketSlack = 0.3 // s
		chance      = 1.2
		chanceCount = 2
		knownShare  = 2.0 / 3
	)
	window := p.plan.FallTime.Seconds() + socketSlack
	first := 0
	for last, r := range requests {
		for requests[first].At <= r.At-window {
			first++
		}
		known := 0
		for _, earlier := range requests[first : last+1] {
			if earlier.Known {
				known++
			}
		}
		candidate := Fall{
			Node: r.Node, At: r.At, Age: r.At - n.startedAt, Window: window,
			Sent:       last - first + 1,
			Allowed:    p.plan.FallMultiple*n.capacity(r.At, p.plan)*window*chance + chanceCount,
			KnownShare: float64(known) / float64(last-first+1),
		}
		pushedOver := float64(candidate.Sent) > candidate.Allowed && candidate.KnownShare >= knownShare
		if pushedOver && float64(candidate.Sent)*worst.Allowed >= float64(worst.Sent)*candidate.Allowed {
			worst = candidate
			found = true
		}
	}
	return worst, found
}
