// Package connprobe looks at idle connections before they are used again. The platform's command sender and the
// sidecar's proxy call it: what is sent on a connection that the other side has ended may or may not have arrived.
package connprobe

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// IsIdle reports whether a connection is open and has nothing to read. A connection with something to read is of no use
// for a next request, which would be taken for answered by a late response to the one before.
//
// The probe does not block. It clears the read deadline. A connection without a file descriptor counts as idle.
func IsIdle(conn net.Conn) bool {
	descriptor, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return false
	}
	conn.SetReadDeadline(time.Time{}) // one that has passed would fail the probe
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
