package raftlog_test

import (
	"fmt"
	"os"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/raftlog"
)

// A member saves its vote before it sends it, and reads it back after a restart.
func ExampleOpen() {
	folder, err := os.MkdirTemp("", "raftlog")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)

	log, _, err := raftlog.Open(folder)
	if err != nil {
		panic(err)
	}
	vote := &raftpb.HardState{Term: proto.Uint64(2), Vote: proto.Uint64(3), Commit: proto.Uint64(0)}
	if err := log.Save(raftlog.Batch{HardState: vote}); err != nil {
		panic(err) // the vote must not be sent
	}
	if err := log.Close(); err != nil {
		panic(err)
	}

	log, saved, err := raftlog.Open(folder)
	if err != nil {
		panic(err)
	}
	defer log.Close()
	fmt.Printf("voted for member %d in term %d\n", saved.HardState.GetVote(), saved.HardState.GetTerm())
	// Output: voted for member 3 in term 2
}
