package config

import (
	"time"

	"harehook.dev/harehook/internal/certs"
	"harehook.dev/harehook/internal/kdl"
	"harehook.dev/harehook/settings"
	"harehook.dev/harehook/xds"
)

// Bounds of the settings.
const (
	maxMilliseconds               = 60000 // of connect-ms and report-ms
	minReportIntervalMilliseconds = 10
	maxSidecars                   = 65000
	maxControllers                = 1024
	maxSeed                       = 1 << 53 // KDL numbers are float64, which represents all integers up to this one
	maxSlowStartSeconds           = 3600
	maxOverloadMultiple           = 1000
)

// Controller holds the configuration of a controller that runs without the platform. At most one of Group and Follower
// is set; with neither of them the controller runs alone.
type Controller struct {
	Name, Listen   string // Listen is the address for sidecars and operators
	Seed           uint64
	MaxSidecars    int // maximum number of sidecars
	Routes         []xds.Route
	ConnectTimeout time.Duration // for connections from sidecars to nodes
	ReportInterval time.Duration // of load reports
	NodesFile      string        // path of the list of nodes; empty if NodeService lists the nodes
	NodeService    string        // address of the xDS service that lists the nodes
	Cluster        string        // the cluster at NodeService whose endpoints are the nodes
	Certificates   certs.Files
	Deployment     settings.Deployment
	Zones          map[string]bool // the zones of Deployment
	MachineTypes   map[string]bool // the machine types of Deployment
	Group          *Group          // settings as a member of a group, or nil
	Follower       *Follower       // settings as a follower of a group, or nil

	flowControlStated bool // the file states the entries a second or the entries in flight
}

// ReadController reads the configuration of a controller. The error is that of reading the file, or wraps a kdl.Faults.
func ReadController(path string) (*Controller, error) {
	c := defaultController()
	err := read(path, func(r *reader, nodes []*kdl.Node) {
		if top := r.topNode(nodes, controllerNode); top != nil {
			r.readController(top, c)
		}
	})
	c.derivePlannerConfig()
	return c, err
}

// readController reads the top node of the configuration of a controller.
func (r *reader) readController(top *kdl.Node, c *Controller) {
	c.Name = r.onlyString(top)
	d := &c.Deployment
	r.readChildren(top, r.controllerReaders(c), nodeReaders{
		"zone":  func(n *kdl.Node) { r.readUniqueName(n, &d.Zones, c.Zones) },
		"kind":  func(n *kdl.Node) { r.readUniqueName(n, &d.MachineTypes, c.MachineTypes) },
		"route": func(n *kdl.Node) { r.readControllerRoute(n, c) },
	})
	r.checkRequired(top,
		requirement{"listen", c.Listen == ""},
		requirement{"exactly one of nodes and nodes-from", (c.NodesFile == "") == (c.NodeService == "")},
		requirement{"zone", len(d.Zones) == 0},
		requirement{"route", len(d.Routes) == 0},
	)
	r.checkRole(top, c)
	if len(d.MachineTypes) == 0 {
		d.MachineTypes = []string{defaultMachineType}
		c.MachineTypes[defaultMachineType] = true
	}
}

// controllerReaders returns the readers of the settings that a controller's configuration states at most once, by KDL
// key.
func (r *reader) controllerReaders(c *Controller) nodeReaders {
	plannerConfig := &c.Deployment.Planner
	return nodeReaders{
		"listen":     func(n *kdl.Node) { r.onlyAddress(n, &c.Listen) },
		"seed":       func(n *kdl.Node) { c.Seed = uint64(r.onlyNumber(n, 0, maxSeed)) },
		"sidecars":   func(n *kdl.Node) { c.MaxSidecars = int(r.onlyNumber(n, 1, maxSidecars)) },
		"conductors": func(n *kdl.Node) { plannerConfig.Controllers = int(r.onlyNumber(n, 1, maxControllers)) },
		"nodes":      func(n *kdl.Node) { c.NodesFile = r.onlyPath(n) },
		"nodes-from": func(n *kdl.Node) { r.readNodeService(n, c) },
		"connect-ms": func(n *kdl.Node) { c.ConnectTimeout = r.onlyMilliseconds(n, 1, maxMilliseconds) },
		"report-ms": func(n *kdl.Node) {
			c.ReportInterval = r.onlyMilliseconds(n, minReportIntervalMilliseconds, maxMilliseconds)
		},
		"ramp-s":     func(n *kdl.Node) { plannerConfig.SlowStartWindow = r.onlyNumber(n, 0, maxSlowStartSeconds) },
		"fall-times": func(n *kdl.Node) { plannerConfig.OverloadMultiple = r.onlyNumber(n, 1, maxOverloadMultiple) },
		"keys":       func(n *kdl.Node) { r.readCertificateFiles(n, &c.Certificates) },
		"group":      func(n *kdl.Node) { c.Group = r.readGroup(n) },
		"follow":     func(n *kdl.Node) { c.Follower = r.readFollower(n) },
		"channel":    func(n *kdl.Node) { r.readFlowControl(n, c) },
	}
}

// readUniqueName appends the only argument of a node to names. A name in seen is a fault.
func (r *reader) readUniqueName(n *kdl.Node, names *[]string, seen map[string]bool) {
	name := r.onlyString(n)
	if seen[name] {
		r.faults.Add(n.Line, "duplicate %s %q", n.Name, name)
		return
	}
	seen[name] = true
	if name != "" {
		*names = append(*names, name)
	}
}

// readNodeService reads the address of the xDS service that lists the nodes, and the cluster whose endpoints they are.
func (r *reader) readNodeService(n *kdl.Node, c *Controller) {
	r.onlyAddress(n, &c.NodeService, "cluster")
	v, present := n.Properties["cluster"]
	if !present {
		r.faults.Add(n.Line, "%q requires %q", n.Name, "cluster")
		return
	}
	c.Cluster = r.stringValue(n, v)
}
