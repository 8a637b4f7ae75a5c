package cluster

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"harehook.dev/harehook/raftlog"
)

const (
	tickEvery     = 50 * time.Millisecond
	electionTicks = 10 // half a second to one without a leader
	beatTicks     = 2
	compactAfter  = 1000 // entries
	deliverWithin = 2 * time.Second
	repeatEvery   = time.Second // a proposal or a read that got no answer
	deliverMost   = 64 << 20    // bytes of a message: snapshots come whole
	peerQueue     = 256         // messages that wait for one member; more are lost, as raft allows
	askMost       = 10 * time.Second
	pingAfter     = 5 * time.Second
	pingWithin    = 2 * time.Second
	identityKey   = "harehook-identity" // of the sender's disk
	knownKey      = "harehook-known"    // the disk that the sender knows the receiver by
)

// quick are the pauses before a member that is gone is dialled again: it may be back within a second.
var quick = backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.3, MaxDelay: time.Second}

// Usual are the timings of nodes.
var Usual = Timing{Election: electionTicks, Heartbeat: beatTicks, Compact: compactAfter}

// Log is what a node keeps its promises in.
type Log interface {
	Save(raftlog.Batch) error
	Close() error
}

// Node drives a member: its clock, its disk and its connections.
type Node struct {
	Secure    func() *tls.Config      // what other members are dialled with; nil: plain
	Before    func(text string) error // says why an operator's text must not be proposed here; nil: nothing is
	Log       *zap.Logger
	Changed   chan struct{} // poked when another version is in force
	member    *Member
	disk      Log
	addresses map[uint64]string // as configured; what was agreed counts more
	inbox     chan func()
	done      chan struct{}
	waiting   map[string][]chan Result // by client and seq: one may be proposed again while it still waits
	reads     map[uint64]chan Version
	peers     map[uint64]chan *raftpb.Message // what waits for each
	told      uint64
}

// NewNode makes a node of what its disk has. Voters are those that begin the group; a member that is added later has
// none.
func NewNode(id uint64, disk Log, saved *raftlog.Saved, voters []uint64, addresses map[uint64]string, state *State, log *zap.Logger) (*Node, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, err
	}
	m, first, err := Start(id, saved, voters, state, Usual, binary.LittleEndian.Uint64(seed[:]))
	if err != nil {
		return nil, err
	}
	if err := disk.Save(first); err != nil {
		return nil, err
	}
	return &Node{member: m, disk: disk, addresses: addresses, Log: log, Changed: make(chan struct{}, 1), inbox: make(chan func(), 256),
		done: make(chan struct{}), waiting: map[string][]chan Result{}, reads: map[uint64]chan Version{}, peers: map[uint64]chan *raftpb.Message{}}, nil
}

// Register serves other members and operators on a gRPC server.
func (n *Node) Register(s *grpc.Server) { s.RegisterService(&service, n) }

// Run drives the member until ctx ends or its disk fails: what can't be kept must not be promised.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	ctx, stop := context.WithCancel(ctx)
	var sending sync.WaitGroup
	defer sending.Wait()
	defer stop()
	lead, registered := uint64(0), time.Time{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			n.member.Tick()
		case do := <-n.inbox:
			do()
		}
		for range len(n.inbox) {
			(<-n.inbox)()
		}
		if n.member.Foreign {
			err := raftlog.Refused{Why: fmt.Sprintf("the group knows member %d by another disk: remove it and add this one under a new number", n.member.ID)}
			n.Log.Error("this member stops", zap.Error(err))
			return err
		}
		out, done, reads, err := n.member.Turn(n.disk.Save)
		if err != nil {
			n.Log.Error("this member stops: what it promises can't be kept", zap.Error(err))
			return err
		}
		for _, m := range out {
			n.send(ctx, &sending, m)
		}
		for _, d := range done {
			key := fmt.Sprint(d.Command.Client, " ", d.Command.Seq)
			for _, answer := range n.waiting[key] {
				select {
				case answer <- d.Result:
				default: // it has one that it has not read, and may never
				}
			}
			delete(n.waiting, key)
		}
		for _, r := range reads {
			if answer := n.reads[r.ID]; answer != nil {
				delete(n.reads, r.ID)
				answer <- n.member.State.Current()
			}
		}
		if now := n.member.Leader(); now != lead {
			lead = now
			n.Log.Info("leader", zap.Uint64("member", lead), zap.Uint64("term", n.member.Standing().Term))
		}
		if lead != 0 && !n.member.Registered() && time.Since(registered) > time.Second {
			registered = time.Now()
			n.member.Propose(n.member.RegisterCommand())
		}
		if v := n.member.State.Current(); v.Number != n.told {
			n.told = v.Number
			n.Log.Info("version in force", zap.Uint64("number", v.Number), zap.String("by", v.By), zap.String("why", v.Why))
			select {
			case n.Changed <- struct{}{}:
			default:
			}
		}
	}
}

