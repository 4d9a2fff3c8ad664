package receiver

import (
	"cmp"
	"net"

	"golang.org/x/sys/unix"
)

// tcpClose is the state of a connection that was reset, TCP_CLOSE in the kernel's tcp_states.h.
// After an orderly close by the server alone the state is another.
const tcpClose = 7

// isReset reports whether the server has reset the connection, before or after it closed it. It
// returns an error if the connection has been closed on this side.
func isReset(tcp *net.TCPConn) (bool, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err := cmp.Or(err, infoErr); err != nil {
		return false, err
	}
	return info.State == tcpClose, nil
}
