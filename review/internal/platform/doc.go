// Package platform is a stand-in for the platform around one controller: the relay with its proxies and their channel,
// the nodes, the collectors, and discovery (of internal/fakeplatform). It follows the users' pages: the protocol and
// deployment pages, and the simulator's interface for what proxies do with a table.
//
// Requests are events within this process: a proxy picks a line of the table that it has applied and the request
// arrives at that node. The controller sees none of them, only the collectors' reports.
package platform
