package loadtest

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"harehook.dev/harehook/configsync"
)

// This file defines the protocol between a run and its workers, which are processes of the same program or, in tests,
// goroutines. Each line is a JSON object: commands on a worker's standard input, reports on its standard output. A
// worker exits when its input ends. The JSON names are those of the first release.

// The roles of a worker. The first command that a worker receives contains the setup for its role.
const (
	RoleMember      = "member"     // a member of the group
	RoleControllers = "conductors" // simulated controllers
	RoleProgram     = "program"    // a harehook-xds process as one controller
)

// workerCommand is a line on a worker's input. Exactly one field is set.
type workerCommand struct {
	Member      *memberSetup      `json:"member,omitempty"`
	Controllers *controllersSetup `json:"conductors,omitempty"`
	Program     *programSetup     `json:"program,omitempty"`
	Action      *action           `json:"action,omitempty"`
}

// memberSetup holds the settings of a member of the group.
type memberSetup struct {
	ID        uint64            `json:"id"`
	Folder    string            `json:"folder"`    // of its Raft log
	Addresses map[uint64]string `json:"addresses"` // of all members, by ID
}

// controllersSetup holds the settings of a worker that simulates controllers.
type controllersSetup struct {
	Members     []string            `json:"members"` // addresses
	Lease       time.Duration       `json:"lease_ns"`
	Seed        uint64              `json:"seed"`
	Controllers []indexedController `json:"conductors"`
}

// programSetup holds the settings of a worker that runs harehook-xds as a controller that follows the group.
type programSetup struct {
	Program    string   `json:"program"` // path of the executable
	Folder     string   `json:"folder"`  // of its configuration and log files
	Members    []string `json:"members"` // addresses
	Controller          // its name and scope
	Routes     []string `json:"routes"` // lines of its configuration file
}

// indexedController is a controller with its index in the fleet.
type indexedController struct {
	Index int `json:"index"`
	Controller
}

// actionKind is the kind of an action.
type actionKind string

const (
	actionRestart   actionKind = "restart"   // starts a new incarnation without records, also for the first start
	actionReconnect actionKind = "reconnect" // closes the connections
	actionCut       actionKind = "cut"       // drops all traffic without closing the connections
	actionHeal      actionKind = "heal"      // ends a cut and closes the connections that were cut
	actionReject    actionKind = "refuse"    // starts to reject some of the changes
	actionAccept    actionKind = "accept"    // accepts all changes again
	actionReport    actionKind = "report"    // requests a report of the measurements so far
	actionFinish    actionKind = "finish"    // stops all clients and requests a report of their records
)

// action is an operation on controllers of a worker.
type action struct {
	Kind        actionKind    `json:"kind"`
	Controllers []int         `json:"conductors,omitempty"` // indices in the fleet
	Spread      time.Duration `json:"over_ns,omitempty"`    // total time; the controllers are spaced evenly
}

// workerReport is a line on a worker's output.
type workerReport struct {
	Ready    bool               `json:"ready,omitempty"`    // the worker is set up, or serves as a member
	PID      int                `json:"pid,omitempty"`      // process ID of the program that the worker runs
	Failed   string             `json:"failed,omitempty"`   // the error with which the worker exits
	Events   []event            `json:"events,omitempty"`   // in order for each controller
	Wire     *wireReading       `json:"wire,omitempty"`     // every wireReportInterval
	Messages *messageReport     `json:"messages,omitempty"` // answers actionReport and actionFinish
	Counts   *configsync.Counts `json:"counts,omitempty"`   // message counts of a member, every countsInterval
	Finished bool               `json:"finished,omitempty"` // last report of a worker that simulates controllers
}

// eventKind is the kind of an event.
type eventKind string

const (
	eventStarted  eventKind = "life"     // an incarnation started, without records
	eventJoined   eventKind = "joined"   // a member sent the first response on a new stream
	eventAccepted eventKind = "accepted" // the controller accepted a revision
	eventFinal    eventKind = "final"    // the records of the controller when its client was stopped
)

// event is a change of a controller's state. All workers run on one machine, so the times of their events are
// comparable.
type event struct {
	Kind        eventKind `json:"k"`
	Controller  int       `json:"c"` // index in the fleet
	At          int64     `json:"t"` // Unix time in ns
	Incarnation int       `json:"l,omitempty"`
	Revision    uint64    `json:"r,omitempty"`
	Digest      Digest    `json:"d,omitempty"`
	Outside     int       `json:"o,omitempty"` // number of records outside its scope
	Member      string    `json:"m,omitempty"` // address
}

// messageReport holds the counts of a messageMeter. Its histograms are encoded.
type messageReport struct {
	FullScope       []byte `json:"FullScope"`
	Change          []byte `json:"Change"`
	Progress        []byte `json:"Progress"`
	Overhead        []byte `json:"Overhead"`
	Heartbeats      int64  `json:"Heartbeats"`
	ChangeRecords   int64  `json:"ChangeRecords"`
	FullScopeInStep int64  `json:"FullScopeRepeated"`
	FullScopeAgain  int64  `json:"FullScopeAgain"`
}

// wireReading holds the bytes that a worker has received and sent since it started, including all framing above TCP.
type wireReading struct {
	At  int64  `json:"t"` // Unix time in ns
	In  uint64 `json:"in"`
	Out uint64 `json:"out"`
}

// lineWriter writes JSON objects, one per line. It is safe for concurrent use.
type lineWriter struct {
	encoderMutex sync.Mutex
	encoder      *json.Encoder
}

func newLineWriter(out io.Writer) *lineWriter { return &lineWriter{encoder: json.NewEncoder(out)} }

// write encodes an object as one line.
func (w *lineWriter) write(line any) error {
	w.encoderMutex.Lock()
	defer w.encoderMutex.Unlock()
	return w.encoder.Encode(line)
}
