package loadtest

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"harehook.dev/harehook/configsync"
)

// The roles of a worker, which is a process of its own or, in tests, a goroutine.
const (
	RoleMember      = "member"
	RoleControllers = "conductors"
	RoleProgram     = "program" // one controller, which is harehook-xds
)

// workerCommand is what a worker is told, one JSON object a line on its standard input. A worker ends when its input does.
type workerCommand struct {
	Member      *memberSetup      `json:"member,omitempty"`
	Controllers *controllersSetup `json:"conductors,omitempty"`
	Program     *programSetup     `json:"program,omitempty"`
	Action      *action           `json:"action,omitempty"`
}

// memberSetup says how to start a member of the group.
type memberSetup struct {
	ID        uint64            `json:"id"`
	Folder    string            `json:"folder"` // of its log
	Addresses map[uint64]string `json:"addresses"`
}

// controllersSetup says which controllers a worker plays.
type controllersSetup struct {
	Members     []string            `json:"members"` // addresses
	Lease       time.Duration       `json:"lease_ns"`
	Seed        uint64              `json:"seed"`
	Controllers []indexedController `json:"conductors"`
}

// indexedController is a controller with its place in the fleet.
type indexedController struct {
	Index int `json:"index"`
	Controller
}

// actionKind is something that is done to controllers.
type actionKind string

const (
	actionRestart   actionKind = "restart"   // also the first start: a controller begins anew and holds nothing
	actionReconnect actionKind = "reconnect" // the connection is closed
	actionCut       actionKind = "cut"       // nothing comes through any more, without a word
	actionHeal      actionKind = "heal"      // ends a cut; what was cut is closed
	actionReject    actionKind = "refuse"    // some changes are refused from now on
	actionAccept    actionKind = "accept"    // ends that
	actionReport    actionKind = "report"    // what was measured until now
	actionFinish    actionKind = "finish"    // ends all clients and tells what they hold
)

// action is done to the controllers of a worker at these places in the fleet, evenly over a time.
type action struct {
	Kind        actionKind    `json:"kind"`
	Controllers []int         `json:"conductors,omitempty"`
	Over        time.Duration `json:"over_ns,omitempty"`
}

// workerReport is what a worker tells, one JSON object a line on its standard output.
type workerReport struct {
	Ready    bool               `json:"ready,omitempty"`    // the member serves, or the controllers are set up
	PID      int                `json:"pid,omitempty"`      // of the program that the worker runs
	Failed   string             `json:"failed,omitempty"`   // the worker ends
	Events   []event            `json:"events,omitempty"`   // of controllers, in order for each
	Wire     *wireReading       `json:"wire,omitempty"`     // every second
	Messages *messageReport     `json:"messages,omitempty"` // answers actionReport and actionFinish
	Counts   *configsync.Counts `json:"counts,omitempty"`   // of a member, every second
	Finished bool               `json:"finished,omitempty"`
}

// eventKind is something that happened to a controller.
type eventKind string

const (
	eventStarted  eventKind = "life"     // it was started, and holds nothing
	eventJoined   eventKind = "joined"   // a member has answered on a new stream
	eventAccepted eventKind = "accepted" // it holds another revision
	eventFinal    eventKind = "final"    // what it held at the end
)

// event is told by the time of the machine that all workers run on.
type event struct {
	Kind        eventKind `json:"k"`
	Controller  int       `json:"c"`
	At          int64     `json:"t"` // Unix time in ns
	Incarnation int       `json:"l,omitempty"`
	Revision    uint64    `json:"r,omitempty"`
	Digest      Digest    `json:"d,omitempty"`
	Outside     int       `json:"o,omitempty"` // records held that are not of its scope
	Member      string    `json:"m,omitempty"` // address
}

// wireReading is what went over a worker's connections since it began, with all framing above TCP.
type wireReading struct {
	At  int64  `json:"t"` // Unix time in ns
	In  uint64 `json:"in"`
	Out uint64 `json:"out"`
}

// lineWriter writes JSON objects, one a line, from any goroutine.
type lineWriter struct {
	mutex   sync.Mutex
	encoder *json.Encoder
}

func newLineWriter(out io.Writer) *lineWriter { return &lineWriter{encoder: json.NewEncoder(out)} }

func (w *lineWriter) write(line any) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.encoder.Encode(line)
}
