// Command 6 plays case 6 of the review: one of five nodes restarts and comes back cold, on the list of a service that
// lists the nodes over xDS. All sidecars send it its full share at once, and it falls over.
package main

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"os"
	"sync"
	"time"

	"harehook.dev/harehook/review/internal/trial"
)

// The figures of pos-removals (next/3/LATER.md).
const (
	coldFraction = 0.23
	warmAfter    = 17 * time.Second
	coldFor      = 8 * time.Second // the page does not say how capacity grows in between: it stays, then grows evenly
	fallMultiple = 2.5
	fallAfter    = 1500 * time.Millisecond
	downTime     = 3 * time.Second // "come back cold after 1 to 4 s"
	nodeCount    = 5
	coresPerNode = 4
	workPerCall  = 5 * time.Millisecond // of one core of a warm node
	warmCapacity = float64(coresPerNode) * float64(time.Second) / float64(workPerCall)
	load         = 0.7 // of all nodes' warm capacity; the site's days with a trouble have 0.53 to 0.7
	sidecarCount = 5
	timeLimit    = 3 * time.Second
	restartAfter = 25 * time.Second
	watchFor     = 20 * time.Second
	sampleEvery  = 100 * time.Millisecond
	callsPerSlot = 2
)

func main() { trial.Main(play) }

// node is a booking host. Its cores work calls off one after another; while it is cold each takes longer.
type node struct {
	name string
	r    *trial.Run

	mutex     sync.Mutex
	server    *trial.Server
	startedAt time.Time // zero: long ago
	arrivals  []time.Time
	cores     chan struct{}
	fellOver  bool
	run       int     // calls since the last line of the record
	worst     float64 // the highest multiple for fallAfter
}

func (n *node) start(address string) error {
	server, err := trial.Serve(n.name, address, n.handle)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.server = server
	n.cores = make(chan struct{}, coresPerNode)
	n.arrivals = nil
	return err
}

// fraction returns what a node can do, as a part of what it can do when it is warm. The mutex must be held.
func (n *node) fraction(now time.Time) float64 {
	if n.startedAt.IsZero() {
		return 1
	}
	age := now.Sub(n.startedAt)
	grown := float64(age-coldFor) / float64(warmAfter-coldFor)
	return min(1, max(coldFraction, coldFraction+(1-coldFraction)*grown))
}

func (n *node) handle(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	n.mutex.Lock()
	n.arrivals = append(n.arrivals, now)
	n.run++
	work := time.Duration(float64(workPerCall) / n.fraction(now))
	cores := n.cores
	n.mutex.Unlock()
	cores <- struct{}{}
	time.Sleep(work)
	<-cores
	fmt.Fprintln(w, n.name)
}

// watch lets the node fall over when it gets too much for too long.
func (n *node) watch(end time.Time) {
	for now := range time.Tick(sampleEvery) {
		if now.After(end) || n.sample(now) {
			return
		}
	}
}

func (n *node) sample(now time.Time) (fell bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	recent := n.arrivals[:0]
	for _, at := range n.arrivals {
		if now.Sub(at) <= fallAfter {
			recent = append(recent, at)
		}
	}
	n.arrivals = recent
	// docs/WIRE: "The count is a budget over any window of that length: multiple times present capacity times window,
	// plus a little slack for chance." The slack here is three standard deviations of a count by chance.
	canDo := warmCapacity * n.fraction(now) * fallAfter.Seconds()
	budget := fallMultiple*canDo + 3*math.Sqrt(fallMultiple*canDo)
	multiple := float64(len(recent)) / canDo
	n.worst = max(n.worst, multiple)
	cold := !n.startedAt.IsZero() && n.fraction(now) < 1
	if !cold || float64(len(recent)) <= budget || now.Sub(n.startedAt) < fallAfter {
		return false
	}
	n.fellOver = true
	n.r.Note("%s was sent %d calls within %s, %.2f times what it can do; its budget is %.0f (%.1f times, with slack): it falls over and stays down",
		n.name, len(recent), fallAfter, multiple, budget, fallMultiple)
	if err := n.server.Kill(); err != nil {
		n.r.Note("%s: %v", n.name, err)
	}
	return true
}

const conductorText = `conductor "c-1" {
    listen %q
    zone "laventille"
    %s
    ramp-s 17
    fall-times 2.5
    route "lookup" { prefix "/lookup"; limit-ms 3000; slo-ms 1000; importance 1; }
}
`

const sidecarText = `sidecar "front-%d" {
    zone "laventille"
    listen %q
    conductor %q
}
`

func endpoints(nodes []*node) (list []trial.Endpoint) {
	for _, n := range nodes {
		list = append(list, trial.Endpoint{Name: n.name, Zone: "laventille", Address: n.server.Address})
	}
	return list
}

// lister lists the nodes, over xDS or, with LIST=file, in the controller's file with their start times.
type lister struct {
	r       *trial.Run
	service *trial.EndpointService
}

