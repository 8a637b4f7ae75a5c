// Package connprobe checks idle connections before they are reused. The platform's command sender and the sidecar's
// proxy call it, because the outcome of a request on a connection that the peer has closed is unknown.
package connprobe

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// IsIdle reports whether a connection is open and has nothing to read. A connection with data to read must not be
// reused: a late response to the previous request would be mistaken for the response to the next one.
//
// IsIdle does not block. It clears the read deadline. A connection without a file descriptor is reported as idle.
func IsIdle(conn net.Conn) bool {
	descriptor, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return false
	}
	conn.SetReadDeadline(time.Time{}) // a passed deadline would fail the probe
	idle := false
	err = raw.Read(func(fd uintptr) (done bool) {
		idle = hasNothingToRead(int(fd))
		return true
	})
	return err == nil && idle
}

func hasNothingToRead(fd int) bool {
	var peeked [1]byte
	_, _, err := syscall.Recvfrom(fd, peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
}
