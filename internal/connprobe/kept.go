// Package kept looks at connections that are kept for a next call.
package connprobe

import (
	"net"
	"syscall"
	"time"
)

// IsIdle tells whether a connection that should have nothing to read stands and has none: a call on one that the other
// side has ended would be in doubt, or read a late answer.
func IsIdle(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	conn.SetReadDeadline(time.Time{}) // the last answer's has passed and would fail the look, which never waits
	var peek [1]byte
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EINTR
		return true
	})
	return err == nil && quiet
}