// ask has the member's goroutine do something and waits for it.
func (n *Node) ask(ctx context.Context, do func()) error {
	ready := make(chan struct{})
	select {
	case n.inbox <- func() { do(); close(ready) }:
	case <-n.done:
		return status.Error(codes.Unavailable, "the member has stopped")
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-ready:
		return nil
	case <-n.done:
		return status.Error(codes.Unavailable, "the member has stopped")
	}
}

// Propose has a command agreed on. An error leaves open whether it was; the same command may be proposed again.
func (n *Node) Propose(ctx context.Context, c Command) (Result, error) {
	ctx, stop := context.WithTimeout(ctx, askMost)
	defer stop()
	key, answer := fmt.Sprint(c.Client, " ", c.Seq), make(chan Result, 1)
	var fault error
	if err := n.ask(ctx, func() {
		if fault = n.member.Propose(c); fault == nil {
			n.await(key, answer)
		}
	}); err != nil {
		return Result{}, err
	}
	again := time.NewTicker(repeatEvery)
	defer again.Stop()
	for open := true; open; {
		if fault != nil && !errors.Is(fault, ErrNoLeader) && !errors.Is(fault, raft.ErrProposalDropped) {
			return Result{}, fault
		}
		select {
		case r := <-answer:
			return r, nil
		case <-n.done:
			open = false
		case <-ctx.Done():
			open = false
		case <-again.C:
			// The leader may have gone with it: the same proposal again, which is carried out once at most.
			if err := n.ask(ctx, func() { fault = n.member.Propose(c); n.await(key, answer) }); err != nil {
				open = false
			}
		}
	}
	n.ask(context.Background(), func() {
		if n.waiting[key] = slices.DeleteFunc(n.waiting[key], func(other chan Result) bool { return other == answer }); len(n.waiting[key]) == 0 {
			delete(n.waiting, key)
		}
	})
	if fault != nil {
		return Result{}, fault // it never left this member
	}
	return Result{}, status.Error(codes.DeadlineExceeded, "no answer: it may or may not have been agreed; the same proposal may be repeated")
}

// await has a result told to one more who proposed it.
func (n *Node) await(key string, answer chan Result) {
	if !slices.Contains(n.waiting[key], answer) {
		n.waiting[key] = append(n.waiting[key], answer)
	}
}

// Fresh gives the version in force once this member has all that was agreed when it was asked.
func (n *Node) Fresh(ctx context.Context) (Version, error) {
	ctx, stop := context.WithTimeout(ctx, askMost)
	defer stop()
	for {
		answer, id := make(chan Version, 1), uint64(0)
		if err := n.ask(ctx, func() {
			if asked, err := n.member.ReadFresh(); err == nil {
				id, n.reads[asked] = asked, answer
			}
		}); err != nil {
			return Version{}, err
		}
		select {
		case v := <-answer:
			return v, nil
		case <-n.done:
			return Version{}, ErrNoLeader
		case <-time.After(repeatEvery):
		case <-ctx.Done():
		}
		if id != 0 {
			if err := n.ask(context.Background(), func() {
				delete(n.reads, id)
				n.member.GiveUpRead(id)
			}); err != nil {
				return Version{}, err
			}
		}
		if ctx.Err() != nil {
			return Version{}, ErrNoLeader
		}
	}
}

// Held is the version in force here, fresh or not.
func (n *Node) Held(ctx context.Context) (v Version, err error) {
	err = n.ask(ctx, func() { v = n.member.State.Current() })
	return v, err
}

// send puts a message into its member's queue; what does not fit is lost.
func (n *Node) send(ctx context.Context, sending *sync.WaitGroup, m *raftpb.Message) {
	to := m.GetTo()
	queue := n.peers[to]
	if queue == nil {
		queue = make(chan *raftpb.Message, peerQueue)
		n.peers[to] = queue
		sending.Go(func() { n.carry(ctx, to, queue) })
	}
	select {
	case queue <- m:
	default:
		n.member.Unreachable(to)
	}
}

