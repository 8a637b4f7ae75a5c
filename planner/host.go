package planner

// Host carries out the commands of a Planner. The commands (BindProxy, SetWeight, SetAdmission, RequestAck) of all
// events of one event loop iteration are sent as one batch, with one message to each proxy that they affect.
//
// An iteration reads the clock once and passes this time to the planner with each of its events: calls with an equal
// time belong to one batch. If two iterations had the same time, they would share a nonce, and only the first of them
// would request its acknowledgement.
//
// The planner calls Host from its own methods only. A Host may call [Planner.CommandsAccepted] from RequestAck.
type Host interface {
	// BindProxy binds a proxy that joined to a routing table, for all routes.
	BindProxy(proxy, table int)
	// SetWeight sets an endpoint's weight in a table. Weights are relative to each other; 0 removes the entry.
	SetWeight(table int, node uint32, weight float64)
	// SetAdmission sets the admission level of a route for each proxy of a table, and the retry policy. A proxy rejects
	// the requests above the level. Its unit depends on Config.Admission: for AdmissionFraction, the level is the
	// fraction of the proxy's requests that is admitted, 0 to 1; for AdmissionRate, it is the requests a second that
	// are admitted, at least 0, where math.MaxFloat32 means no limit.
	SetAdmission(table int, route RouteID, level float64, retry RetryPolicy)
	// RequestAck asks every proxy that receives a message of this batch to acknowledge the nonce: see
	// Planner.Acknowledged. Nonces count from 1 and wrap at nonceModulo, so that batch 60000 has the nonce 0.
	RequestAck(nonce int)
	// Wake requests a call of Planner.Step at a time in s.
	Wake(at float64)
	// Subscribe requests all further changes of the endpoint list: see Planner.EndpointWatchFailed.
	Subscribe()
	// EndpointHealthChanged notifies the operators that an endpoint was ejected, is on probation, or is healthy again.
	EndpointHealthChanged(node uint32, health Health)
	// ThrottlingChanged notifies the operators that a work budget now limits the admission levels, or that none does any
	// longer.
	ThrottlingChanged(active bool)
}

// AllTables is the table number that addresses every proxy that has joined. The codecs (platform/wire, xds) accept it
// from tests and tools; the planner itself addresses each table by its own number.
const AllTables = 65535
