package main

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"harehook.dev/harehook/configsync"
)

// The command must end with an error that names each late follower and each member without a status. A follower that is
// behind for less than maxBehind, or stale, is only listed in the report.
func TestConvergenceReport(t *testing.T) {
	behind := func(name string, duration time.Duration) configsync.FollowerStatus {
		return configsync.FollowerStatus{Member: "2", LeaseStatus: configsync.LeaseStatus{Name: name, Accepted: 4, Live: true, Behind: duration,
			RejectedRevision: 5, Reason: "no route"}}
	}
	for name, test := range map[string]struct {
		convergence configsync.Convergence
		want        string // part of the error; empty for no error
		report      string
	}{
		"in order":    {configsync.Convergence{Known: true, Revision: 5, ConvergedRevision: 5, Live: 3}, "", "in force everywhere: 5, newest revision: 5, followers: 3 live, 0 behind, 0 stale"},
		"behind":      {configsync.Convergence{Known: true, Revision: 5, ConvergedRevision: 4, Live: 3, Behind: []configsync.FollowerStatus{behind("c-1", 6*time.Second)}}, "", "in force everywhere: 4, newest revision: 5, followers: 3 live, 1 behind"},
		"late":        {configsync.Convergence{Known: true, Revision: 5, ConvergedRevision: 4, Live: 3, Behind: []configsync.FollowerStatus{behind("c-1", 8*time.Second), behind("c-2", time.Second)}}, "1 followers have been behind for more than 7s", "c-1 behind 4 8s 2 5: no route"},
		"stale":       {configsync.Convergence{Known: true, Revision: 5, ConvergedRevision: 5, Stale: []configsync.FollowerStatus{behind("c-9", time.Minute)}}, "", "c-9 stale 4 1m0s 2"},
		"no answer":   {configsync.Convergence{Revision: 5, ConvergedRevision: 5, UnknownMembers: []configsync.UnknownMember{{Member: "3", Reason: configsync.ReasonNoAnswer}}}, "member 3 did not answer", "in force everywhere: unknown"},
		"not settled": {configsync.Convergence{Revision: 5, ConvergedRevision: 5, UnknownMembers: []configsync.UnknownMember{{Member: "1", Reason: configsync.ReasonNotSettled}}}, "member 1 has not served for a lease's time", "member 1 has not served"},
	} {
		err := convergenceFault(test.convergence)
		if test.want == "" && err != nil || test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)) {
			t.Errorf("%s: got error %v, want %q", name, err, test.want)
		}
		var out bytes.Buffer
		if err := showConvergence(&out, test.convergence); err != nil || !strings.Contains(strings.Join(strings.Fields(out.String()), " "), test.report) {
			t.Errorf("%s: error %v, got report:\n%s\nwant %q", name, err, out.String(), test.report)
		}
	}
}
