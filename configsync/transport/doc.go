// Package transport connects the state machines of package configsync to the network.
//
// A [Service] runs on a member of the group and serves followers on the group's gRPC server. Each stream has three
// goroutines: one receives, one sends, and that of the RPC handler decides what to send. A [Client] runs on a
// controller that is not a member: it follows one member at a time and fails over to another one.
//
// [FetchMemberStatus] and [FetchFollowerReport] let operators query the state of a member and of a follower.
package transport
