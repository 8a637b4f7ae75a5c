package main

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/brain"
	"harehook.dev/harehook/conductor"
	"harehook.dev/harehook/front/xds"
	"harehook.dev/harehook/install"
	"harehook.dev/harehook/site"
)

// A list of a service comes while an older one is just being told: the newer one is told last.
func TestListsInOrder(t *testing.T) {
	holds, release := make(chan struct{}), make(chan struct{})
	var told [][]install.Node
	first := true
	w := &watcher{told: &install.Conductor{Deployment: site.Deployment{Kinds: []string{"any"}}}, log: zap.NewNop(),
		listed: []install.Node{{Entry: conductor.Entry{Node: "old"}}}}
	w.out = func(nodes []install.Node) {
		if first {
			first = false
			close(holds)
			<-release
		}
		told = append(told, nodes)
	}
	older, newer := make(chan struct{}), make(chan struct{})
	go func() { defer close(older); w.tell() }()
	<-holds
	go func() {
		defer close(newer)
		w.listedBy("2", []xds.Listed{{Node: xds.Node{Name: "new"}, Condition: brain.Ready}})
	}()
	select {
	case <-newer: // told in the midst of the older one
	case <-time.After(200 * time.Millisecond):
	}
	close(release)
	<-older
	<-newer
	if last := told[len(told)-1]; len(last) != 1 || last[0].Node != "new" {
		t.Errorf("told last: %v", last)
	}
}