func (l *lister) set(nodes []*node) error {
	if l.service != nil {
		l.service.Set(endpoints(nodes))
		return nil
	}
	text := ""
	for _, n := range nodes {
		started := int64(0)
		if !n.startedAt.IsZero() {
			started = n.startedAt.UnixMilli()
		}
		text += fmt.Sprintf("node %q zone=\"laventille\" address=%q started-ms=%d\n", n.name, n.server.Address, started)
	}
	_, err := l.r.Write("nodes.kdl", text)
	return err
}

func play(r *trial.Run) (broken bool, err error) {
	var nodes []*node
	for i := range nodeCount {
		n := &node{name: fmt.Sprintf("n-%d", i+1), r: r}
		if err := n.start("127.0.0.1:0"); err != nil {
			return false, err
		}
		nodes = append(nodes, n)
	}
	list := &lister{r: r}
	source := `nodes "nodes.kdl"`
	if os.Getenv("LIST") != "file" {
		if list.service, err = trial.ServeEndpoints("booking", endpoints(nodes)); err != nil {
			return false, err
		}
		source = fmt.Sprintf("nodes-from %q cluster=\"booking\"", list.service.Address)
	} else if err := list.set(nodes); err != nil {
		return false, err
	}
	fronts, err := startPrograms(r, source)
	if err != nil {
		return false, err
	}
	end := time.Now().Add(restartAfter + downTime + watchFor)
	var callers sync.WaitGroup
	answers := newTally()
	for _, front := range fronts {
		callers.Go(func() { call(front, end, answers) })
	}
	for _, n := range nodes {
		callers.Go(func() { n.watch(end) })
	}
	callers.Go(func() { recordEachSecond(r, nodes, answers, end) })
	time.Sleep(restartAfter)
	if r.Trouble {
		if err := restart(r, list, nodes); err != nil {
			return false, err
		}
	}
	callers.Wait()
	for _, n := range nodes {
		r.Note("%s: fell over %v; at the most it got %.2f times what it could do", n.name, n.fellOver, n.worst)
		broken = broken || n.fellOver
	}
	return broken, nil
}

// restart stops one node, lists the others, and lists it again when it is back, cold.
func restart(r *trial.Run, list *lister, nodes []*node) error {
	n := nodes[0]
	address := n.server.Address
	r.Note("%s dies", n.name)
	if err := errors.Join(n.server.Kill(), list.set(nodes[1:])); err != nil {
		return err
	}
	time.Sleep(downTime)
	n.mutex.Lock()
	n.startedAt = time.Now()
	n.mutex.Unlock()
	if err := n.start(address); err != nil {
		return err
	}
	r.Note("%s is back, cold", n.name)
	return list.set(nodes)
}

func startPrograms(r *trial.Run, source string) (fronts []string, err error) {
	control, err := trial.Address()
	if err != nil {
		return nil, err
	}
	if _, err := r.Start("conductor", "harehook-xds", fmt.Sprintf(conductorText, control, source)); err != nil {
		return nil, err
	}
	for i := range sidecarCount {
		front, err := trial.Address()
		if err != nil {
			return nil, err
		}
		if _, err := r.Start(fmt.Sprintf("front-%d", i), "harehook-sidecar", fmt.Sprintf(sidecarText, i, front, control)); err != nil {
			return nil, err
		}
		client := trial.NewClient(front, timeLimit)
		served := func() bool { return client.Post("/lookup", "x").Status == http.StatusOK }
		if err := trial.WaitFor("a first answer", 20*time.Second, served); err != nil {
			return nil, err
		}
		fronts = append(fronts, front)
	}
	return fronts, nil
}

// tally counts answers by status.
type tally struct {
	mutex    sync.Mutex
	statuses map[int]int
}

func newTally() *tally { return &tally{statuses: map[int]int{}} }

func (t *tally) add(status int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.statuses[status]++
}

// take returns the answers since the last call of it.
func (t *tally) take() map[int]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	taken := t.statuses
	t.statuses = map[int]int{}
	return taken
}

// recordEachSecond records what was run and answered in each second.
func recordEachSecond(r *trial.Run, nodes []*node, answers *tally, end time.Time) {
	for now := range time.Tick(time.Second) {
		if now.After(end) {
			return
		}
		line := ""
		for _, n := range nodes {
			n.mutex.Lock()
			line += fmt.Sprintf(" %s %d", n.name, n.run)
			n.run = 0
			n.mutex.Unlock()
		}
		r.Note("calls that reached nodes in this second:%s; answers by status: %v", line, answers.take())
	}
}

// call sends calls at an even rate, whatever becomes of them.
func call(front string, end time.Time, answers *tally) {
	callsPerSecond := load * nodeCount * warmCapacity / sidecarCount
	pause := time.Duration(callsPerSlot / callsPerSecond * float64(time.Second))
	client := trial.NewClient(front, timeLimit)
	var open sync.WaitGroup
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for now := range ticker.C {
		if now.After(end) {
			break
		}
		for range callsPerSlot {
			open.Go(func() { answers.add(client.Post("/lookup", "x").Status) })
		}
	}
	open.Wait()
}
