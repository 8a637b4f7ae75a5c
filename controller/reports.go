package controller

import "harehook.dev/harehook/planner"

// LoadReport is what the attempts of a zone's proxies at a node came to in an interval.
type LoadReport struct {
	Node              string
	Completed, Failed int                // attempts; Failed of those Completed
	MeanLatency       float64            // s; of the successful ones
	Interval          float64            // s
	Values            map[string]float64 // the node's own figures, by the settings' names
}

// AddLoadReport brings a load report. Its values are used only if none that the settings name is missing.
func (c *Controller) AddLoadReport(report LoadReport) {
	c.post(func(l *eventLoop) { l.addLoadReport(report) })
}

// AddDemandReport brings how many requests of a route arrived at a proxy in an interval of so many seconds.
func (c *Controller) AddDemandReport(proxy int, route string, requests int, interval float64) {
	c.post(func(l *eventLoop) { l.addDemandReport(proxy, route, requests, interval) })
}

func (l *eventLoop) addLoadReport(report LoadReport) {
	number, known := l.nodes.number(report.Node)
	if !known {
		l.unknown.Nodes.Add(1)
		return
	}
	l.reportValues = l.names.orderReportValues(l.reportValues[:0], report.Values)
	l.planner.AddLoadReport(l.now, planner.LoadReport{Node: number, Completed: report.Completed, Failed: report.Failed,
		MeanLatency: report.MeanLatency, Interval: report.Interval, Values: l.reportValues})
}

func (l *eventLoop) addDemandReport(proxy int, route string, requests int, interval float64) {
	routeNumber, routeKnown := l.names.routes[route]
	if !routeKnown || !l.proxies.has(proxy) {
		l.unknown.Routes.Add(1)
		return
	}
	l.planner.AddDemandReport(l.now, planner.DemandReport{Proxy: proxy, Route: planner.RouteID(routeNumber),
		Requests: requests, Interval: interval})
}
