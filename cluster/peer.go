package cluster

import (
	"context"

	"go.etcd.io/raft/v3/raftpb"
	"go.uber.org/zap"
	"google.golang.org/grpc"
)

// peerQueueSize is how many messages wait for one member; more are lost, which Raft allows.
const peerQueueSize = 256

// enqueue puts a message into the queue of its member; one that does not fit is lost. Each queue has a goroutine, which
// ends with ctx.
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

// runPeer sends what is queued for a member until ctx ends.
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

// peer is the connection to another member. It is used by one goroutine.
type peer struct {
	node    *Node
	id      uint64
	address string // that conn is for
	conn    *grpc.ClientConn
}

// send sends a message. One that cannot be sent is lost, and the member is told so. The error says that the node has
// stopped.
func (p *peer) send(ctx context.Context, message *raftpb.Message) error {
	var address, known string
	err := p.node.runOnLoop(ctx, func() {
		address = p.node.address(p.id)
		known = p.node.member.State.Identities[p.id]
	})
	if err != nil {
		return err
	}
	if !p.dial(address) {
		return nil
	}
	err = deliver(ctx, p.conn, p.node.member.Identity, known, message)
	if err != nil && ctx.Err() == nil {
		p.reportUnreachable(ctx)
	}
	return nil
}

// reportUnreachable reports to the member that messages to this peer are lost.
func (p *peer) reportUnreachable(ctx context.Context) {
	report := func() { p.node.member.ReportUnreachable(p.id) }
	select {
	case p.node.requests <- report:
	case <-ctx.Done():
	case <-p.node.stopped:
	}
}

// dial has the connection go to an address, which may have changed, and reports whether there is one.
func (p *peer) dial(address string) (connected bool) {
	if address != p.address {
		p.close()
		p.address = address
	}
	if p.conn == nil && address != "" {
		conn, err := Dial(address, p.node.TLSConfig)
		if err != nil {
			p.node.Log.Error("member cannot be dialled", zap.Uint64("member", p.id), zap.String("address", address), zap.Error(err))
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

// address is where a member is reached: as agreed on, else as configured.
func (n *Node) address(id uint64) string {
	if agreed := n.member.State.Addresses[id]; agreed != "" {
		return agreed
	}
	return n.addresses[id]
}
