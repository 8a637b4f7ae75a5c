package front

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/protocol"
)

const (
	holdMS = 1000 // a wait; asking anew costs nothing, and a connection gone silent shows soon after

	listWithin  = 500 * time.Millisecond // for the agent's answer, beyond the wait
	listBetween = time.Millisecond       // between two requests at least, if waits end at once; 200 ms at most
)

// watch follows discovery's list until its run ends. After any failure it asks for the whole list.
func (f *Front) watch(run *run) {
	ctx, pause := run.ctx, redial()
	var from *uint64 // the version that is held, nil for none that is sure
	discovery := condition{log: f.Log, party: "discovery"}
	for pause.wait(ctx) {
		conn, release, err := dial(ctx, run.address)
		if err == nil {
			from, err = f.ask(run, conn, from, func() {
				pause.reset()
				discovery.works()
			})
			release()
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			continue // it said that this connection carries no more
		}
		f.counters.ListsBroken.Add(1)
		if discovery.failed(err) {
			f.Core.ListFailed()
		}
	}
}

// ask asks on one connection for what is newer than from, until it breaks or is said to end. It gives the
// version that is held then, nil for none that is sure.
func (f *Front) ask(run *run, conn net.Conn, from *uint64, answered func()) (*uint64, error) {
	var responses protocol.Responses
	buf := make([]byte, readSize)
	for ; ; sleep(run.ctx, listBetween) {
		within := listWithin
		if from != nil {
			within += holdMS * time.Millisecond
		}
		deadline := time.Now().Add(within)
		conn.SetWriteDeadline(deadline)
		request := net.Buffers(protocol.ListRequest(run.address, from, holdMS))
		if _, err := request.WriteTo(conn); err != nil {
			return nil, err
		}
		list, last, err := response(conn, deadline, &responses, buf)
		if err != nil {
			return nil, err
		}
		if _, counts := run.takeOver(); !counts || run.ctx.Err() != nil {
			return nil, context.Canceled // another connection has the list now: this one's is older
		}
		answered()
		f.counters.Lists.Add(1)
		if list.Refused > 0 {
			f.Log.Warn("entries of the list left out", zap.Int("entries", list.Refused))
		}
		switch {
		case list.Whole:
			f.Core.ListWhole(list.Entries)
			from = &list.Index
		case from == nil || list.Index < *from:
			// Changes without a list that they change, or of a service that counts anew.
			f.counters.ListTurns.Add(1)
			f.Log.Warn("discovery's version went backwards", zap.Uint64("index", list.Index))
			from = nil
		default:
			if len(list.Entries) > 0 {
				f.Core.ListChanged(list.Entries)
			}
			from = &list.Index
		}
		if last {
			return from, nil
		}
	}
}

// response reads one response; one that is not whole at the deadline never is.
func response(conn net.Conn, deadline time.Time, responses *protocol.Responses, buf []byte) (protocol.List, bool, error) {
	reading := reader{Conn: conn}
	reading.until(deadline)
	ended := false
	for {
		list, last, ok, err := responses.Next(ended)
		if ok || err != nil {
			return list, last, err
		}
		n, err := reading.Read(buf)
		responses.Feed(buf[:n])
		if ended = errors.Is(err, io.EOF); err != nil && !ended {
			return list, true, err
		}
	}
}
