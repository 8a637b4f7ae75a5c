package loadtest

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"harehook.dev/harehook/configsync"
)

// This file has the protocol between a run and its workers, which are processes of the same program or, in tests,
// goroutines: one JSON object a line, commands on a worker's standard input, reports on its standard output. A worker ends
// when its input does. The names in JSON are those of the first release.

// The roles of a worker. The first command has the setup of its role.
const (
	RoleMember      = "member"     // a member of the group
	RoleControllers = "conductors" // simulated controllers
	RoleProgram     = "program"    // one controller, which is harehook-xds
)

// workerCommand is a line to a worker; one of its fields is set.
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

// programSetup says how to start harehook-xds as a controller that follows the group.
type programSetup struct {
	Program    string   `json:"program"` // path
	Folder     string   `json:"folder"`  // of its files
	Members    []string `json:"members"` // addresses
	Controller          // whose name and scope it has
	Routes     []string `json:"routes"` // lines of its file
}

// indexedController is a controller with its index in the fleet.
type indexedController struct {
	Index int `json:"index"`
	Controller
}

// actionKind is something that is done to controllers.
type actionKind string

const (
	actionRestart   actionKind = "restart"   // also the first start: a new incarnation, which holds nothing
	actionReconnect actionKind = "reconnect" // the connections are closed
	actionCut       actionKind = "cut"       // nothing comes through any more, without notice
	actionHeal      actionKind = "heal"      // ends a cut; what was cut is closed
	actionReject    actionKind = "refuse"    // some changes are rejected from now on
	actionAccept    actionKind = "accept"    // ends that
	actionReport    actionKind = "report"    // the worker reports what it has measured until now
	actionFinish    actionKind = "finish"    // ends all clients; the worker reports what they hold
)

// action is done to controllers of a worker, evenly over a time.
type action struct {
	Kind        actionKind    `json:"kind"`
	Controllers []int         `json:"conductors,omitempty"` // indices in the fleet
	Over        time.Duration `json:"over_ns,omitempty"`
}

// workerReport is a line of a worker.
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
	eventStarted  eventKind = "life"     // an incarnation was started, and holds nothing
	eventJoined   eventKind = "joined"   // a member has answered on a new stream
	eventAccepted eventKind = "accepted" // it holds another revision
	eventFinal    eventKind = "final"    // what it held at the end
)

// event is what a controller reports. Its time is that of the machine, which all workers run on.
type event struct {
	Kind        eventKind `json:"k"`
	Controller  int       `json:"c"` // index in the fleet
	At          int64     `json:"t"` // Unix time in ns
	Incarnation int       `json:"l,omitempty"`
	Revision    uint64    `json:"r,omitempty"`
	Digest      Digest    `json:"d,omitempty"`
	Outside     int       `json:"o,omitempty"` // records held that are not of its scope
	Member      string    `json:"m,omitempty"` // address
}

// messageReport is what a messageMeter has counted. Its histograms are encoded.
type messageReport struct {
	FullScope         []byte `json:"FullScope"`
	Change            []byte `json:"Change"`
	Progress          []byte `json:"Progress"`
	Overhead          []byte `json:"Overhead"`
	Heartbeats        int64  `json:"Heartbeats"`
	ChangeRecords     int64  `json:"ChangeRecords"`
	FullScopeRepeated int64  `json:"FullScopeRepeated"`
	FullScopeAgain    int64  `json:"FullScopeAgain"`
}

// wireReading is what went over a worker's connections since it began, with all framing above TCP.
type wireReading struct {
	At  int64  `json:"t"` // Unix time in ns
	In  uint64 `json:"in"`
	Out uint64 `json:"out"`
}

// lineWriter writes JSON objects, one a line, from any goroutine.
type lineWriter struct {
	encoderMutex sync.Mutex
	encoder      *json.Encoder
}

func newLineWriter(out io.Writer) *lineWriter { return &lineWriter{encoder: json.NewEncoder(out)} }

// write writes one line.
func (w *lineWriter) write(line any) error {
	w.encoderMutex.Lock()
	defer w.encoderMutex.Unlock()
	return w.encoder.Encode(line)
}
