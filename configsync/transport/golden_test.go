package transport

import (
	"testing"

	"harehook.dev/harehook/internal/goldentest"
)

// TestGoldenReport compares the JSON of what a follower tells of itself, and the names of the calls for it, with those
// of commit 3968cf4.
func TestGoldenReport(t *testing.T) {
	goldentest.CompareJSON(t, "report.json", &FollowerReport{})
	goldentest.Compare(t, "services.txt", followersService+"\n"+followerService+"\n"+statusMethod+"\n")
}
