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
	"math/rand/v2"
	"net"
)

const (
	firstPort = 12_000
	portCount = 18_000
	tries     = 200
)

// Address returns a loopback address whose TCP and UDP ports are free.
func Address() (string, error) {
	for range tries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
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
