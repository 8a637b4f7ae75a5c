package fleet

import (
	"errors"
	"maps"
	"slices"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
)

// trafficStep is the interval at which proxies send what is due.
const trafficStep = 10 * time.Millisecond

// avoidedFor is the time in s for which a proxy keeps away from a node at which several of its tries in a row failed.
const avoidedFor = 4.5

// errControllerEnded is returned if a controller ends that was not killed.
var errControllerEnded = errors.New("a controller has ended")

// Serve has the proxies send requests and the collectors report until a time.
func (f *Fleet) Serve(until float64) error {
	reportAt := f.run.Seconds() + f.plan.ReportInterval.Seconds()
	last := f.run.Seconds()
	for last < until {
		time.Sleep(trafficStep)
		now := f.run.Seconds()
		if err := f.step(now, now-last); err != nil {
			return err
		}
		last = now
		if now >= reportAt {
			reportAt += f.plan.ReportInterval.Seconds()
			f.report(now)
		}
	}
	return nil
}

// step has each proxy send the requests that are due.
func (f *Fleet) step(now, elapsed float64) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, c := range f.controllers {
		if c.up && !c.program.Running() {
			return errControllerEnded
		}
	}
	for number, sender := range f.proxies {
		sender.due += elapsed * sender.rate
		for ; sender.due >= 1; sender.due-- {
			f.send(number, now)
		}
	}
	return nil
}

// send sends one request of a proxy. If its node is gone, which proves that the try never ran, it tries another one.
func (f *Fleet) send(number int, now float64) {
	sender := f.proxies[number]
	class := f.pickClass()
	if sender.controller != nil {
		sender.controller.reports.addRequest(number, class.Name, now)
	}
	if f.random.Float64() >= sender.holds.levels[class.Name] {
		f.refused++
		return
	}
	first := f.pickLine(sender, class.Name, "", now)
	if first == "" {
		f.refused++
		return
	}
	if f.try(number, first, now) {
		return
	}
	if second := f.pickLine(sender, class.Name, first, now); f.nodes[first].gone && second != "" {
		f.try(number, second, now)
	}
}

// try sends a try of a proxy to a node, and reports whether it was answered.
func (f *Fleet) try(number int, name string, now float64) (answered bool) {
	sender := f.proxies[number]
	answered, seconds := f.nodes[name].handle(now, f.plan)
	f.tries++
	if answered {
		delete(sender.strikes, name)
	} else {
		f.failed++
		sender.strikes[name]++
		if sender.strikes[name] >= f.plan.Strikes {
			delete(sender.strikes, name)
			sender.avoids[name] = now + avoidedFor
		}
	}
	c := sender.controller
	if c == nil {
		return answered
	}
	c.reports.addTry(sender.zone, name, answered, seconds, now)
	if toldAt, told := c.toldAt[name]; told {
		f.sends = append(f.sends, send{at: now, proxy: number, controller: c, node: name, joinedAt: sender.joinedAt, toldAt: toldAt,
			bound: sender.boundAt > 0})
	}
	return answered
}

func (f *Fleet) pickClass() Class {
	remaining := f.random.Float64()
	for _, class := range f.plan.Classes {
		remaining -= class.Share
		if remaining < 0 {
			return class
		}
	}
	return f.plan.Classes[0]
}

// pickLine picks a line at random by weight among those that are neither shut out nor avoided nor tried before. It
// returns an empty string if there is none.
func (f *Fleet) pickLine(sender *proxy, class, tried string, now float64) string {
	lines := sender.holds.lines[class]
	names := slices.Sorted(maps.Keys(lines))
	names = slices.DeleteFunc(names, func(name string) bool {
		return sender.holds.ejected[name] || sender.avoids[name] > now || name == tried
	})
	sum := 0.0
	for _, name := range names {
		sum += lines[name]
	}
	remaining := f.random.Float64() * sum
	for _, name := range names {
		remaining -= lines[name]
		if remaining < 0 {
			return name
		}
	}
	return ""
}

// capacity returns the requests a second that a node can do. It rises evenly from its start until it is warm.
func (n *node) capacity(now float64, plan Plan) float64 {
	if n.startedAt == 0 {
		return plan.Capacity
	}
	age := (now - n.startedAt) / plan.RampTime.Seconds()
	return plan.Capacity * min(1, plan.StartCapacity+(1-plan.StartCapacity)*age)
}

