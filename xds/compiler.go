package xds

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/planner"
)

// Route is the configuration of one route.
type Route struct {
	Name        string
	Prefix      string // of the request path
	Mutating    bool
	TimeLimit   time.Duration
	MaxAdmitted float64 // upper bound of the admitted fraction, set by operators; 0: no bound
}

// Compiler applies the planner's commands to the routing tables and compiles the tables into resources. It is not safe
// for concurrent use.
type Compiler struct {
	routes          []Route
	routingRevision uint64 // of the agreed routes; 0: none have been agreed
	connectTimeout  time.Duration

	addresses      map[string]Address // by node
	zones          map[string]string  // by node
	nodesByAddress map[Address]string

	tables    map[int]*routingTable
	admission map[string]admissionLevel // for all tables, by route
	snapshots map[int]*Snapshot         // the latest snapshot, by table
}

// routingTable is one of the planner's routing tables.
type routingTable struct {
	weights   map[string]float64        // by node
	admission map[string]admissionLevel // for this table only, by route
}

// admissionLevel holds the admitted fraction of a route's requests and the route's retry policy.
type admissionLevel struct {
	fraction float64
	retry    planner.RetryPolicy
}

// NewCompiler returns a compiler for the given routes, without nodes. Sidecars abandon an attempt to connect to a node
// after connectTimeout.
func NewCompiler(routes []Route, connectTimeout time.Duration) *Compiler {
	return &Compiler{
		routes:         routes,
		connectTimeout: connectTimeout,
		addresses:      map[string]Address{},
		zones:          map[string]string{},
		nodesByAddress: map[Address]string{},
		tables:         map[int]*routingTable{},
		admission:      map[string]admissionLevel{},
		snapshots:      map[int]*Snapshot{},
	}
}

// SetAgreedRoutes replaces the routes with those of a routing revision. It may change the snapshots of all tables.
func (c *Compiler) SetAgreedRoutes(routingRevision uint64, routes []Route) {
	c.routes = routes
	c.routingRevision = routingRevision
}

// SetAddress sets the address and zone of a node. They take effect in the snapshots that are built afterwards.
func (c *Compiler) SetAddress(node, zone string, address Address) {
	previous, known := c.addresses[node]
	if known && c.nodesByAddress[previous] == node {
		delete(c.nodesByAddress, previous)
	}
	c.addresses[node] = address
	c.zones[node] = zone
	c.nodesByAddress[address] = node
}

// NodeAt returns the node with the given address.
func (c *Compiler) NodeAt(address Address) (node string, ok bool) {
	node, ok = c.nodesByAddress[address]
	return node, ok
}

// ApplyCommands applies commands to the routing tables and returns the numbers of the tables that may have changed.
func (c *Compiler) ApplyCommands(batch []controller.Command) (changedTables map[int]bool) {
	changedTables = map[int]bool{}
	for _, command := range batch {
		switch command.Kind {
		case controller.SetWeight:
			c.table(command.Table).setWeight(command.Node, command.Value)
			changedTables[command.Table] = true
		case controller.SetAdmission:
			c.setAdmission(command, changedTables)
		case controller.BindProxy:
			c.table(command.Table)
		}
	}
	return changedTables
}

// setWeight sets a node's weight. A weight that is not greater than 0 removes the node.
func (t *routingTable) setWeight(node string, weight float64) {
	if weight <= 0 {
		delete(t.weights, node)
		return
	}
	t.weights[node] = weight
}

// setAdmission sets the admission level of a route for one table or for all tables, and marks the affected tables as
// changed.
func (c *Compiler) setAdmission(command controller.Command, changedTables map[int]bool) {
	level := admissionLevel{fraction: command.Value, retry: command.Retry}
	if command.Table != planner.AllTables {
		c.table(command.Table).admission[command.Route] = level
		changedTables[command.Table] = true
		return
	}
	c.admission[command.Route] = level
	for number := range c.tables {
		changedTables[number] = true
	}
}

// table returns the table with the given number and creates it if it does not exist.
func (c *Compiler) table(number int) *routingTable {
	table := c.tables[number]
	if table == nil {
		table = &routingTable{weights: map[string]float64{}, admission: map[string]admissionLevel{}}
		c.tables[number] = table
	}
	return table
}

// admissionLevel returns the admission level of a route in a table. If a level is set both for the table and for all
// tables, it has the lower of the two fractions and the table's retry policy.
func (c *Compiler) admissionLevel(table *routingTable, route string) admissionLevel {
	common, hasCommon := c.admission[route]
	own, hasOwn := table.admission[route]
	switch {
	case hasCommon && hasOwn:
		return admissionLevel{fraction: min(common.fraction, own.fraction), retry: own.retry}
	case hasCommon:
		return common
	case hasOwn:
		return own
	}
	return admissionLevel{fraction: 1, retry: planner.NoRetry}
}

// Snapshot returns the target snapshot of a table's sidecars. If no resource has changed, it is the same pointer as
// that of the previous call. The error is that of [NewResource].
func (c *Compiler) Snapshot(number int) (*Snapshot, error) {
	table := c.table(number)
	cluster := fmt.Sprint(clusterPrefix, number)
	messages := [NumResourceTypes]namedMessage{
		Clusters:  {name: cluster, message: c.clusterMessage(cluster)},
		Endpoints: {name: cluster, message: c.endpointsMessage(table, cluster)},
		Listeners: {name: ListenerName, message: listenerMessage()},
		Routes:    {name: RoutesName, message: c.routesMessage(table, cluster), clusters: []string{cluster}},
	}
	var sets [NumResourceTypes]ResourceSet
	for t, named := range messages {
		resource, err := NewResource(ResourceType(t), named.name, named.message, named.clusters...)
		if err != nil {
			return nil, err
		}
		sets[t] = ResourceSet{named.name: resource}
	}
	c.snapshots[number] = c.snapshots[number].next(sets)
	return c.snapshots[number], nil
}

// namedMessage is a resource that has no version yet.
type namedMessage struct {
	name     string
	message  proto.Message
	clusters []string // referenced by the message
}
