// Package allocator finds loopback addresses for processes that bind them
// later.
//
// Ports come from below the range that the system gives to outgoing
// connections, so that none is taken between the choice and the use.
//
// # Usage
//
//	address, err := allocator.Address()
package allocator

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	firstPort = 12_000
	// rangeSize ports are searched by one process, in one of rangeCount ranges
	// by its id, so that processes that start together stay apart.
	rangeSize  = 400
	rangeCount = 50
)

var next atomic.Uint32

// Address returns a loopback address whose TCP and UDP ports are free. No
// address comes twice before all ports of the process's range were tried.
func Address() (string, error) {
	base := firstPort + os.Getpid()%rangeCount*rangeSize
	for range rangeSize {
		address := fmt.Sprintf("127.0.0.1:%d", base+int(next.Add(1)%rangeSize))
		if isFree(address) {
			return address, nil
		}
	}
	return "", errors.New("allocator: no free port found")
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}
