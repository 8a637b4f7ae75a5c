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
	defaultTick           = 4 * time.Millisecond   // between two turns of the core at least
	defaultReportPeriod   = 500 * time.Millisecond // of load reports
	defaultConnectTimeout = 250 * time.Millisecond
	defaultRampSeconds    = 16.0
	defaultFallTimes      = 4.0
	defaultSidecars       = 1024
	defaultLinesPerSecond = 100000.0 // streams have no common channel, so only a guard
	defaultQueueLines     = 400000.0
	defaultHeadLines      = 1.0
	// levelsInQueue is how many times the levels of all routes for all sidecars fit into the queue where none is stated.
	// The module fills four fifths of the queue at most and sends a pool all its levels or none.
	levelsInQueue             = 1.5
	defaultMessageSpanSeconds = 10.0
	defaultAskWithinSeconds   = 10.0
	defaultKind               = "node"
	notSet                    = -1 // of a site's utilization and backlog
	maxMilliseconds           = 60000
	maxSidecars               = 65000
	maxConductors             = 1024
	maxSeed                   = 1 << 53 // the largest integer that all float64 below hold
	minReportMilliseconds     = 10
	maxRampSeconds            = 3600
	maxFallTimes              = 1000
	maxChannelValue           = 1e9
	maxChannelMessages        = 1e6
)

// Controller is the configuration of a conductor of an installation of its own.
type Controller struct {
	Name, Listen   string
	Seed           uint64
	Sidecars       int // that may join
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
	Group          *Group  // its part in a group that agrees, and
	Follow         *Follow // its part as a follower of one: at most one of the two; neither: alone

	channelStated bool // the pace or the queue of what is sent to sidecars
}

// ReadController reads a conductor's configuration.
func ReadController(path string) (*Controller, error) {
	c := defaultConductor()
	err := read(path, func(r *reader, nodes []*kdl.Node) {
		if top := r.topNode(nodes, "conductor"); top != nil {
			r.readConductor(top, c)
		}
	})
	c.deriveSite()
	return c, err
}

// defaultConductor returns a conductor of which nothing is configured.
func defaultConductor() *Controller {
	return &Controller{
		Sidecars:       defaultSidecars,
		ConnectTimeout: defaultConnectTimeout,
		ReportInterval: defaultReportPeriod,
		Zones:          map[string]bool{},
		MachineTypes:   map[string]bool{},
		Deployment: settings.Deployment{
			EventInterval: defaultTick.Seconds(),
			Planner: planner.Config{
				Controllers:        1,
				UtilizationIndex:   notSet,
				QueueLengthIndex:   notSet,
				Admission:          planner.AdmissionFraction,
				EntriesPerSecond:   defaultLinesPerSecond,
				MaxInFlightEntries: defaultQueueLines,
				MessageOverhead:    defaultHeadLines,
				MessageWindow:      defaultMessageSpanSeconds,
				SlowStartWindow:    defaultRampSeconds,
				OverloadMultiple:   defaultFallTimes,
				SubscribeTimeout:   defaultAskWithinSeconds,
			},
		},
	}
}

// deriveSite fills in what the module's settings repeat of the configuration.
func (c *Controller) deriveSite() {
	s := &c.Deployment.Planner
	s.Seed = c.Seed
	s.Zones = len(c.Deployment.Zones)
	s.MachineTypes = len(c.Deployment.MachineTypes)
	s.Proxies = c.Sidecars
	s.ReportInterval = c.ReportInterval.Seconds()
	if !c.channelStated {
		widenChannel(s)
	}
}

// widenChannel makes the channel as large as the levels of many routes need. All sidecars may be of one pool, and levels
// that never fit would never be sent. The pace grows with the queue, so that it takes as long to become empty.
func widenChannel(s *planner.Config) {
	levels := float64(s.Proxies) * (s.MessageOverhead + 1 + float64(len(s.Routes)))
	if times := levelsInQueue * levels / s.MaxInFlightEntries; times > 1 {
		s.MaxInFlightEntries *= times
		s.EntriesPerSecond *= times
	}
}

