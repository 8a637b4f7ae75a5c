// Package fleet is a stand-in for the platform around several controllers: for each its relay with the channel to its
// proxies, and its discovery (of internal/fakeplatform); in common the nodes, the proxies and the collectors. It follows
// the users' pages: the protocol and deployment pages, and the simulator's interface for what proxies do with a table.
//
// Requests are events within this process: a proxy picks a line of the tables that it has applied and the request
// arrives at that node. The controllers see none of them, only the collectors' reports.
package fleet
