// Package install decodes the KDL configurations of installations other than the platform. Each fault names its line;
// a configuration with a fault is not used.
package install

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"harehook.dev/harehook/brain"
	"harehook.dev/harehook/conductor"
	"harehook.dev/harehook/internal/kdl"
	"harehook.dev/harehook/internal/keys"
	"harehook.dev/harehook/site"
	"harehook.dev/harehook/xds"
)

// What holds where a configuration states nothing.
const (
	usualTick     = 4 * time.Millisecond
	usualPeriod   = 500 * time.Millisecond
	usualConnect  = 250 * time.Millisecond
	usualRamp     = 16.0
	usualFall     = 4.0
	usualSidecars = 1024
	usualPace     = 100000.0 // lines a second: streams have no common channel, so only a guard
	usualQueue    = 400000.0
	usualCalls    = 256
	// levelsInQueue is how many times the levels of all routes for all sidecars fit into the queue where none is stated.
	// The module fills four fifths of the queue at most and tells a pool all its levels or none.
	levelsInQueue = 1.5
	namesMost     = 200 // bytes of a name
)

// Conductor is a conductor of an installation of its own.
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

// Group is a conductor's part among conductors that agree.
type Group struct {
	ID        uint64
	Listen    string
	Data      string            // folder of the log
	Addresses map[uint64]string // of the members
	Voters    []uint64          // that begin the group; none at one that is added later
	Later     bool
}

// Sidecar is one sidecar.
type Sidecar struct {
	Name, Zone, Listen string
	Conductors         []string
	Delta              bool
	Keep               string // the file of held versions, empty: none
	Mutating           map[string]bool
	Calls              int // connections at once
	Connect            time.Duration
	Keys               keys.Files
}

// reader walks a document and notes faults.
type reader struct {
	faults kdl.Faults
	folder string
}

