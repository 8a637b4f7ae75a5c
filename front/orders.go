package front

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/conductor"
	"harehook.dev/harehook/protocol"
)

const (
	answerWithin = 75 * time.Millisecond // an answer comes within 50 ms or never; the rest is our own turn
	writeWithin  = 75 * time.Millisecond // a call of 60 kB at most fits into the socket's buffer
	reuseWithin  = 2 * time.Second       // the relay closes connections idle for 10 s or less
	startPause   = 50 * time.Millisecond // before the next try when the run has not begun
)

// Orders holds what waits for the relay. It is the core's carrier.
type Orders struct {
	lock  sync.Mutex
	calls protocol.Calls
	more  chan struct{}
}

// NewOrders makes an empty one.
func NewOrders() *Orders { return &Orders{more: make(chan struct{}, 1)} }

// Carry implements conductor.Carrier.
func (o *Orders) Carry(batch []conductor.Order) {
	o.lock.Lock()
	o.calls.Add(batch)
	o.lock.Unlock()
	select {
	case o.more <- struct{}{}:
	default:
	}
}

func (o *Orders) next() []byte {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.calls.Next()
}

func (o *Orders) answer(line []byte) (protocol.Verdict, conductor.Order) {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.calls.Answer(line)
}

// carry sends calls, one at a time, until ctx ends.
func (f *Front) carry(ctx context.Context) {
	var road road
	defer road.close()
	var pause backoff
	for {
		call := f.Orders.next()
		if call == nil {
			select {
			case <-ctx.Done():
				return
			case <-f.Orders.more:
			}
			continue
		}
		line, err := road.call(ctx, f.Relay, call)
		if ctx.Err() != nil {
			return
		}
		f.Counters.Calls.Add(1)
		verdict, order := f.Orders.answer(line)
		switch verdict {
		case protocol.Taken:
			pause.reset()
			continue
		case protocol.Partly:
			pause.reset()
			f.Counters.Refused.Add(1)
			f.Log.Info("order refused", zap.Any("order", order))
			continue
		case protocol.Later:
			sleep(ctx, startPause)
			continue
		case protocol.Invalid:
			f.Counters.Refused.Add(1)
			f.Log.Error("the relay saw no call", zap.ByteString("call", call[:min(len(call), 200)]),
				zap.ByteString("answer", line), zap.Any("order", order))
			continue
		case protocol.Doubted:
			f.Counters.Doubted.Add(1)
			f.Log.Warn("call in doubt", zap.ByteString("answer", line), zap.Error(err))
			road.close()
			pause.wait(ctx)
		}
	}
}

// road is the connection that calls go by.
type road struct {
	conn    net.Conn
	release func()
	used    time.Time
}

func (r *road) close() {
	if r.conn != nil {
		r.release()
		r.conn = nil
	}
}

// call sends one call and reads its answer; nil if none came.
func (r *road) call(ctx context.Context, address string, call []byte) ([]byte, error) {
	if r.conn != nil && time.Since(r.used) > reuseWithin {
		r.close()
	}
	if r.conn == nil {
		conn, release, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		r.conn, r.release = conn, release
	}
	line, err := r.exchange(call)
	if err != nil {
		r.close()
		return nil, err
	}
	r.used = time.Now()
	return line, nil
}

func (r *road) exchange(call []byte) ([]byte, error) {
	r.conn.SetWriteDeadline(time.Now().Add(writeWithin))
	if _, err := r.conn.Write(call); err != nil {
		return nil, err
	}
	r.conn.SetReadDeadline(time.Now().Add(answerWithin))
	var lines protocol.Lines
	buf := make([]byte, 512)
	for {
		n, err := r.conn.Read(buf)
		lines.Feed(buf[:n])
		if line, ok, bad := lines.Next(); ok || bad != nil {
			return line, bad
		}
		if err != nil {
			return nil, err
		}
	}
}
