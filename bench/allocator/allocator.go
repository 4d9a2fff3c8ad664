// Package allocator finds free loopback addresses for processes that bind them
// later.
//
// Ports are below the system's ephemeral range, so that no outgoing connection
// takes one between the choice and the use.
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
	// Each process searches one of rangeCount ranges of rangeSize ports, chosen
	// by its process id, so that processes that start together rarely try the
	// same ports.
	rangeSize  = 400
	rangeCount = 50
)

var next atomic.Uint32

// Address returns a loopback address whose TCP and UDP ports are free. A
// process gets no address again before it has tried all ports of its range. It
// returns an error if none is free.
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
