// Package loopback reserves addresses on the loopback interface for programs that are started later.
//
// A port that is merely found to be free can be taken before the program listens on it: the system assigns ports of the
// same range to outgoing connections and to other listeners. A [Reservation] prevents that.
package loopback

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
)

// Reservation holds a port of the loopback interface. As long as it is open, the system assigns the port to nothing
// else, and any number of listeners can use it one after another, also in other processes: net.Listen shares a port
// with sockets that do not listen, such as that of the reservation.
type Reservation struct {
	descriptor int
	address    netip.AddrPort
	release    sync.Once
}

// Reserve reserves a free port. The caller must close the reservation when no program listens on it any longer.
func Reserve() (*Reservation, error) {
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserve a port: %w", err)
	}
	address, err := bindShared(descriptor)
	if err != nil {
		_ = syscall.Close(descriptor)
		return nil, fmt.Errorf("reserve a port: %w", err)
	}
	return &Reservation{descriptor: descriptor, address: address}, nil
}

// bindShared binds a socket to a free port that listeners can share, and returns its address.
func bindShared(descriptor int) (netip.AddrPort, error) {
	if err := syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return netip.AddrPort{}, err
	}
	host := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	if err := syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: host.As4()}); err != nil {
		return netip.AddrPort{}, err
	}
	bound, err := syscall.Getsockname(descriptor)
	if err != nil {
		return netip.AddrPort{}, err
	}
	inet4, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		return netip.AddrPort{}, syscall.EAFNOSUPPORT
	}
	return netip.AddrPortFrom(host, uint16(inet4.Port)), nil
}

// Address returns the reserved address, such as 127.0.0.1:40123.
func (r *Reservation) Address() string { return r.address.String() }

// Close releases the port.
func (r *Reservation) Close() {
	r.release.Do(func() { _ = syscall.Close(r.descriptor) }) // closing a bound socket cannot fail
}
