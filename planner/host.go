package planner

// Host carries out what a Planner decides. The commands of one event (BindProxy, SetWeight, SetAdmission, RequestAck)
// leave as one batch, with one message for each proxy concerned. The planner calls it from its own methods only, and a
// Host may call [Planner.CommandsAccepted] from RequestAck.
type Host interface {
	// BindProxy puts a proxy that joined on a routing table, for all routes.
	BindProxy(proxy, table int)
	// SetWeight sets an endpoint's weight in a table. Weights count beside each other; 0 removes the entry.
	SetWeight(table int, node uint32, weight float64)
	// SetAdmission sets what the proxies of a table admit of a route, in the unit of Config.Admission, and when they
	// try another endpoint.
	SetAdmission(table int, route RouteID, level float64, retry RetryPolicy)
	// RequestAck asks every proxy that this batch reaches to acknowledge the nonce: see Planner.Acknowledged.
	RequestAck(nonce int)
	// Wake asks for Planner.Step at a time in s.
	Wake(at float64)
	// Subscribe asks for the endpoint list's changes from now on: see Planner.EndpointWatchFailed.
	Subscribe()
	// EndpointHealthChanged notifies the operators of an endpoint that was ejected, is on probation, or is healthy again.
	EndpointHealthChanged(node uint32, health Health)
	// ThrottlingChanged notifies the operators that admission levels are below 1 from now on, or no longer.
	ThrottlingChanged(active bool)
}

// AllTables is the table number that stands for every proxy that has joined. The planner itself names each table.
const AllTables = 65535
