package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"harehook.dev/harehook/records"
)

// StatusReport is what an operator is told of a member.
type StatusReport struct {
	Status           Status            `json:"standing"`
	Addresses        map[uint64]string `json:"addresses"`
	Identities       map[uint64]string `json:"identities"`
	RejectedMessages uint64            `json:"refused"` // messages of an unknown disk under a known number
}

// MembershipRequest is a change of members that an operator asks for.
type MembershipRequest struct {
	Change  MembershipChange `json:"change"`
	Address string           `json:"address,omitempty"` // of the one that is added
	Lead    uint64           `json:"lead,omitempty"`    // hand leadership to it
}

// ReadRequest says what an operator wants to read.
type ReadRequest struct {
	Linearizable bool `json:"fresh"`
	History      bool `json:"history"`
	// Texts names the versions of the history whose texts are wanted; nil: of all. An empty list asks for none.
	Texts []uint64 `json:"texts"`
}

// ReadResponse is what is in force, or the history.
type ReadResponse struct {
	Linearizable bool      `json:"fresh"`
	Versions     []Version `json:"versions"`
}

// RecordsRequest says which records an operator wants to read: some keys, or a kind and a service.
type RecordsRequest struct {
	Keys    []records.Key `json:"keys,omitempty"`
	Kind    records.Kind  `json:"kind,omitempty"`    // 0: all
	Service string        `json:"service,omitempty"` // empty: all
}

func (in RecordsRequest) wantedKinds() []records.Kind {
	if in.Kind != 0 {
		return []records.Kind{in.Kind}
	}
	return []records.Kind{records.KindRoute, records.KindService, records.KindTenant, records.KindOverride}
}

// RecordsResponse is what was read.
type RecordsResponse struct {
	Revision uint64       `json:"revision"` // as of which it is complete
	Records  []ReadRecord `json:"records"`
	More     bool         `json:"more,omitempty"` // there are more than one reading holds
}

// ReadRecord is a record as operators read it.
type ReadRecord struct {
	Key      records.Key     `json:"key"`
	Revision uint64          `json:"revision"`
	Body     json.RawMessage `json:"body"`
}

func readRecord(record *records.Record) ReadRecord {
	return ReadRecord{Key: record.Key, Revision: record.Revision, Body: record.Body}
}

const (
	// maxReadTextBytes bounds the texts in one answer to an operator: half of a message.
	maxReadTextBytes = maxCallBytes / 2
	// maxRecordsRead bounds the records in one answer, at some 150 bytes each, to a message.
	maxRecordsRead = 300000
)

// methodPrefix begins the names of the group's calls on the wire. Bodies are bytes: a raft message, or JSON for operators.
const methodPrefix = "/harehook.cluster.v1.Group/"

type groupServer interface{ group() }

func (n *Node) group() {}

var service = grpc.ServiceDesc{ServiceName: "harehook.cluster.v1.Group", HandlerType: (*groupServer)(nil), Methods: []grpc.MethodDesc{
	unaryMethod("Deliver", (*Node).handleDeliver),
	unaryMethod("Propose", jsonMethod((*Node).handlePropose)),
	unaryMethod("Read", jsonMethod((*Node).handleRead)),
	unaryMethod("Records", jsonMethod((*Node).handleRecords)),
	unaryMethod("Status", jsonMethod(func(n *Node, ctx context.Context, _ struct{}) (StatusReport, error) { return n.Status(ctx) })),
	unaryMethod("Members", jsonMethod((*Node).handleMembers)),
}}

