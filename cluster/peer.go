package cluster

import (
	"context"

	"go.etcd.io/raft/v3/raftpb"
	"go.uber.org/zap"
	"google.golang.org/grpc"
)

// peerQueueSize is the number of messages queued for one member. Further messages are dropped, which Raft tolerates.
const peerQueueSize = 256

// enqueue adds a message to the queue of its receiver, and drops it if the queue is full. Each queue has a goroutine,
// which ends when ctx is done.
func (n *Node) enqueue(ctx context.Context, message *raftpb.Message) {
	to := message.GetTo()
	queue := n.peerQueues[to]
	if queue == nil {
		queue = make(chan *raftpb.Message, peerQueueSize)
		n.peerQueues[to] = queue
		n.senders.Go(func() { n.runPeer(ctx, to, queue) })
	}
	select {
	case queue <- message:
	default:
		n.member.ReportUnreachable(to)
	}
}

// runPeer sends the messages queued for a member until ctx is done.
func (n *Node) runPeer(ctx context.Context, to uint64, queue <-chan *raftpb.Message) {
	p := &peer{node: n, id: to}
	defer p.close()
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-queue:
			if err := p.send(ctx, message); err != nil {
				return
			}
		}
	}
}

// peer holds the connection to another member. It must be used by only one goroutine.
type peer struct {
	node    *Node
	id      uint64
	address string // address that conn is for
	conn    *grpc.ClientConn
}

// send sends a message. If that fails, the message is lost, and a failed delivery is reported to the member. It returns
// an error only if the node has stopped.
func (p *peer) send(ctx context.Context, message *raftpb.Message) error {
	var address, receiverIdentity string
	err := p.node.runOnLoop(ctx, func() {
		address = p.node.address(p.id)
		receiverIdentity = p.node.member.State.Identities[p.id]
	})
	if err != nil {
		return err
	}
	if !p.dial(address) {
		return nil
	}
	err = deliver(ctx, p.conn, p.node.member.Identity, receiverIdentity, message)
	if err != nil && ctx.Err() == nil {
		p.reportUnreachable(ctx)
	}
	return nil
}

// reportUnreachable reports to the member that a message to this peer was lost.
func (p *peer) reportUnreachable(ctx context.Context) {
	report := func() { p.node.member.ReportUnreachable(p.id) }
	select {
	case p.node.requests <- report:
	case <-ctx.Done():
	case <-p.node.stopped:
	}
}

// dial creates the connection to an address, which may have changed, and reports whether there is a connection.
func (p *peer) dial(address string) (connected bool) {
	if address != p.address {
		p.close()
		p.address = address
	}
	if p.conn == nil && address != "" {
		conn, err := Dial(address, p.node.TLSConfig)
		if err != nil {
			p.node.Log.Error("connection to member could not be created", zap.Uint64("member", p.id), zap.String("address", address), zap.Error(err))
			p.address = ""
			return false
		}
		p.conn = conn
	}
	return p.conn != nil
}

func (p *peer) close() {
	if p.conn != nil {
		p.conn.Close()
		p.conn = nil
	}
}

// address returns the agreed address of a member, or else the configured one.
func (n *Node) address(id uint64) string {
	if agreed := n.member.State.Addresses[id]; agreed != "" {
		return agreed
	}
	return n.addresses[id]
}
