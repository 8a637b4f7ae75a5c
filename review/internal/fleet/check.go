package fleet

// send is a try of a proxy at a node that drains or is gone, as its controller has been told.
type send struct {
	at         float64
	proxy      int
	controller *controller
	node       string
	joinedAt   float64
	toldAt     float64
	bound      bool // whether a message with a table had reached the proxy since it joined
}

// since returns the time from the later one of the proxy's joining and the list's change.
func (s send) since() float64 { return s.at - max(s.joinedAt, s.toldAt) }

// Late is what was sent to nodes that drain or are gone after the grace.
type Late struct {
	Sends, Proxies, Unbound int     // Unbound: of the sends, by proxies that their controller had not bound yet
	Longest                 float64 // s, from the later one of the proxy's joining and the list's change
}

// allowance is added to the grace: 300 ms, by which limits are longer on sockets, and a further 200 ms of our own, for
// what this stand-in's timers and the list's way to the controller take.
const allowance = 0.5

// LateSends records the tries of joined proxies at nodes that drain or are gone, and returns those that came later
// than the grace after their controller was told so, or after they joined it, if that was later.
func (f *Fleet) LateSends() (late Late) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	proxies := map[int]bool{}
	for _, s := range f.sends {
		f.run.Note("at %.3f s proxy %d tried %s, %.3f s after %s was told that it drains and %.3f s after it joined; bound: %t",
			s.at, s.proxy, s.node, s.at-s.toldAt, s.controller.name, s.at-s.joinedAt, s.bound)
		if s.since() <= f.plan.DrainGrace.Seconds()+allowance {
			continue
		}
		late.Sends++
		late.Longest = max(late.Longest, s.since())
		proxies[s.proxy] = true
		if !s.bound {
			late.Unbound++
		}
	}
	late.Proxies = len(proxies)
	f.run.Note("%d tries reached a node, %d of them failed; %d requests were refused by their proxies", f.tries, f.failed, f.refused)
	return late
}

// NoteBinding records how long the proxies that joined a controller after a time waited for its table.
func (f *Fleet) NoteBinding(after float64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	joined := 0
	waits := 0.0
	longest := 0.0
	for _, p := range f.proxies {
		if p.joinedAt <= after {
			continue
		}
		wait := f.run.Seconds() - p.joinedAt // not bound until now
		if p.boundAt > 0 {
			wait = p.boundAt - p.joinedAt
		}
		joined++
		waits += wait
		longest = max(longest, wait)
	}
	f.run.Note("%d proxies joined another controller; a table of its reached them after %.1f s in the mean, %.1f s at the longest",
		joined, waits/float64(max(joined, 1)), longest)
}
