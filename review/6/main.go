// Command 6 plays case 6 of the review: a zone of a deployment with a class that is kept to its zone is lost and returns
// cold. The controller then sends all requests of the zone to the first node that the list shows again.
package main

import (
	"os"

	"harehook.dev/harehook/review/internal/platform"
	"harehook.dev/harehook/review/internal/trial"
)

const (
	recordFrom = platform.LossAt // s
	end        = 42.0            // s
)

func main() { trial.Main(play) }

func play(r *trial.Run) (broken bool, err error) {
	plan := platform.PlanWithHomeOnlyClass()
	p, err := platform.New(r, os.Getenv("TRIAL_RUN"), plan)
	if p != nil {
		defer p.Close()
	}
	if err != nil {
		return false, err
	}
	if r.Trouble {
		go p.Play(plan.LossOfFirstZone())
	}
	if err := p.Serve(end); err != nil {
		return false, err
	}
	p.RecordRequests(plan.Zones[0], recordFrom)
	falls := p.Falls()
	for _, f := range falls {
		r.Note("at %.3f s cold node %s is pushed over, %.1f s after its start: %d requests in %.1f s, %.1f are allowed; %.0f%% of them "+
			"came from proxies whose last message was sent after the controller was told of the start",
			f.At, f.Node, f.Age, f.Sent, f.Window, f.Allowed, 100*f.KnownShare)
	}
	return len(falls) > 0, nil
}