// read parses a file and hands its nodes on.
func read(path string, walk func(r *reader, nodes []*kdl.Node)) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	r := &reader{folder: filepath.Dir(path)}
	nodes, err := kdl.Parse(string(text))
	if err == nil {
		walk(r, nodes)
		err = r.faults.Err()
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// one finds the only top node of a name.
func (r *reader) one(nodes []*kdl.Node, name string) *kdl.Node {
	var found *kdl.Node
	for _, n := range nodes {
		switch {
		case n.Name != name:
			r.faults.Add(n.Line, "%q has no place here, only %q", n.Name, name)
		case found != nil:
			r.faults.Add(n.Line, "a second %q, the first is in line %d", name, found.Line)
		default:
			found = n
		}
	}
	if found == nil {
		r.faults.Add(1, "there is no %q", name)
	}
	return found
}

// each hands a node's children to what reads them; the names of many may come more than once.
func (r *reader) each(parent *kdl.Node, once, many map[string]func(n *kdl.Node)) {
	seen := map[string]int{}
	for _, n := range parent.Children {
		do, known := many[n.Name]
		if !known {
			if do, known = once[n.Name]; known && seen[n.Name] > 0 {
				r.faults.Add(n.Line, "%q is there twice, first in line %d", n.Name, seen[n.Name])
				continue
			}
		}
		if !known {
			r.faults.Add(n.Line, "%q is not known in %q", n.Name, parent.Name)
			continue
		}
		seen[n.Name] = n.Line
		do(n)
	}
}

// takes notes what a node has beside the arguments and properties that it may have.
func (r *reader) takes(n *kdl.Node, args int, props ...string) {
	if len(n.Args) != args {
		r.faults.Add(n.Line, "%q takes %d values, not %d", n.Name, args, len(n.Args))
	}
	for name, v := range n.Props {
		known := false
		for _, p := range props {
			known = known || p == name
		}
		if !known {
			r.faults.Add(v.Line, "%q has no property %q", n.Name, name)
		}
	}
}

func (r *reader) text(n *kdl.Node, at int) string {
	if at >= len(n.Args) {
		return ""
	}
	return r.string(n, n.Args[at])
}

func (r *reader) string(n *kdl.Node, v kdl.Value) string {
	text, ok := v.V.(string)
	if !ok || text == "" || len(text) > namesMost || strings.ContainsAny(text, "\r\n\x00") {
		r.faults.Add(v.Line, "%q takes a name of 1 to %d bytes on one line, not %v", n.Name, namesMost, v.V)
		return ""
	}
	return text
}

func (r *reader) number(n *kdl.Node, v kdl.Value, least, most float64) float64 {
	figure, ok := v.V.(float64)
	if !ok || !(figure >= least && figure <= most) {
		r.faults.Add(v.Line, "%q takes a number from %v to %v, not %v", n.Name, least, most, v.V)
		return least
	}
	return figure
}

// figure reads a node that is one number.
func (r *reader) figure(n *kdl.Node, least, most float64) float64 {
	r.takes(n, 1)
	if len(n.Args) == 0 {
		return least
	}
	return r.number(n, n.Args[0], least, most)
}

func (r *reader) millis(n *kdl.Node, least, most float64) time.Duration {
	return time.Duration(r.figure(n, least, most) * float64(time.Millisecond))
}

// address reads a host and a port.
func (r *reader) address(n *kdl.Node, v kdl.Value) string {
	text := r.string(n, v)
	if text == "" {
		return ""
	}
	host, port, err := net.SplitHostPort(text)
	if number, bad := strconv.Atoi(port); err != nil || bad != nil || host == "" || number < 0 || number > 65535 {
		r.faults.Add(v.Line, "%q takes an address of host and port, not %q", n.Name, text)
		return ""
	}
	return text
}

func (r *reader) file(n *kdl.Node, at int) string {
	path := r.text(n, at)
	if path != "" && !filepath.IsAbs(path) {
		path = filepath.Join(r.folder, path)
	}
	return path
}

func (r *reader) keys(into *keys.Files) func(n *kdl.Node) {
	return func(n *kdl.Node) {
		r.takes(n, 0, "certificate", "key", "roots")
		for name, path := range map[string]*string{"certificate": &into.Certificate, "key": &into.Key, "roots": &into.Roots} {
			v, told := n.Props[name]
			if !told {
				r.faults.Add(n.Line, "%q lacks %q", n.Name, name)
				continue
			}
			if *path = r.string(n, v); *path != "" && !filepath.IsAbs(*path) {
				*path = filepath.Join(r.folder, *path)
			}
		}
	}
}

// ReadConductor reads a conductor's configuration.
func ReadConductor(path string) (*Conductor, error) {
	c := &Conductor{Sidecars: usualSidecars, Connect: usualConnect, Report: usualPeriod, Zones: map[string]bool{}, Kinds: map[string]bool{}}
	c.Deployment = site.Deployment{Tick: usualTick.Seconds(), Site: brain.Site{Conductors: 1, Utilization: -1, Backlog: -1,
		Levels: brain.LevelFraction, Pace: usualPace, Queue: usualQueue, Head: 1, MessageSpan: 10, Ramp: usualRamp,
		FallTimes: usualFall, AskWithin: 10}}
	channelStated := false
	err := read(path, func(r *reader, nodes []*kdl.Node) {
		top := r.one(nodes, "conductor")
		if top == nil {
			return
		}
		r.takes(top, 1)
		c.Name = r.text(top, 0)
		d := &c.Deployment
		named := func(n *kdl.Node, into *[]string, seen map[string]bool) {
			r.takes(n, 1)
			if name := r.text(n, 0); seen[name] {
				r.faults.Add(n.Line, "%s %q is there twice", n.Name, name)
			} else if seen[name] = true; name != "" {
				*into = append(*into, name)
			}
		}
		r.each(top, map[string]func(n *kdl.Node){
			"listen": func(n *kdl.Node) {
				if r.takes(n, 1); len(n.Args) == 1 {
					c.Listen = r.address(n, n.Args[0])
				}
			},
			"seed":       func(n *kdl.Node) { c.Seed = uint64(r.figure(n, 0, 1<<53)) },
			"sidecars":   func(n *kdl.Node) { c.Sidecars = int(r.figure(n, 1, 65000)) },
			"conductors": func(n *kdl.Node) { d.Site.Conductors = int(r.figure(n, 1, 1024)) },
			"nodes":      func(n *kdl.Node) { r.takes(n, 1); c.Nodes = r.file(n, 0) },
			"nodes-from": func(n *kdl.Node) {
				if r.takes(n, 1, "cluster"); len(n.Args) == 1 {
					c.Service = r.address(n, n.Args[0])
				}
				if v, told := n.Props["cluster"]; !told {
					r.faults.Add(n.Line, "%q lacks %q", n.Name, "cluster")
				} else {
					c.Cluster = r.string(n, v)
				}
			},
			"connect-ms": func(n *kdl.Node) { c.Connect = r.millis(n, 1, 60000) },
			"report-ms":  func(n *kdl.Node) { c.Report = r.millis(n, 10, 60000) },
			"ramp-s":     func(n *kdl.Node) { d.Site.Ramp = r.figure(n, 0, 3600) },
			"fall-times": func(n *kdl.Node) { d.Site.FallTimes = r.figure(n, 1, 1000) },
			"keys":       r.keys(&c.Keys),
			"group":      func(n *kdl.Node) { r.group(n, c) },
			"channel": func(n *kdl.Node) {
				r.takes(n, 0, "lines-per-s", "queue", "head", "messages", "over-s")
				channelStated = n.Props["queue"].Line > 0 || n.Props["lines-per-s"].Line > 0
				for name, into := range map[string]*float64{"lines-per-s": &d.Site.Pace, "queue": &d.Site.Queue, "head": &d.Site.Head,
					"over-s": &d.Site.MessageSpan} {
					if v, told := n.Props[name]; told {
						*into = r.number(n, v, map[string]float64{"head": 0}[name], 1e9)
					}
				}
				if v, told := n.Props["messages"]; told {
					d.Site.Messages = int(r.number(n, v, 0, 1e6))
				}
			},
		}, map[string]func(n *kdl.Node){
			"zone":  func(n *kdl.Node) { named(n, &d.Zones, c.Zones) },
			"kind":  func(n *kdl.Node) { named(n, &d.Kinds, c.Kinds) },
			"route": func(n *kdl.Node) { r.route(n, c) },
		})
		for what, missing := range map[string]bool{"listen": c.Listen == "", "nodes or nodes-from": (c.Nodes == "") == (c.Service == ""), "zone": len(d.Zones) == 0,
			"route": len(d.Routes) == 0} {
			if missing {
				r.faults.Add(top.Line, "%q lacks %q", top.Name, what)
			}
		}
		if len(d.Kinds) == 0 {
			d.Kinds = []string{"node"}
			c.Kinds["node"] = true
		}
	})
	d := &c.Deployment.Site
	d.Seed, d.Zones, d.Kinds, d.Proxies, d.Period = c.Seed, len(c.Deployment.Zones), len(c.Deployment.Kinds), c.Sidecars, c.Report.Seconds()
	if !channelStated {
		widenChannel(d)
	}
	return c, err
}

// widenChannel makes the channel as large as the levels of many routes need. All sidecars may be of one pool, and levels
// that never fit would never be told. The pace grows with the queue, so that as much time passes until it is empty.
func widenChannel(s *brain.Site) {
	levels := float64(s.Proxies) * (s.Head + 1 + float64(len(s.Routes)))
	if times := levelsInQueue * levels / s.Queue; times > 1 {
		s.Queue, s.Pace = s.Queue*times, s.Pace*times
	}
}

// group reads a conductor's part in a group.
func (r *reader) group(n *kdl.Node, c *Conductor) {
	r.takes(n, 0)
	g := &Group{Addresses: map[uint64]string{}}
	r.each(n, map[string]func(n *kdl.Node){
		"id": func(n *kdl.Node) { g.ID = uint64(r.figure(n, 1, 1<<32)) },
		"listen": func(n *kdl.Node) {
			if r.takes(n, 1); len(n.Args) == 1 {
				g.Listen = r.address(n, n.Args[0])
			}
		},
		"data":        func(n *kdl.Node) { r.takes(n, 1); g.Data = r.file(n, 0) },
		"added-later": func(n *kdl.Node) { r.takes(n, 0); g.Later = true },
	}, map[string]func(n *kdl.Node){
		"member": func(n *kdl.Node) {
			if r.takes(n, 2); len(n.Args) == 2 {
				id := uint64(r.number(n, n.Args[0], 1, 1<<32))
				if g.Addresses[id] != "" {
					r.faults.Add(n.Line, "member %d is there twice", id)
				}
				g.Addresses[id] = r.address(n, n.Args[1])
				g.Voters = append(g.Voters, id)
			}
		},
	})
	for what, missing := range map[string]bool{"id": g.ID == 0, "listen": g.Listen == "", "data": g.Data == "", "member": len(g.Voters) == 0} {
		if missing {
			r.faults.Add(n.Line, "%q lacks %q", n.Name, what)
		}
	}
	if g.Later {
		g.Voters = nil
	} else if g.Addresses[g.ID] == "" {
		r.faults.Add(n.Line, "member %d itself is not among the members; one that is added to a group that stands says \"added-later\"", g.ID)
	}
	c.Group = g
}

// route reads a conductor's route.
func (r *reader) route(n *kdl.Node, c *Conductor) {
	b := brain.Route{SLOTime: 1, Importance: 1}
	route := r.anyRoute(n, c.Routes, map[string]func(n *kdl.Node, route *xds.Route){
		"slo-ms":     func(n *kdl.Node, _ *xds.Route) { b.SLOTime = r.millis(n, 1, 600000).Seconds() },
		"importance": func(n *kdl.Node, _ *xds.Route) { b.Importance = r.figure(n, 0.001, 1e6) },
		"home-only":  func(n *kdl.Node, _ *xds.Route) { r.takes(n, 0); b.HomeOnly = true },
	})
	if route.TimeLimit > 0 && route.TimeLimit.Seconds() < b.SLOTime {
		r.faults.Add(n.Line, "route %q has a time limit under its SLO time", route.Name)
	}
	c.Routes = append(c.Routes, route)
	c.Deployment.Routes = append(c.Deployment.Routes, route.Name)
	c.Deployment.Site.Routes = append(c.Deployment.Site.Routes, b)
}

// anyRoute reads a route that follows others, and more of it than all have. A prefix that an earlier one covers would
// never be reached. What follows the last route that a table may have is refused and not read.
func (r *reader) anyRoute(n *kdl.Node, before []xds.Route, more map[string]func(n *kdl.Node, route *xds.Route)) xds.Route {
	r.takes(n, 1)
	route := xds.Route{Name: r.text(n, 0)}
	if len(before) >= xds.MaxRoutes {
		if len(before) == xds.MaxRoutes { // one reason is enough
			r.faults.Add(n.Line, "route %q is one too many: a sidecar takes %d at most", route.Name, xds.MaxRoutes)
		}
		return route
	}
	once := map[string]func(n *kdl.Node){
		"prefix":   func(n *kdl.Node) { r.takes(n, 1); route.Prefix = r.text(n, 0) },
		"limit-ms": func(n *kdl.Node) { route.TimeLimit = r.millis(n, 1, 600000) },
		"mutating": func(n *kdl.Node) { r.takes(n, 0); route.Mutating = true },
	}
	for name, read := range more {
		once[name] = func(n *kdl.Node) { read(n, &route) }
	}
	r.each(n, once, nil)
	if !strings.HasPrefix(route.Prefix, "/") {
		r.faults.Add(n.Line, "route %q has no prefix of a path, such as \"/quote\"", route.Name)
	}
	if route.TimeLimit == 0 {
		r.faults.Add(n.Line, "route %q has no time limit (limit-ms)", route.Name)
	}
	for _, b := range before {
		if b.Name == route.Name {
			r.faults.Add(n.Line, "route %q is there twice", route.Name)
		} else if b.Prefix != "" && strings.HasPrefix(route.Prefix, b.Prefix) {
			r.faults.Add(n.Line, "route %q is never reached: %q takes all of %q before it", route.Name, b.Name, route.Prefix)
		}
	}
	return route
}

// Node is a node of the list.
type Node struct {
	conductor.Entry
	Address xds.Address
}

// ReadNodes reads the list of nodes of a conductor; where a service keeps it there is none to read.
func (c *Conductor) ReadNodes() (nodes []Node, err error) {
	if c.Nodes == "" {
		return nil, nil
	}
	err = read(c.Nodes, func(r *reader, tops []*kdl.Node) {
		names, addresses := map[string]int{}, map[xds.Address]int{}
		for _, n := range tops {
			if n.Name != "node" {
				r.faults.Add(n.Line, "%q has no place here, only \"node\"", n.Name)
				continue
			}
			r.takes(n, 1, "zone", "kind", "address", "weight", "state", "started-ms")
			one := Node{Entry: conductor.Entry{Node: r.text(n, 0), Kind: c.Deployment.Kinds[0], Weight: 1, Condition: brain.Ready}}
			if line := names[one.Node]; line > 0 {
				r.faults.Add(n.Line, "node %q is there twice, first in line %d", one.Node, line)
			}
			names[one.Node] = n.Line
			if v, told := n.Props["zone"]; !told {
				r.faults.Add(n.Line, "node %q has no zone", one.Node)
			} else if one.Zone = r.string(n, v); !c.Zones[one.Zone] {
				r.faults.Add(v.Line, "zone %q of node %q is not known", one.Zone, one.Node)
			}
			if v, told := n.Props["kind"]; told {
				if one.Kind = r.string(n, v); !c.Kinds[one.Kind] {
					r.faults.Add(v.Line, "kind %q of node %q is not known", one.Kind, one.Node)
				}
			}
			if v, told := n.Props["address"]; !told {
				r.faults.Add(n.Line, "node %q has no address", one.Node)
			} else if text := r.address(n, v); text != "" {
				host, port, _ := net.SplitHostPort(text)
				number, _ := strconv.Atoi(port)
				one.Address = xds.Address{Host: host, Port: uint32(number)}
				if line := addresses[one.Address]; line > 0 {
					r.faults.Add(v.Line, "the address %s is there twice, first in line %d", text, line)
				}
				addresses[one.Address] = n.Line
			}
			if v, told := n.Props["weight"]; told {
				one.Weight = r.number(n, v, 0.001, 1e6)
			}
			if v, told := n.Props["started-ms"]; told {
				one.Started = r.number(n, v, 0, 1e15) / 1000
			}
			if v, told := n.Props["state"]; told {
				switch r.string(n, v) {
				case "ready":
				case "draining":
					one.Condition = brain.Draining
				default:
					r.faults.Add(v.Line, "the state of node %q is \"ready\" or \"draining\"", one.Node)
				}
			}
			nodes = append(nodes, one)
		}
	})
	return nodes, err
}

// Kind is what a file says that it is: "conductor", "sidecar", "node" if it has nodes only, or nothing of these.
func Kind(path string) (kind string, err error) {
	err = read(path, func(_ *reader, nodes []*kdl.Node) {
		for k, n := range nodes {
			switch {
			case n.Name == "conductor" || n.Name == "sidecar":
				kind = n.Name
				return
			case k == 0 && n.Name == "node":
				kind = n.Name
			case n.Name != "node":
				kind = ""
			}
		}
	})
	return kind, err
}

// ReadSidecar reads a sidecar's configuration.
func ReadSidecar(path string) (*Sidecar, error) {
	s := &Sidecar{Delta: true, Mutating: map[string]bool{}, Calls: usualCalls, Connect: usualConnect}
	err := read(path, func(r *reader, nodes []*kdl.Node) {
		top := r.one(nodes, "sidecar")
		if top == nil {
			return
		}
		r.takes(top, 1)
		s.Name = r.text(top, 0)
		r.each(top, map[string]func(n *kdl.Node){
			"zone": func(n *kdl.Node) { r.takes(n, 1); s.Zone = r.text(n, 0) },
			"listen": func(n *kdl.Node) {
				if r.takes(n, 1); len(n.Args) == 1 {
					s.Listen = r.address(n, n.Args[0])
				}
			},
			"variant": func(n *kdl.Node) {
				r.takes(n, 1)
				switch v := r.text(n, 0); v {
				case "delta", "state":
					s.Delta = v == "delta"
				default:
					r.faults.Add(n.Line, "the variant is \"delta\" or \"state\"")
				}
			},
			"keep":        func(n *kdl.Node) { r.takes(n, 1); s.Keep = r.file(n, 0) },
			"connections": func(n *kdl.Node) { s.Calls = int(r.figure(n, 1, 65000)) },
			"connect-ms":  func(n *kdl.Node) { s.Connect = r.millis(n, 1, 60000) },
			"keys":        r.keys(&s.Keys),
		}, map[string]func(n *kdl.Node){
			"conductor": func(n *kdl.Node) {
				if r.takes(n, 1); len(n.Args) == 1 {
					s.Conductors = append(s.Conductors, r.address(n, n.Args[0]))
				}
			},
			"mutating": func(n *kdl.Node) { r.takes(n, 1); s.Mutating[r.text(n, 0)] = true },
		})
		for what, missing := range map[string]bool{"zone": s.Zone == "", "listen": s.Listen == "", "conductor": len(s.Conductors) == 0} {
			if missing {
				r.faults.Add(top.Line, "%q lacks %q", top.Name, what)
			}
		}
	})
	return s, err
}
