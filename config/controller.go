package config

import (
	"time"

	"harehook.dev/harehook/internal/certs"
	"harehook.dev/harehook/internal/kdl"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/settings"
	"harehook.dev/harehook/xds"
)

// What holds where a conductor's configuration states nothing.
const (
	defaultEventInterval          = 4 * time.Millisecond   // between two turns of the core at least
	defaultReportInterval         = 500 * time.Millisecond // of load reports
	defaultConnectTimeout         = 250 * time.Millisecond
	defaultSlowStartSeconds       = 16.0
	defaultOverloadMultiple       = 4.0
	defaultMaxSidecars            = 1024
	defaultEntriesPerSecond       = 100000.0 // streams have no common channel, so only a guard
	defaultMaxInFlightEntries     = 400000.0
	defaultMessageOverheadEntries = 1.0
	// inFlightLevelSets is how many times the levels of all routes for all sidecars fit into the queue where none is stated.
	// The module fills four fifths of the queue at most and sends a pool all its levels or none.
	inFlightLevelSets              = 1.5
	defaultMessageWindowSeconds    = 10.0
	defaultSubscribeTimeoutSeconds = 10.0
	defaultMachineType             = "node"
	unsetIndex                     = -1 // of a site's utilization and backlog
	maxMilliseconds                = 60000
	maxSidecars                    = 65000
	maxControllers                 = 1024
	maxSeed                        = 1 << 53 // the largest integer that all float64 below hold
	minReportIntervalMilliseconds  = 10
	maxSlowStartSeconds            = 3600
	maxOverloadMultiple            = 1000
	maxFlowControlValue            = 1e9
	maxFlowControlMessages         = 1e6
)

// Controller is the configuration of a conductor of an installation of its own.
type Controller struct {
	Name, Listen   string
	Seed           uint64
	MaxSidecars    int // that may join
	Routes         []xds.Route
	ConnectTimeout time.Duration
	ReportInterval time.Duration
	NodesFile      string // the file that lists the nodes, or none:
	NodeService    string // the address of the service that does, by xDS,
	Cluster        string // as the endpoints of this cluster
	Certificates   certs.Files
	Deployment     settings.Deployment
	Zones          map[string]bool
	MachineTypes   map[string]bool
	Group          *Group    // its part in a group that agrees, and
	Follower       *Follower // its part as a follower of one: at most one of the two; neither: alone

	flowControlStated bool // the pace or the queue of what is sent to sidecars
}

// ReadController reads a conductor's configuration.
func ReadController(path string) (*Controller, error) {
	c := defaultController()
	err := read(path, func(r *reader, nodes []*kdl.Node) {
		if top := r.topNode(nodes, "conductor"); top != nil {
			r.readController(top, c)
		}
	})
	c.derivePlannerConfig()
	return c, err
}

// defaultController returns a conductor of which nothing is configured.
func defaultController() *Controller {
	return &Controller{
		MaxSidecars:    defaultMaxSidecars,
		ConnectTimeout: defaultConnectTimeout,
		ReportInterval: defaultReportInterval,
		Zones:          map[string]bool{},
		MachineTypes:   map[string]bool{},
		Deployment: settings.Deployment{
			EventInterval: defaultEventInterval.Seconds(),
			Planner: planner.Config{
				Controllers:        1,
				UtilizationIndex:   unsetIndex,
				QueueLengthIndex:   unsetIndex,
				Admission:          planner.AdmissionFraction,
				EntriesPerSecond:   defaultEntriesPerSecond,
				MaxInFlightEntries: defaultMaxInFlightEntries,
				MessageOverhead:    defaultMessageOverheadEntries,
				MessageWindow:      defaultMessageWindowSeconds,
				SlowStartWindow:    defaultSlowStartSeconds,
				OverloadMultiple:   defaultOverloadMultiple,
				SubscribeTimeout:   defaultSubscribeTimeoutSeconds,
			},
		},
	}
}

// derivePlannerConfig fills in what the module's settings repeat of the configuration.
func (c *Controller) derivePlannerConfig() {
	s := &c.Deployment.Planner
	s.Seed = c.Seed
	s.Zones = len(c.Deployment.Zones)
	s.MachineTypes = len(c.Deployment.MachineTypes)
	s.Proxies = c.MaxSidecars
	s.ReportInterval = c.ReportInterval.Seconds()
	if !c.flowControlStated {
		widenFlowControl(s)
	}
}

