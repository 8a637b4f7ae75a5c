package xds

import corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

// Address is the host and port at which an endpoint serves requests.
type Address struct {
	Host string
	Port uint32
}

// Message returns the address as an xDS message.
func (a Address) Message() *corev3.Address {
	socket := &corev3.SocketAddress{Address: a.Host, PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: a.Port}}
	return &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: socket}}
}

// AddressOf returns the address in an xDS message.
func AddressOf(message *corev3.Address) Address {
	socket := message.GetSocketAddress()
	return Address{Host: socket.GetAddress(), Port: socket.GetPortValue()}
}

// ParseNode returns the sidecar's id and zone from the node in the first request of a stream.
func ParseNode(node *corev3.Node) (id, zone string) {
	return node.GetId(), node.GetLocality().GetZone()
}
