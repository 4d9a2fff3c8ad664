// Package messenger sends and receives the control datagrams between
// instances.
//
// # Usage
//
//	me, err := messenger.Listen("10.0.0.7:7001", signer)
//	go me.Receive(func(da *peerproto.Datagram, from netip.AddrPort) { ... })
//	err = me.Send(address, &peerproto.Datagram{From: inc, RenewalSentAt: now})
package messenger

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"cornellanding.example/wire/peerproto"
	"cornellanding.example/wire/signer"
	"google.golang.org/protobuf/proto"
)

// maxDatagram is the largest datagram that is received, in bytes.
const maxDatagram = 1200

// Counts holds the totals of an instance's datagrams. Bytes exclude the headers of
// UDP and IP. Rejected counts received datagrams that were not authentic or not
// decodable.
type Counts struct {
	Sent          uint64
	SentBytes     uint64
	Received      uint64
	ReceivedBytes uint64
	Rejected      uint64
}

// Messenger is a UDP socket that signs what it sends and verifies what it receives.
type Messenger struct {
	conn *net.UDPConn
	si   *signer.Signer

	sent          atomic.Uint64
	sentBytes     atomic.Uint64
	received      atomic.Uint64
	receivedBytes atomic.Uint64
	rejected      atomic.Uint64
}

// Listen binds a UDP address of the form IP:port.
func Listen(address string, si *signer.Signer) (*Messenger, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("messenger: address %q: %w", address, err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, fmt.Errorf("messenger: listen: %w", err)
	}
	return &Messenger{conn: conn, si: si}, nil
}

// Close closes the socket and makes Receive return.
func (me *Messenger) Close() error { return me.conn.Close() }

// Send signs and sends one datagram. The datagram may be lost on the way.
func (me *Messenger) Send(to netip.AddrPort, da *peerproto.Datagram) error {
	packet, err := proto.Marshal(da)
	if err != nil {
		return fmt.Errorf("messenger: encode: %w", err)
	}
	packet = me.si.Seal(packet)
	if _, err := me.conn.WriteToUDPAddrPort(packet, to); err != nil {
		return fmt.Errorf("messenger: send: %w", err)
	}
	me.sent.Add(1)
	me.sentBytes.Add(uint64(len(packet)))
	return nil
}

// Receive calls handle with each authentic datagram until Close. Other datagrams are
// counted as rejected and dropped.
func (me *Messenger) Receive(handle func(da *peerproto.Datagram, from netip.AddrPort)) {
	buffer := make([]byte, maxDatagram)
	for {
		length, from, err := me.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		me.received.Add(1)
		me.receivedBytes.Add(uint64(length))
		da, ok := me.decode(buffer[:length])
		if !ok {
			me.rejected.Add(1)
			continue
		}
		handle(da, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (me *Messenger) decode(packet []byte) (*peerproto.Datagram, bool) {
	payload, ok := me.si.Open(packet)
	if !ok {
		return nil, false
	}
	da := &peerproto.Datagram{}
	if err := proto.Unmarshal(payload, da); err != nil {
		return nil, false
	}
	return da, true
}

// Counts returns the totals so far.
func (me *Messenger) Counts() Counts {
	return Counts{
		Sent: me.sent.Load(), SentBytes: me.sentBytes.Load(),
		Received: me.received.Load(), ReceivedBytes: me.receivedBytes.Load(),
		Rejected: me.rejected.Load(),
	}
}
