package loadtest

import (
	"context"
	"testing"
	"time"
)

// A member that is started within a stage of a run, as after it was killed, goes on when that stage is over.
func TestWorkersOutliveTheirStage(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	r := newRun(ctx, smallPlan(), Options{Progress: testLog{t}})
	r.folder = t.TempDir()
	defer r.workers.endAll()
	defer func() { r.group.close() }()
	if err := r.prepare(); err != nil {
		t.Fatal(err)
	}
	stage, endOfStage := context.WithCancel(ctx)
	if err := r.startMembers(stage); err != nil {
		t.Fatal(err)
	}
	endOfStage()
	if err := r.load(ctx); err != nil {
		t.Errorf("after the stage that started the member: %v", err)
	}
}
