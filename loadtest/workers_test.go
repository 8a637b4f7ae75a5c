package loadtest

import (
	"context"
	"testing"
	"time"
)

// A member may be killed and restarted while changes are applied. If its worker were bound to the context of that
// stage, it would exit with the stage and the run would wait for a stopped member. A worker must live as long as the
// run.
func TestWorkersOutliveTheStageThatStartsThem(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	r := newRun(ctx, smallPlan(), Options{Progress: testLog{t}})
	r.folder = t.TempDir()
	defer r.workers.stopAll()
	defer func() { r.group.close() }()
	if err := r.prepare(); err != nil {
		t.Fatal(err)
	}
	stageContext, cancelStage := context.WithCancel(ctx)
	if err := r.startMembers(stageContext); err != nil {
		t.Fatal(err)
	}
	cancelStage()
	if err := r.load(ctx); err != nil {
		t.Errorf("load after the stage that started the member: got error %v, want nil", err)
	}
}