// carry sends what waits for a member until ctx ends. Its address may change.
func (n *Node) carry(ctx context.Context, to uint64, queue <-chan *raftpb.Message) {
	var conn *grpc.ClientConn
	at := ""
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		var m *raftpb.Message
		select {
		case <-ctx.Done():
			return
		case m = <-queue:
		}
		address, known := "", ""
		if n.ask(ctx, func() { address, known = n.address(to), n.member.State.Identities[to] }) != nil {
			return
		}
		if address != at {
			if conn != nil {
				conn.Close()
				conn = nil
			}
			at = address
		}
		if conn == nil && at != "" {
			var err error
			if conn, err = Dial(at, n.Secure); err != nil {
				n.Log.Error("member's address", zap.Uint64("member", to), zap.Error(err))
				at = ""
			}
		}
		if conn == nil {
			continue
		}
		data, err := proto.Marshal(m)
		if err != nil {
			continue
		}
		call, stop := context.WithTimeout(metadata.AppendToOutgoingContext(ctx, identityKey, n.member.Identity, knownKey, known), deliverWithin)
		err = conn.Invoke(call, path+"Deliver", wrapperspb.Bytes(data), &wrapperspb.BytesValue{})
		stop()
		if err != nil && ctx.Err() == nil {
			select {
			case n.inbox <- func() { n.member.Unreachable(to) }:
			case <-ctx.Done():
			case <-n.done:
			}
		}
	}
}

func (n *Node) address(id uint64) string {
	if a := n.member.State.Addresses[id]; a != "" {
		return a
	}
	return n.addresses[id]
}

// Dial prepares a connection to a member.
func Dial(address string, secure func() *tls.Config) (*grpc.ClientConn, error) {
	how := insecure.NewCredentials()
	if secure != nil {
		how = credentials.NewTLS(secure())
	}
	return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(how),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter * 2, Timeout: pingWithin}),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: deliverWithin, Backoff: quick}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(deliverMost), grpc.MaxCallSendMsgSize(deliverMost)))
}

// Serve makes a gRPC server for members and operators.
func Serve(secure *tls.Config) *grpc.Server {
	options := []grpc.ServerOption{grpc.MaxRecvMsgSize(deliverMost), grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingAfter, Timeout: pingWithin}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingAfter, PermitWithoutStream: true})}
	if secure != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(secure)))
	}
	return grpc.NewServer(options...)
}

// Report is what an operator is told of a member.
type Report struct {
	Standing   Standing          `json:"standing"`
	Addresses  map[uint64]string `json:"addresses"`
	Identities map[uint64]string `json:"identities"`
	Refused    uint64            `json:"refused"` // messages of an unknown disk under a known number
}

// MembersAsked is a change of members that an operator asks for.
type MembersAsked struct {
	Change  Change `json:"change"`
	Address string `json:"address,omitempty"` // of the one that is added
	Lead    uint64 `json:"lead,omitempty"`    // hand leadership to it
}

// ReadAsked says what an operator wants to read.
type ReadAsked struct {
	Fresh   bool `json:"fresh"`
	History bool `json:"history"`
}

// Reading is what is in force, or the history.
type Reading struct {
	Fresh    bool      `json:"fresh"`
	Versions []Version `json:"versions"`
}

// path begins the names of the group's calls on the wire. Bodies are bytes: a raft message, or JSON for operators.
const path = "/harehook.cluster.v1.Group/"

type group interface{ group() }

func (n *Node) group() {}

var service = grpc.ServiceDesc{ServiceName: "harehook.cluster.v1.Group", HandlerType: (*group)(nil), Methods: []grpc.MethodDesc{
	method("Deliver", (*Node).deliver),
	method("Propose", asked((*Node).propose)),
	method("Read", asked((*Node).read)),
	method("Status", asked(func(n *Node, ctx context.Context, _ struct{}) (Report, error) { return n.Status(ctx) })),
	method("Members", asked((*Node).members)),
}}

func method(name string, do func(n *Node, ctx context.Context, body []byte) ([]byte, error)) grpc.MethodDesc {
	return grpc.MethodDesc{MethodName: name, Handler: func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		var in wrapperspb.BytesValue
		if err := decode(&in); err != nil {
			return nil, err
		}
		out, err := do(srv.(*Node), ctx, in.GetValue())
		if err != nil {
			if _, is := status.FromError(err); !is {
				code := codes.FailedPrecondition
				if errors.Is(err, ErrNoLeader) {
					code = codes.Unavailable
				}
				err = status.Error(code, err.Error())
			}
			return nil, err
		}
		return wrapperspb.Bytes(out), nil
	}}
}

// asked is a call whose bodies are JSON.
func asked[In, Out any](do func(n *Node, ctx context.Context, in In) (Out, error)) func(n *Node, ctx context.Context, body []byte) ([]byte, error) {
	return func(n *Node, ctx context.Context, body []byte) ([]byte, error) {
		var in In
		if err := json.Unmarshal(body, &in); err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		out, err := do(n, ctx, in)
		if err != nil {
			return nil, err
		}
		return json.Marshal(out)
	}
}

