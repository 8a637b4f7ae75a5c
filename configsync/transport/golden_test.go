package transport

import (
	"testing"

	"harehook.dev/harehook/internal/goldentest"
)

// TestGoldenReport compares the JSON of a follower's report and the names of the status services and their method with
// those of commit 3968cf4.
func TestGoldenReport(t *testing.T) {
	goldentest.CompareJSON(t, "report.json", &FollowerReport{})
	goldentest.Compare(t, "services.txt", followersService+"\n"+followerService+"\n"+statusMethod+"\n")
}