// handle reports whether a node answers a request, and after how many seconds. A request that would wait for longer
// than the first class's limit is not answered.
func (n *node) handle(now float64, plan Plan) (answered bool, seconds float64) {
	if n.gone {
		return false, 0
	}
	capacity := n.capacity(now, plan)
	n.waiting = max(0, n.waiting-(now-n.updatedAt)*capacity)
	n.updatedAt = now
	n.waiting++
	const cores = 2 // a warm node does a request in cores/Capacity seconds
	seconds = max(cores, n.waiting) / capacity
	if limit := plan.Classes[0].LimitMS / 1000; seconds > limit {
		n.waiting--
		return false, limit
	}
	return true, seconds
}

// reports holds what the collectors have yet to tell a controller, the oldest first.
type reports struct {
	keys    []reportKey
	entries map[reportKey]*reportEntry
}

// reportKey identifies a line of a report: the tries of a zone's proxies at a node, or a proxy's requests of a class.
type reportKey struct {
	zone, node string
	proxy      int
	class      string
}

// reportEntry is a line that adds up until it is told.
type reportEntry struct {
	since         float64 // s
	count, failed int
	seconds       float64 // sum of the times of good answers
}

func newReports() *reports { return &reports{entries: map[reportKey]*reportEntry{}} }

func (r *reports) entry(key reportKey, now float64) *reportEntry {
	if r.entries[key] == nil {
		r.entries[key] = &reportEntry{since: now}
		r.keys = append(r.keys, key)
	}
	return r.entries[key]
}

func (r *reports) addRequest(proxy int, class string, now float64) {
	r.entry(reportKey{proxy: proxy, class: class}, now).count++
}

func (r *reports) addTry(zone, node string, answered bool, seconds, now float64) {
	entry := r.entry(reportKey{zone: zone, node: node}, now)
	entry.count++
	if answered {
		entry.seconds += seconds
	} else {
		entry.failed++
	}
}

// collect removes the oldest lines, as many as may be told at a time, and returns them as messages by zone of the
// collector.
func (r *reports) collect(f *Fleet, now float64) map[string][]map[string]any {
	byZone := map[string][]map[string]any{}
	count := min(len(r.keys), int(float64(f.plan.ReportsPerSecond)*f.plan.ReportInterval.Seconds()))
	for _, key := range r.keys[:count] {
		entry := r.entries[key]
		delete(r.entries, key)
		over := max(1, (now-entry.since)*1000)
		if key.node == "" {
			zone := f.proxies[key.proxy].zone
			byZone[zone] = append(byZone[zone], map[string]any{"@type": "RATE", "id": key.proxy, "lane": key.class, "count": entry.count,
				"fail": 0, "over": over})
			continue
		}
		mean := 0.0
		if good := entry.count - entry.failed; good > 0 {
			mean = entry.seconds / float64(good) * 1000
		}
		byZone[key.zone] = append(byZone[key.zone], map[string]any{"@type": "LOAD", "site": key.zone, "target": key.node,
			"count": entry.count, "fail": entry.failed, "mean": mean, "over": over})
	}
	r.keys = slices.Delete(r.keys, 0, count)
	return byZone
}

// report has the collectors tell each controller what is due, after the delay of reports.
func (f *Fleet) report(now float64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, c := range f.controllers {
		if !c.up {
			continue
		}
		byZone := c.reports.collect(f, now)
		time.AfterFunc(f.plan.ReportDelay, func() { c.sendReports(byZone) })
	}
}

// sendReports sends messages through the collectors of their zones, each on its own connection. One that cannot be sent
// is lost.
func (c *controller) sendReports(byZone map[string][]map[string]any) {
	c.collectorsMutex.Lock()
	defer c.collectorsMutex.Unlock()
	for zone, messages := range byZone {
		if c.collectors[zone] == nil {
			collector, err := fakeplatform.NewCollector(c.listen, zone)
			if err != nil {
				continue
			}
			c.collectors[zone] = collector
		}
		for _, message := range messages {
			if err := c.collectors[zone].Send(message); err != nil {
				c.collectors[zone].Close()
				delete(c.collectors, zone)
				break
			}
		}
	}
}
