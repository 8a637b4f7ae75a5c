package cluster_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/raftlog"
	"harehook.dev/harehook/records"
)

// addService returns a command that creates a service.
func addService(name string) cluster.Command {
	write := records.Write{Key: records.Key{Kind: records.KindService, Name: name}, Body: []byte(`{"zones":["north"]}`)}
	return cluster.Command{Kind: cluster.CommandRecords, Client: "operator", Seq: 1, Writes: []records.Write{write}}
}

// The state depends only on the entries of the log. A command that is in the log twice is executed once.
func ExampleState() {
	state := cluster.NewState(nil)
	entry, err := json.Marshal(addService("pay"))
	if err != nil {
		panic(err)
	}
	for index := range uint64(2) {
		_, result := state.Apply(index+1, 1, entry)
		fmt.Printf("version %d, rejected: %q\n", result.Version, result.Rejected)
	}
	// Output:
	// version 1, rejected: ""
	// version 1, rejected: ""
}

// A member does no I/O. Its caller calls Tick, saves the batches that Advance passes to save, and delivers the messages
// that Advance returns.
func ExampleMember() {
	member, first, err := cluster.Start(1, &raftlog.SavedState{Identity: "disk"}, []uint64{1}, cluster.NewState(nil), cluster.DefaultTiming, 7)
	if err != nil {
		panic(err)
	}
	save := func(raftlog.Batch) error { return nil } // in production: raftlog.Log.Save
	if err := save(first); err != nil {
		panic(err)
	}
	for !member.IsLeader() {
		member.Tick()
		if _, _, _, err := member.Advance(save); err != nil {
			panic(err)
		}
	}
	if err := member.Propose(addService("pay")); err != nil {
		panic(err)
	}
	_, applied, _, err := member.Advance(save)
	if err != nil {
		panic(err)
	}
	fmt.Println(applied[0].Command.Kind, "rejected:", applied[0].Result.Rejected != "")
	fmt.Println(member.State.Store().Count(records.KindService), "service")
	// Output:
	// records rejected: false
	// 1 service
}

// A node runs a member with its clock, storage and connections, here in a group of one.
func ExampleNode() {
	folder, err := os.MkdirTemp("", "cluster")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	disk, saved, err := raftlog.Open(folder)
	if err != nil {
		panic(err)
	}
	defer disk.Close()
	node, err := cluster.NewNode(1, disk, saved, []uint64{1}, nil, cluster.NewState(nil), zap.NewNop())
	if err != nil {
		panic(err)
	}
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	stopped := make(chan error, 1)
	go func() { stopped <- node.Run(ctx) }()

	result, err := node.Propose(ctx, addService("pay"))
	fmt.Println("rejected:", result.Rejected != "", "error:", err)
	fmt.Println("in effect:", node.Records().Revision() == result.Version)
	stop()
	fmt.Println("stopped:", <-stopped)
	// Output:
	// rejected: false error: <nil>
	// in effect: true
	// stopped: <nil>
}
