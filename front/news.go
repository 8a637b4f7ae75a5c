package front

import (
	"context"
	"net"
	"time"

	"harehook.dev/harehook/protocol"
)

const (
	signWithin   = 1600 * time.Millisecond // signs of life come every second; beyond, the connection is silent
	followWithin = 500 * time.Millisecond  // for the relay to take the call
)

// follow keeps a connection that has the relay's news until ctx ends.
func (f *Front) follow(ctx context.Context) {
	following := condition{log: f.Log, party: "news"}
	pause := redial()
	for pause.wait(ctx) {
		conn, release, err := dial(ctx, f.Relay)
		if err == nil {
			err = f.news(conn, func() {
				pause.reset()
				following.works()
			})
			release()
		}
		if ctx.Err() != nil {
			return
		}
		f.counters.NewsBroken.Add(1)
		following.failed(err)
	}
}

// news tells the core what one connection brings, until it breaks or falls silent.
func (f *Front) news(conn net.Conn, opened func()) error {
	conn.SetDeadline(time.Now().Add(followWithin))
	if _, err := conn.Write([]byte(protocol.Follow)); err != nil {
		return err
	}
	var news protocol.News
	buf := make([]byte, readSize)
	for {
		n, err := read(conn, buf)
		news.Feed(buf[:n])
		for {
			e, err := news.Next()
			if err != nil {
				return err
			}
			if e.Kind == protocol.NewsNone {
				break
			}
			conn.SetReadDeadline(time.Now().Add(signWithin))
			switch e.Kind {
			case protocol.NewsOpened:
				opened()
				f.counters.News.Add(1)
				f.Core.NewsResumed()
			case protocol.NewsJoined:
				f.Core.ProxyJoined(e.Proxy, e.Site, e.Rate)
			case protocol.NewsWhole:
				f.Core.NewsWhole(news.Standing())
			case protocol.NewsLeft:
				f.Core.ProxyLeft(e.Proxy)
			case protocol.NewsConfirmed:
				f.Orders.confirmed(e.Mark)
				f.Core.MarkConfirmed(e.Proxy, e.Mark)
			}
		}
		if err != nil {
			return err
		}
	}
}
