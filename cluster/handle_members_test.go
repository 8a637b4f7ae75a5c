package cluster

import "testing"

func TestMembershipSettled(t *testing.T) {
	status := Status{Leader: 1, Voters: []uint64{1, 2, 3}, Learners: []uint64{4}}
	joint := status
	joint.JointConsensus = true
	cases := map[string]struct {
		status  Status
		request MembershipRequest
		want    bool
	}{
		"nothing requested":                   {status, MembershipRequest{}, true},
		"voters added":                        {status, MembershipRequest{Change: MembershipChange{Add: []uint64{2, 3}}}, true},
		"still a learner":                     {status, MembershipRequest{Change: MembershipChange{Add: []uint64{2, 4}}}, false},
		"learner added":                       {status, MembershipRequest{Change: MembershipChange{Learn: []uint64{4}}}, true},
		"learner not added yet":               {status, MembershipRequest{Change: MembershipChange{Learn: []uint64{4, 5}}}, false},
		"removed":                             {status, MembershipRequest{Change: MembershipChange{Remove: []uint64{5}}}, true},
		"voter not removed yet":               {status, MembershipRequest{Change: MembershipChange{Remove: []uint64{3}}}, false},
		"learner not removed yet":             {status, MembershipRequest{Change: MembershipChange{Remove: []uint64{4}}}, false},
		"joint consensus":                     {joint, MembershipRequest{Change: MembershipChange{Add: []uint64{2}}}, false},
		"leadership transferred":              {status, MembershipRequest{Lead: 1}, true},
		"leadership not transferred yet":      {status, MembershipRequest{Lead: 2}, false},
		"transferred, member not removed yet": {status, MembershipRequest{Lead: 1, Change: MembershipChange{Remove: []uint64{2}}}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := membershipSettled(c.status, c.request); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