// Ask makes an operator's call.
func Ask[Out any](ctx context.Context, conn *grpc.ClientConn, name string, in any) (out Out, err error) {
	body, err := json.Marshal(in)
	if err != nil {
		return out, err
	}
	var got wrapperspb.BytesValue
	if err := conn.Invoke(ctx, path+name, wrapperspb.Bytes(body), &got); err != nil {
		return out, err
	}
	return out, json.Unmarshal(got.GetValue(), &out)
}

func (n *Node) deliver(ctx context.Context, body []byte) ([]byte, error) {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(body, m); err != nil || m.GetTo() != n.member.ID || m.GetFrom() == 0 {
		return nil, status.Error(codes.InvalidArgument, "not a message for this member")
	}
	told, _ := metadata.FromIncomingContext(ctx)
	first := func(key string) string { return append(told.Get(key), "")[0] }
	return nil, n.ask(ctx, func() { n.member.Step(first(identityKey), first(knownKey), m) })
}

// propose is an operator's proposal. What this conductor knows of its nodes and routes is asked here, before it goes
// into the log: there only the text itself counts.
func (n *Node) propose(ctx context.Context, c Command) (r Result, err error) {
	text := c.Text
	if c.Kind != Put && c.Kind != RollBack {
		return r, status.Error(codes.InvalidArgument, "operators put or roll back")
	}
	if c.Kind == RollBack {
		if err := n.ask(ctx, func() { v, _ := n.member.State.Find(c.To); text = v.Text }); err != nil {
			return r, err
		}
	}
	if n.Before != nil && text != "" {
		if err := n.Before(text); err != nil {
			return r, status.Error(codes.InvalidArgument, err.Error())
		}
	}
	return n.Propose(ctx, c)
}

func (n *Node) read(ctx context.Context, in ReadAsked) (out Reading, err error) {
	if in.Fresh {
		v, err := n.Fresh(ctx)
		if err != nil {
			return out, err
		}
		out = Reading{Fresh: true, Versions: []Version{v}}
	}
	if in.History || !in.Fresh {
		err = n.ask(ctx, func() {
			out.Versions = []Version{n.member.State.Current()}
			if in.History {
				out.Versions = slices.Clone(n.member.State.Versions)
			}
		})
	}
	return out, err
}

// Status tells what this member knows.
func (n *Node) Status(ctx context.Context) (r Report, err error) {
	err = n.ask(ctx, func() {
		r = Report{Standing: n.member.Standing(), Addresses: maps.Clone(n.addresses), Identities: maps.Clone(n.member.State.Identities),
			Refused: n.member.Refused}
		if r.Addresses == nil {
			r.Addresses = map[uint64]string{}
		}
		maps.Copy(r.Addresses, n.member.State.Addresses)
	})
	return r, err
}

// members changes who is in the group. One that is added is a learner first; promoting it is a change of its own.
func (n *Node) members(ctx context.Context, in MembersAsked) (r Report, err error) {
	if in.Address != "" {
		if _, _, bad := net.SplitHostPort(in.Address); bad != nil {
			return r, bad
		}
		for _, id := range append(slices.Clone(in.Change.Learn), in.Change.Add...) {
			if _, err := n.Propose(ctx, Command{Kind: Place, Client: fmt.Sprint("place-", id, "-", time.Now().UnixNano()), Seq: 1, Member: id, Text: in.Address}); err != nil {
				return r, err
			}
		}
	}
	var fault error
	if err := n.ask(ctx, func() {
		if in.Lead != 0 {
			fault = n.member.Transfer(in.Lead)
		} else if len(in.Change.Add)+len(in.Change.Learn)+len(in.Change.Remove) > 0 {
			fault = n.member.ChangeMembers(in.Change)
		}
	}); err != nil {
		return r, err
	}
	if fault != nil {
		return r, fault
	}
	// What comes of it shows in the status.
	end := time.Now().Add(askMost / 2)
	for {
		if r, err = n.Status(ctx); err != nil || settled(r.Standing, in) || time.Now().After(end) {
			return r, err
		}
		time.Sleep(tickEvery)
	}
}

// settled tells whether a change of members shows.
func settled(s Standing, in MembersAsked) bool {
	for _, id := range in.Change.Add {
		if !slices.Contains(s.Voters, id) {
			return false
		}
	}
	for _, id := range in.Change.Learn {
		if !slices.Contains(s.Learners, id) {
			return false
		}
	}
	for _, id := range in.Change.Remove {
		if slices.Contains(s.Voters, id) || slices.Contains(s.Learners, id) {
			return false
		}
	}
	return !s.Joint && (in.Lead == 0 || s.Leader == in.Lead)
}
