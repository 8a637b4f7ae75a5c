// Command 6 plays case 6 of the review: during a rolling deploy four of five controllers are killed at once. The one
// that is left binds their proxies so slowly that some of them go on sending to nodes that drain after the grace.
package main

import (
	"cmp"
	"os"
	"slices"

	"harehook.dev/harehook/review/internal/fleet"
	"harehook.dev/harehook/review/internal/trial"
)

const (
	calm     = 10.0       // s, in which the controllers learn the load
	killedAt = calm + 4.0 // in the middle of the deploy
	end      = killedAt + 9.2
)

// release replaces ten of 200 nodes each 1.15 s: 97% within 22 s. Up to 30 nodes (15%) drain at a time.
var release = fleet.Release{At: calm, Pushes: 48, Every: 0.45, Nodes: 4, DrainsFor: 7}

func main() { trial.Main(play) }

func play(r *trial.Run) (broken bool, err error) {
	f, err := fleet.New(r, os.Getenv("TRIAL_RUN"), fleet.SmallDay())
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return false, err
	}
	killed := make(chan error, 1)
	start := r.Seconds()
	played := release
	played.At += start
	go f.Play(played)
	go func() { killed <- kill(r, f, start+killedAt) }()
	if err := f.Serve(start + end); err != nil {
		return false, err
	}
	if err := <-killed; err != nil {
		return false, err
	}
	f.NoteBinding(start + killedAt)
	late := f.LateSends()
	r.Note("%d requests of %d proxies, %d of them by proxies that were not bound yet, were sent to a node that drains or is gone after the grace, "+
		"%.2f s after the limit began at the latest", late.Sends, late.Proxies, late.Unbound, late.Longest)
	return late.Sends > 0, nil
}

// kill kills two of three controllers at a time: those with the most proxies.
func kill(r *trial.Run, f *fleet.Fleet, at float64) error {
	f.Wait(at)
	if !r.Trouble {
		return nil
	}
	killed := []int{0, 1, 2}
	slices.SortFunc(killed, func(a, b int) int { return cmp.Compare(f.Joined(b), f.Joined(a)) })
	killed = killed[:2]
	r.Note("controllers %v are killed", killed)
	return f.Kill(killed...)
}
