package controller

import "harehook.dev/harehook/planner"

// LoadReport summarizes the attempts of a zone's proxies at a node in an interval.
type LoadReport struct {
	Node              string
	Completed, Failed int                // attempts; Completed includes Failed
	MeanLatency       float64            // s; mean latency of the successful attempts
	Interval          float64            // s
	Values            map[string]float64 // values that the node itself reports, by their names in the settings
}

// AddLoadReport adds a load report. Its Values are used only if they include all values that the settings name.
func (c *Controller) AddLoadReport(report LoadReport) {
	c.post(func(l *eventLoop) { l.addLoadReport(report) })
}

// AddDemandReport adds the number of requests for a route that arrived at a proxy in an interval, given in seconds.
func (c *Controller) AddDemandReport(proxy int, route string, requests int, interval float64) {
	c.post(func(l *eventLoop) { l.addDemandReport(proxy, route, requests, interval) })
}

func (l *eventLoop) addLoadReport(report LoadReport) {
	number, known := l.nodes.number(report.Node)
	if !known {
		l.unknown.Nodes.Add(1)
		return
	}
	l.reportValues = l.names.appendReportValues(l.reportValues[:0], report.Values)
	l.planner.AddLoadReport(l.now, planner.LoadReport{Node: number, Completed: report.Completed, Failed: report.Failed,
		MeanLatency: report.MeanLatency, Interval: report.Interval, Values: l.reportValues})
}

func (l *eventLoop) addDemandReport(proxy int, route string, requests int, interval float64) {
	routeNumber, routeKnown := l.names.routes[route]
	if !routeKnown || !l.proxies.inRange(proxy) {
		l.unknown.Routes.Add(1)
		return
	}
	l.planner.AddDemandReport(l.now, planner.DemandReport{Proxy: proxy, Route: planner.RouteID(routeNumber),
		Requests: requests, Interval: interval})
}
