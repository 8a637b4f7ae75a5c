package loadtest

import (
	"context"
	"testing"
	"time"
)

// A member is killed and started again while changes are played. A worker that is bound to the context of that stage ends
// with it, and the run waits for a member that is gone. A worker has to live as long as the run.
func TestWorkersOutliveTheStageThatStartsThem(t *testing.T) {
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
