package install

import (
	"time"

	"harehook.dev/harehook/brain"
	"harehook.dev/harehook/internal/kdl"
	"harehook.dev/harehook/internal/keys"
	"harehook.dev/harehook/site"
	"harehook.dev/harehook/xds"
)

// What holds where a conductor's configuration states nothing.
const (
	usualTick          = 4 * time.Millisecond   // between two turns of the core at least
	usualPeriod        = 500 * time.Millisecond // of load reports
	usualConnect       = 250 * time.Millisecond
	usualRamp          = 16.0 // seconds
	usualFall          = 4.0  // times
	usualSidecars      = 1024
	usualPace          = 100000.0 // lines a second: streams have no common channel, so only a guard
	usualQueue         = 400000.0 // lines
	usualHead          = 1.0      // lines
	usualMessageSpan   = 10.0     // seconds
	usualAskWithin     = 10.0     // seconds
	usualKind          = "node"
	notSet             = -1 // of a site's utilization and backlog
	millisMost         = 60000
	sidecarsMost       = 65000
	conductorsMost     = 1024
	seedMost           = 1 << 53 // the largest integer that all float64 below hold
	reportLeast        = 10      // ms
	rampMost           = 3600    // seconds
	fallMost           = 1000    // times
	channelMost        = 1e9
	channelMessageMost = 1e6
)

// Conductor is the configuration of a conductor of an installation of its own.
type Conductor struct {
	Name, Listen string
	Seed         uint64
	Sidecars     int // that may join
	Routes       []xds.Route
	Connect      time.Duration
	Report       time.Duration
	Nodes        string // the file that lists the nodes, or none:
	Service      string // the address of the service that does, by xDS,
	Cluster      string // as the endpoints of this cluster
	Keys         keys.Files
	Deployment   site.Deployment
	Zones        map[string]bool
	Kinds        map[string]bool
	Group        *Group // nil: alone
}

// ReadConductor reads a conductor's configuration.
func ReadConductor(path string) (*Conductor, error) {
	c := usualConductor()
	err := read(path, func(r *reader, nodes []*kdl.Node) {
		if top := r.one(nodes, "conductor"); top != nil {
			r.conductor(top, c)
		}
	})
	c.deriveSite()
	return c, err
}

// usualConductor returns a conductor of which nothing is configured.
func usualConductor() *Conductor {
	return &Conductor{
		Sidecars: usualSidecars,
		Connect:  usualConnect,
		Report:   usualPeriod,
		Zones:    map[string]bool{},
		Kinds:    map[string]bool{},
		Deployment: site.Deployment{
			Tick: usualTick.Seconds(),
			Site: brain.Site{
				Conductors:  1,
				Utilization: notSet,
				Backlog:     notSet,
				Levels:      brain.LevelFraction,
				Pace:        usualPace,
				Queue:       usualQueue,
				Head:        usualHead,
				MessageSpan: usualMessageSpan,
				Ramp:        usualRamp,
				FallTimes:   usualFall,
				AskWithin:   usualAskWithin,
			},
		},
	}
}

// deriveSite fills in what the module's settings repeat of the configuration.
func (c *Conductor) deriveSite() {
	s := &c.Deployment.Site
	s.Seed = c.Seed
	s.Zones = len(c.Deployment.Zones)
	s.Kinds = len(c.Deployment.Kinds)
	s.Proxies = c.Sidecars
	s.Period = c.Report.Seconds()
}

// conductor reads the top node of a conductor's configuration.
func (r *reader) conductor(top *kdl.Node, c *Conductor) {
	c.Name = r.onlyText(top)
	d := &c.Deployment
	r.each(top, r.conductorSettings(c), nodeReaders{
		"zone":  func(n *kdl.Node) { r.uniqueName(n, &d.Zones, c.Zones) },
		"kind":  func(n *kdl.Node) { r.uniqueName(n, &d.Kinds, c.Kinds) },
		"route": func(n *kdl.Node) { r.conductorRoute(n, c) },
	})
	r.lacks(top,
		requirement{"listen", c.Listen == ""},
		requirement{"nodes or nodes-from", (c.Nodes == "") == (c.Service == "")},
		requirement{"zone", len(d.Zones) == 0},
		requirement{"route", len(d.Routes) == 0},
	)
	if len(d.Kinds) == 0 {
		d.Kinds = []string{usualKind}
		c.Kinds[usualKind] = true
	}
}

// conductorSettings are the readers of what a conductor's configuration states at most once.
func (r *reader) conductorSettings(c *Conductor) nodeReaders {
	s := &c.Deployment.Site
	return nodeReaders{
		"listen":     func(n *kdl.Node) { r.onlyAddress(n, &c.Listen) },
		"seed":       func(n *kdl.Node) { c.Seed = uint64(r.figure(n, 0, seedMost)) },
		"sidecars":   func(n *kdl.Node) { c.Sidecars = int(r.figure(n, 1, sidecarsMost)) },
		"conductors": func(n *kdl.Node) { s.Conductors = int(r.figure(n, 1, conductorsMost)) },
		"nodes":      func(n *kdl.Node) { c.Nodes = r.file(n) },
		"nodes-from": func(n *kdl.Node) { r.nodeService(n, c) },
		"connect-ms": func(n *kdl.Node) { c.Connect = r.millis(n, 1, millisMost) },
		"report-ms":  func(n *kdl.Node) { c.Report = r.millis(n, reportLeast, millisMost) },
		"ramp-s":     func(n *kdl.Node) { s.Ramp = r.figure(n, 0, rampMost) },
		"fall-times": func(n *kdl.Node) { s.FallTimes = r.figure(n, 1, fallMost) },
		"keys":       func(n *kdl.Node) { r.keys(n, &c.Keys) },
		"group":      func(n *kdl.Node) { c.Group = r.group(n) },
		"channel":    func(n *kdl.Node) { r.channel(n, s) },
	}
}

// uniqueName appends the only argument of a node to names unless it is there already.
func (r *reader) uniqueName(n *kdl.Node, names *[]string, seen map[string]bool) {
	name := r.onlyText(n)
	if seen[name] {
		r.faults.Add(n.Line, "%s %q is there twice", n.Name, name)
		return
	}
	seen[name] = true
	if name != "" {
		*names = append(*names, name)
	}
}

// nodeService reads the address of the service that lists the nodes, and the cluster that they are the endpoints of.
func (r *reader) nodeService(n *kdl.Node, c *Conductor) {
	r.onlyAddress(n, &c.Service, "cluster")
	v, present := n.Props["cluster"]
	if !present {
		r.faults.Add(n.Line, "%q lacks %q", n.Name, "cluster")
		return
	}
	c.Cluster = r.string(n, v)
}

// channel reads the bounds of what a conductor sends.
func (r *reader) channel(n *kdl.Node, s *brain.Site) {
	r.takes(n, 0, "lines-per-s", "queue", "head", "messages", "over-s")
	for _, property := range []struct {
		name string
		into *float64
	}{{"lines-per-s", &s.Pace}, {"queue", &s.Queue}, {"head", &s.Head}, {"over-s", &s.MessageSpan}} {
		if v, present := n.Props[property.name]; present {
			*property.into = r.number(n, v, 0, channelMost)
		}
	}
	if v, present := n.Props["messages"]; present {
		s.Messages = int(r.number(n, v, 0, channelMessageMost))
	}
}
