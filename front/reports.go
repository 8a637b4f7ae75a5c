package front

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/conductor"
	"harehook.dev/harehook/protocol"
)

const (
	strangerSilence  = 10 * time.Second       // for a first whole message, and for the rest of any
	collectorSilence = 2 * time.Minute        // a zone without calls has nothing to report
	pongWithin       = 500 * time.Millisecond // a PONG of a few bytes only waits for one who never reads
	heldMost         = 48 << 20               // bytes of all connections' messages together, of 192 MB in all
)

// reports reads one connection until it ends, says nothing for too long, or can't be understood.
func (f *Front) reports(ctx context.Context, in *peer, all *peers) {
	stop := context.AfterFunc(ctx, func() { in.conn.Close() })
	defer stop()
	defer in.conn.Close()
	var frames protocol.Frames
	buf := make([]byte, readSize)
	var begun time.Time // when the message that waits for its rest began, if one does
	for {
		in.conn.SetReadDeadline(in.patience(begun))
		n, err := read(in.conn, buf)
		if n > 0 {
			frames.Feed(buf[:n])
			heard := in.heard.Load()
			if err := f.messages(ctx, in, &frames); err != nil {
				f.counters.BadFrames.Add(1)
				f.Log.Warn("connection closed", zap.Stringer("from", in.conn.RemoteAddr()), zap.Error(err))
				return
			}
			frames.Trim()
			switch {
			case !frames.Partial():
				begun = time.Time{}
			case begun.IsZero() || in.heard.Load() != heard: // it is another one
				begun = time.Now()
			}
			if all.hold(in, frames.Held()) {
				f.counters.TurnedAway.Add(1)
				f.Log.Warn("messages take too much memory: the connection that holds most was closed")
			}
		}
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				f.counters.Idle.Add(1)
			}
			return
		}
	}
}

// patience is until when a connection may say nothing more. A message once begun has its own time: a
// collector may have been quiet for long before it.
func (p *peer) patience(begun time.Time) time.Time {
	switch heard := time.Unix(0, p.heard.Load()); {
	case !begun.IsZero():
		return begun.Add(strangerSilence)
	case p.named.Load():
		return heard.Add(collectorSilence)
	default:
		return heard.Add(strangerSilence)
	}
}

// messages tells the core every whole message. One that can't be used is counted and left out.
func (f *Front) messages(ctx context.Context, in *peer, frames *protocol.Frames) error {
	for {
		body, err := frames.Next()
		if err != nil || body == nil {
			return err
		}
		in.heard.Store(time.Now().UnixNano())
		m, err := protocol.Decode(body)
		if err != nil {
			f.counters.BadMessages.Add(1)
			f.Log.Warn("message refused", zap.Stringer("from", in.conn.RemoteAddr()), zap.Error(err))
			continue
		}
		f.counters.Messages.Add(1)
		switch m.Kind {
		case protocol.KindPing:
			select {
			case <-f.Core.Ready():
			case <-ctx.Done():
				return ctx.Err()
			}
			in.conn.SetWriteDeadline(time.Now().Add(pongWithin))
			out := net.Buffers{protocol.FrameHead(len(protocol.Pong)), []byte(protocol.Pong)}
			if _, err := out.WriteTo(in.conn); err != nil {
				return err
			}
		case protocol.KindSource:
			in.named.Store(true)
		case protocol.KindLoad:
			f.Core.NodeSums(conductor.Sums{Node: m.Target, Ended: int(m.Count), Lost: int(m.Fail),
				Mean: m.Mean / protocol.MSPerSecond, Report: m.Util})
		case protocol.KindRate:
			f.Core.RouteUsage(int(*m.ID), m.Lane, int(m.Count), m.Over/protocol.MSPerSecond)
		}
	}
}
