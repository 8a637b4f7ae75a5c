// Package transport connects the state machines of package configsync to the network.
//
// A [Service] runs at a group's member: it serves followers on the group's gRPC server, with one goroutine that receives
// and one that sends per stream, beside the stream's own that decides. A [Client] runs at a controller that is not a
// member: it follows one member at a time and moves to another one where that fails.
//
// [FetchMemberStatus] and [FetchFollowerReport] are the operators' queries to both.
package transport