// widenFlowControl makes the channel as large as the levels of many routes need. All sidecars may be of one pool, and levels
// that never fit would never be sent. The pace grows with the queue, so that it takes as long to become empty.
func widenFlowControl(s *planner.Config) {
	levels := float64(s.Proxies) * (s.MessageOverhead + 1 + float64(len(s.Routes)))
	if times := inFlightLevelSets * levels / s.MaxInFlightEntries; times > 1 {
		s.MaxInFlightEntries *= times
		s.EntriesPerSecond *= times
	}
}

// readController reads the top node of a conductor's configuration.
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
		requirement{"nodes or nodes-from", (c.NodesFile == "") == (c.NodeService == "")},
		requirement{"zone", len(d.Zones) == 0},
		requirement{"route", len(d.Routes) == 0},
	)
	r.checkRole(top, c)
	if len(d.MachineTypes) == 0 {
		d.MachineTypes = []string{defaultMachineType}
		c.MachineTypes[defaultMachineType] = true
	}
}

// controllerReaders are the readers of what a conductor's configuration states at most once.
func (r *reader) controllerReaders(c *Controller) nodeReaders {
	s := &c.Deployment.Planner
	return nodeReaders{
		"listen":     func(n *kdl.Node) { r.onlyAddress(n, &c.Listen) },
		"seed":       func(n *kdl.Node) { c.Seed = uint64(r.onlyNumber(n, 0, maxSeed)) },
		"sidecars":   func(n *kdl.Node) { c.MaxSidecars = int(r.onlyNumber(n, 1, maxSidecars)) },
		"conductors": func(n *kdl.Node) { s.Controllers = int(r.onlyNumber(n, 1, maxControllers)) },
		"nodes":      func(n *kdl.Node) { c.NodesFile = r.onlyPath(n) },
		"nodes-from": func(n *kdl.Node) { r.readNodeService(n, c) },
		"connect-ms": func(n *kdl.Node) { c.ConnectTimeout = r.onlyMilliseconds(n, 1, maxMilliseconds) },
		"report-ms": func(n *kdl.Node) {
			c.ReportInterval = r.onlyMilliseconds(n, minReportIntervalMilliseconds, maxMilliseconds)
		},
		"ramp-s":     func(n *kdl.Node) { s.SlowStartWindow = r.onlyNumber(n, 0, maxSlowStartSeconds) },
		"fall-times": func(n *kdl.Node) { s.OverloadMultiple = r.onlyNumber(n, 1, maxOverloadMultiple) },
		"keys":       func(n *kdl.Node) { r.readCertificateFiles(n, &c.Certificates) },
		"group":      func(n *kdl.Node) { c.Group = r.readGroup(n) },
		"follow":     func(n *kdl.Node) { c.Follower = r.readFollower(n) },
		"channel":    func(n *kdl.Node) { r.readFlowControl(n, c) },
	}
}

// readUniqueName appends the only argument of a node to names unless it is there already.
func (r *reader) readUniqueName(n *kdl.Node, names *[]string, seen map[string]bool) {
	name := r.onlyString(n)
	if seen[name] {
		r.faults.Add(n.Line, "%s %q is there twice", n.Name, name)
		return
	}
	seen[name] = true
	if name != "" {
		*names = append(*names, name)
	}
}

// readNodeService reads the address of the service that lists the nodes, and the cluster that they are the endpoints of.
func (r *reader) readNodeService(n *kdl.Node, c *Controller) {
	r.onlyAddress(n, &c.NodeService, "cluster")
	v, present := n.Properties["cluster"]
	if !present {
		r.faults.Add(n.Line, "%q lacks %q", n.Name, "cluster")
		return
	}
	c.Cluster = r.stringValue(n, v)
}

// readFlowControl reads the bounds of what a conductor sends.
func (r *reader) readFlowControl(n *kdl.Node, c *Controller) {
	s := &c.Deployment.Planner
	c.flowControlStated = n.Properties["queue"].Line > 0 || n.Properties["lines-per-s"].Line > 0
	r.checkShape(n, 0, "lines-per-s", "queue", "head", "messages", "over-s")
	for _, property := range []struct {
		name string
		into *float64
	}{{"lines-per-s", &s.EntriesPerSecond}, {"queue", &s.MaxInFlightEntries}, {"head", &s.MessageOverhead}, {"over-s", &s.MessageWindow}} {
		if v, present := n.Properties[property.name]; present {
			*property.into = r.numberValue(n, v, 0, maxFlowControlValue)
		}
	}
	if v, present := n.Properties["messages"]; present {
		s.MaxMessages = int(r.numberValue(n, v, 0, maxFlowControlMessages))
	}
}
