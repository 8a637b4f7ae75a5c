package fleet

import (
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
)

// Release is a rolling deploy. The list changes in pushes: each shows new nodes, which start cold, as many of the oldest
// ones as draining, and those that have drained for long enough as gone.
type Release struct {
	At        float64 // s, of the first push
	Pushes    int     // that start nodes
	Every     float64 // s, between two pushes
	Nodes     int     // of a push
	DrainsFor int     // pushes from a node's drain until its end
}

// Play plays the release.
func (f *Fleet) Play(release Release) {
	for push := range release.Pushes + release.DrainsFor {
		f.Wait(release.At + float64(push)*release.Every)
		f.push(release, push)
	}
}

// Wait waits until a time.
func (f *Fleet) Wait(at float64) {
	time.Sleep(time.Duration((at - f.run.Seconds()) * float64(time.Second)))
}

// push has all lists show what a push of a release changes.
func (f *Fleet) push(release Release, push int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.run.Seconds()
	var changed []fakeplatform.Node
	if push < release.Pushes {
		for range release.Nodes {
			changed = append(changed, f.addNode(now).listed)
		}
		for _, name := range f.names[push*release.Nodes : (push+1)*release.Nodes] {
			changed = append(changed, f.setStatus(name, "terminating"))
			for _, c := range f.controllers {
				c.toldAt[name] = now
			}
		}
	}
	if ended := push - release.DrainsFor; ended >= 0 {
		for _, name := range f.names[ended*release.Nodes : (ended+1)*release.Nodes] {
			changed = append(changed, f.setStatus(name, "terminated"))
			f.nodes[name].gone = true
		}
	}
	for _, c := range f.controllers {
		c.discovery.Set(changed...)
	}
	for _, n := range changed {
		f.run.Note("discovery tells: %s %s", n.Name, n.Status)
	}
}

// setStatus sets the status with which a node is listed.
func (f *Fleet) setStatus(name, status string) fakeplatform.Node {
	f.nodes[name].listed.Status = status
	return f.nodes[name].listed
}
