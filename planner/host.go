package planner

// Host carries out what a Planner decides. The commands (BindProxy, SetWeight, SetAdmission, RequestAck) of all events
// of one iteration leave as one batch, with one message for each proxy concerned. The iteration has one reading of the
// clock, which the planner is passed with each of its events: calls with an equal time count as one batch. Two
// iterations with the same time would share a nonce, which only the first requests. The planner calls Host from its own methods only, and a Host may call
// [Planner.CommandsAccepted] from RequestAck.
type Host interface {
	// BindProxy puts a proxy that joined on a routing table, for all routes.
	BindProxy(proxy, table int)
	// SetWeight sets an endpoint's weight in a table. Weights count beside each other; 0 removes the entry.
	SetWeight(table int, node uint32, weight float64)
	// SetAdmission sets what each proxy of a table admits of a route, and when it tries another endpoint by itself. The
	// proxy rejects the requests above the level. The level is in the unit of Config.Admission: a part of its requests,
	// 0 to 1, for AdmissionFraction; requests a second from 0 on for AdmissionRate, where math.MaxFloat32 is no bound.
	SetAdmission(table int, route RouteID, level float64, retry RetryPolicy)
	// RequestAck asks every proxy that this batch reaches to acknowledge the nonce: see Planner.Acknowledged. Nonces
	// count from 1 and wrap at nonceModulo, so that batch 60000 has the nonce 0.
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

// AllTables is the table number that stands for every proxy that has joined. The codecs (platform/wire, xds) take it
// from tests and tools; the planner itself names each table.
const AllTables = 65535
