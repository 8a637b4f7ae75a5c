package main

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"harehook.dev/harehook/follow"
)

// What is in order and what is not, and that it is said.
func TestJudgeFollowers(t *testing.T) {
	behind := func(name string, since time.Duration) follow.FollowerForce {
		return follow.FollowerForce{Member: "2", LeaseStatus: follow.LeaseStatus{Name: name, Accepted: 4, Live: true, Behind: since,
			Refused: 5, Reason: "no route"}}
	}
	for name, one := range map[string]struct {
		force follow.Force
		want  string // of the fault, empty: in order
		shown string
	}{
		"in order":    {follow.Force{Known: true, Revision: 5, InForce: 5, Live: 3}, "", "in force everywhere: 5, newest revision: 5, followers: 3 live, 0 behind, 0 stale"},
		"behind":      {follow.Force{Known: true, Revision: 5, InForce: 4, Live: 3, Behind: []follow.FollowerForce{behind("c-1", 6*time.Second)}}, "", "in force everywhere: 4, newest revision: 5, followers: 3 live, 1 behind"},
		"late":        {follow.Force{Known: true, Revision: 5, InForce: 4, Live: 3, Behind: []follow.FollowerForce{behind("c-1", 8*time.Second), behind("c-2", time.Second)}}, "1 followers have been behind for over 7s", "c-1 behind 4 8s 2 5: no route"},
		"stale":       {follow.Force{Known: true, Revision: 5, InForce: 5, Stale: []follow.FollowerForce{behind("c-9", time.Minute)}}, "", "c-9 stale 4 1m0s 2"},
		"no answer":   {follow.Force{Revision: 5, InForce: 5, Doubts: []follow.Doubt{{Member: "3", Reason: follow.DoubtNoAnswer}}}, "member 3 did not answer", "in force everywhere: unknown"},
		"not settled": {follow.Force{Revision: 5, InForce: 5, Doubts: []follow.Doubt{{Member: "1", Reason: follow.DoubtNotSettled}}}, "member 1 has not served for a lease's time", "member 1 has not served"},
	} {
		err := judge(one.force)
		if one.want == "" && err != nil || one.want != "" && (err == nil || !strings.Contains(err.Error(), one.want)) {
			t.Errorf("%s: %v, want %q", name, err, one.want)
		}
		var out bytes.Buffer
		if err := showForce(&out, one.force); err != nil || !strings.Contains(strings.Join(strings.Fields(out.String()), " "), one.shown) {
			t.Errorf("%s: %v, shown:\n%s\nwant %q", name, err, out.String(), one.shown)
		}
	}
}