// readConductor reads the top node of a conductor's configuration.
func (r *reader) readConductor(top *kdl.Node, c *Controller) {
	c.Name = r.onlyString(top)
	d := &c.Deployment
	r.readChildren(top, r.conductorSettings(c), nodeReaders{
		"zone":  func(n *kdl.Node) { r.readUniqueName(n, &d.Zones, c.Zones) },
		"kind":  func(n *kdl.Node) { r.readUniqueName(n, &d.MachineTypes, c.MachineTypes) },
		"route": func(n *kdl.Node) { r.readConductorRoute(n, c) },
	})
	r.checkRequired(top,
		requirement{"listen", c.Listen == ""},
		requirement{"nodes or nodes-from", (c.NodesFile == "") == (c.NodeService == "")},
		requirement{"zone", len(d.Zones) == 0},
		requirement{"route", len(d.Routes) == 0},
	)
	r.checkRole(top, c)
	if len(d.MachineTypes) == 0 {
		d.MachineTypes = []string{defaultKind}
		c.MachineTypes[defaultKind] = true
	}
}

// conductorSettings are the readers of what a conductor's configuration states at most once.
func (r *reader) conductorSettings(c *Controller) nodeReaders {
	s := &c.Deployment.Planner
	return nodeReaders{
		"listen":     func(n *kdl.Node) { r.onlyAddress(n, &c.Listen) },
		"seed":       func(n *kdl.Node) { c.Seed = uint64(r.onlyNumber(n, 0, maxSeed)) },
		"sidecars":   func(n *kdl.Node) { c.Sidecars = int(r.onlyNumber(n, 1, maxSidecars)) },
		"conductors": func(n *kdl.Node) { s.Controllers = int(r.onlyNumber(n, 1, maxConductors)) },
		"nodes":      func(n *kdl.Node) { c.NodesFile = r.onlyPath(n) },
		"nodes-from": func(n *kdl.Node) { r.readNodeService(n, c) },
		"connect-ms": func(n *kdl.Node) { c.ConnectTimeout = r.onlyMilliseconds(n, 1, maxMilliseconds) },
		"report-ms":  func(n *kdl.Node) { c.ReportInterval = r.onlyMilliseconds(n, minReportMilliseconds, maxMilliseconds) },
		"ramp-s":     func(n *kdl.Node) { s.SlowStartWindow = r.onlyNumber(n, 0, maxRampSeconds) },
		"fall-times": func(n *kdl.Node) { s.OverloadMultiple = r.onlyNumber(n, 1, maxFallTimes) },
		"keys":       func(n *kdl.Node) { r.readKeyFiles(n, &c.Certificates) },
		"group":      func(n *kdl.Node) { c.Group = r.readGroup(n) },
		"follow":     func(n *kdl.Node) { c.Follow = r.readFollow(n) },
		"channel":    func(n *kdl.Node) { r.readChannel(n, c) },
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
	v, present := n.Props["cluster"]
	if !present {
		r.faults.Add(n.Line, "%q lacks %q", n.Name, "cluster")
		return
	}
	c.Cluster = r.stringValue(n, v)
}

// readChannel reads the bounds of what a conductor sends.
func (r *reader) readChannel(n *kdl.Node, c *Controller) {
	s := &c.Deployment.Planner
	c.channelStated = n.Props["queue"].Line > 0 || n.Props["lines-per-s"].Line > 0
	r.checkShape(n, 0, "lines-per-s", "queue", "head", "messages", "over-s")
	for _, property := range []struct {
		name string
		into *float64
	}{{"lines-per-s", &s.EntriesPerSecond}, {"queue", &s.MaxInFlightEntries}, {"head", &s.MessageOverhead}, {"over-s", &s.MessageWindow}} {
		if v, present := n.Props[property.name]; present {
			*property.into = r.numberValue(n, v, 0, maxChannelValue)
		}
	}
	if v, present := n.Props["messages"]; present {
		s.MaxMessages = int(r.numberValue(n, v, 0, maxChannelMessages))
	}
}