func unaryMethod(name string, do func(n *Node, ctx context.Context, body []byte) ([]byte, error)) grpc.MethodDesc {
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

// jsonMethod is a call whose bodies are JSON.
func jsonMethod[In, Out any](do func(n *Node, ctx context.Context, in In) (Out, error)) func(n *Node, ctx context.Context, body []byte) ([]byte, error) {
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

// Call makes an operator's call.
func Call[Out any](ctx context.Context, conn *grpc.ClientConn, name string, in any) (out Out, err error) {
	body, err := json.Marshal(in)
	if err != nil {
		return out, err
	}
	var got wrapperspb.BytesValue
	if err := conn.Invoke(ctx, methodPrefix+name, wrapperspb.Bytes(body), &got); err != nil {
		return out, err
	}
	return out, json.Unmarshal(got.GetValue(), &out)
}

// handlePropose is an operator's proposal. What this conductor knows of its nodes and routes is asked here, before it goes
// into the log: there only the proposal itself counts.
func (n *Node) handlePropose(ctx context.Context, c Command) (r Result, err error) {
	if c.Kind != CommandPut && c.Kind != CommandRollBack && c.Kind != CommandRecords {
		return r, status.Error(codes.InvalidArgument, "operators put, change records or roll back")
	}
	if err := n.member.State.Validate(c); err != nil {
		return r, status.Error(codes.InvalidArgument, err.Error())
	}
	if n.CheckProposal != nil {
		if err := n.checkProposal(ctx, c); err != nil {
			return r, err
		}
	}
	return n.Propose(ctx, c)
}

// checkProposal asks Before about the records that a command would lead to, tenants left out.
func (n *Node) checkProposal(ctx context.Context, c Command) error {
	wholeTexts := false
	if err := n.runOnLoop(ctx, func() { wholeTexts = n.member.State.WholeTexts }); err != nil {
		return err
	}
	transaction, err := n.member.State.transaction(c, wholeTexts)
	if err != nil {
		return nil // as a version that is not kept: the group refuses it and says so
	}
	held := n.member.State.Store().OfKinds(records.KindRoute, records.KindService, records.KindOverride).Records
	proposed, err := recordsAfter(held, transaction.Writes)
	if err == nil {
		err = n.CheckProposal(proposed)
	}
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	return nil
}

// recordsAfter gives records as they would be after writes, ordered by key and without tenants.
func recordsAfter(held []*records.Record, writes []records.Write) ([]*records.Record, error) {
	byKey := make(map[records.Key]*records.Record, len(held))
	for _, record := range held {
		byKey[record.Key] = record
	}
	for _, write := range writes {
		delete(byKey, write.Key)
		if len(write.Body) == 0 || write.Key.Kind == records.KindTenant {
			continue
		}
		record, err := records.Parse(write.Key, write.Body)
		if err != nil {
			return nil, err
		}
		byKey[write.Key] = record
	}
	return slices.SortedFunc(maps.Values(byKey), func(a, b *records.Record) int { return a.Key.Compare(b.Key) }), nil
}

func (n *Node) handleRead(ctx context.Context, in ReadRequest) (out ReadResponse, err error) {
	var current Version
	var kept []Version
	if in.Linearizable {
		if current, err = n.confirmRead(ctx); err != nil {
			return out, err
		}
	}
	if err := n.runOnLoop(ctx, func() {
		if !in.Linearizable {
			current = n.member.State.Latest()
		}
		kept = slices.Clone(n.member.State.Versions)
	}); err != nil {
		return out, err
	}
	out.Linearizable = in.Linearizable
	if !in.History {
		if current, err = n.withText(current); err != nil {
			return out, err
		}
		out.Versions = []Version{current}
		return out, nil
	}
	out.Versions = n.withTexts(kept, in.Texts)
	return out, nil
}

// withTexts gives versions their texts, the newest first, as long as the answer has room. If only some are wanted, the
// others get none; a version that lacks its text though it is wanted had no room or is not kept whole any more.
func (n *Node) withTexts(versions []Version, only []uint64) []Version {
	room := maxReadTextBytes
	for at := len(versions) - 1; at >= 0 && room > 0; at-- {
		if only != nil && !slices.Contains(only, versions[at].Number) {
			continue
		}
		if text, kept := n.member.State.TextOf(versions[at].Number); kept && len(text) <= room {
			versions[at].Text = text
			room -= len(text)
		}
	}
	return versions
}

// handleRecords gives the records that an operator asks for, fresh.
func (n *Node) handleRecords(ctx context.Context, in RecordsRequest) (out RecordsResponse, err error) {
	if _, err := n.confirmRead(ctx); err != nil {
		return out, err
	}
	store := n.member.State.Store()
	if len(in.Keys) > 0 {
		for _, key := range in.Keys {
			if record := store.Get(key); record != nil {
				out.Records = append(out.Records, readRecord(record))
			}
		}
		out.Revision = store.Revision()
		return out, nil
	}
	view := store.OfKinds(in.wantedKinds()...)
	out.Revision = view.Revision
	for _, record := range view.Records {
		if in.Service != "" && record.Service != in.Service {
			continue
		}
		if len(out.Records) == maxRecordsRead {
			out.More = true
			break
		}
		out.Records = append(out.Records, readRecord(record))
	}
	return out, nil
}

// Status tells what this member knows.
func (n *Node) Status(ctx context.Context) (r StatusReport, err error) {
	err = n.runOnLoop(ctx, func() {
		r = StatusReport{Status: n.member.Status(), Addresses: maps.Clone(n.addresses), Identities: maps.Clone(n.member.State.Identities),
			RejectedMessages: n.member.RejectedMessages}
		if r.Addresses == nil {
			r.Addresses = map[uint64]string{}
		}
		maps.Copy(r.Addresses, n.member.State.Addresses)
	})
	return r, err
}

// handleMembers changes who is in the group. One that is added is a learner first; promoting it is a change of its own.
func (n *Node) handleMembers(ctx context.Context, in MembershipRequest) (r StatusReport, err error) {
	if err := n.setAddedAddresses(ctx, in); err != nil {
		return r, err
	}
	var fault error
	if err := n.runOnLoop(ctx, func() {
		if in.Lead != 0 {
			fault = n.member.TransferLeadership(in.Lead)
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
	end := time.Now().Add(requestTimeout / 2)
	for {
		if r, err = n.Status(ctx); err != nil || membershipSettled(r.Status, in) || time.Now().After(end) {
			return r, err
		}
		time.Sleep(tickInterval)
	}
}

// setAddedAddresses has the group know the address of those that are added.
func (n *Node) setAddedAddresses(ctx context.Context, in MembershipRequest) error {
	if in.Address == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(in.Address); err != nil {
		return err
	}
	for _, id := range append(slices.Clone(in.Change.Learn), in.Change.Add...) {
		client := fmt.Sprint("place-", id, "-", time.Now().UnixNano())
		if _, err := n.Propose(ctx, Command{Kind: CommandSetAddress, Client: client, Seq: 1, Member: id, Text: in.Address}); err != nil {
			return err
		}
	}
	return nil
}

// membershipSettled tells whether a change of members shows.
func membershipSettled(s Status, in MembershipRequest) bool {
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
	return !s.JointConsensus && (in.Lead == 0 || s.Leader == in.Lead)
}
