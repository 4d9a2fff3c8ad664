package soaker

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a relay does to the bytes of its connections.
type Mode struct {
	// Delay is added to each read.
	Delay time.Duration
	// IsSilentIn keeps what callers send, and IsSilentOut what they are
	// answered. Connections stay open.
	IsSilentIn  bool
	IsSilentOut bool
}

const (
	relayBuffer   = 16 << 10
	relayDialTime = time.Second
	// relayPoll is how often a silent direction looks whether it may go on.
	relayPoll = 5 * time.Millisecond
)

// relay passes TCP connections on to a target, and can harm them.
type relay struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
}

func startRelay(listen, target string) (*relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	re := &relay{target: target, listener: listener, conns: map[net.Conn]bool{}}
	go re.accept()
	return re, nil
}

// setMode changes what happens to all connections, open ones too.
func (re *relay) setMode(mo Mode) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.mode = mo
}

func (re *relay) currentMode() Mode {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.mode
}

// reset breaks all open connections.
func (re *relay) reset() {
	re.mu.Lock()
	defer re.mu.Unlock()
	for conn := range re.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Without lingering, the close is a reset.
			_ = tcp.SetLinger(0)
		}
		conn.Close()
		delete(re.conns, conn)
	}
}

func (re *relay) close() {
	re.listener.Close()
	re.reset()
}

func (re *relay) accept() {
	for {
		from, err := re.listener.Accept()
		if err != nil {
			return
		}
		go re.serve(from)
	}
}

func (re *relay) track(conn net.Conn, isOpen bool) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if isOpen {
		re.conns[conn] = true
		return
	}
	delete(re.conns, conn)
}

func (re *relay) serve(from net.Conn) {
	to, err := net.DialTimeout("tcp", re.target, relayDialTime)
	if err != nil {
		// Callers see a refused target as a reset.
		if tcp, ok := from.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		from.Close()
		return
	}
	re.track(from, true)
	re.track(to, true)
	var wg sync.WaitGroup
	wg.Go(func() { re.pump(to, from, func(mo Mode) bool { return mo.IsSilentIn }) })
	wg.Go(func() { re.pump(from, to, func(mo Mode) bool { return mo.IsSilentOut }) })
	wg.Wait()
	for _, conn := range []net.Conn{from, to} {
		re.track(conn, false)
		conn.Close()
	}
}

// pump copies one direction. At its end the other side is told.
func (re *relay) pump(to, from net.Conn, isSilent func(Mode) bool) {
	buffer := make([]byte, relayBuffer)
	for {
		count, err := from.Read(buffer)
		mo := re.currentMode()
		time.Sleep(mo.Delay)
		for isSilent(mo) && re.isOpen(from) {
			time.Sleep(relayPoll)
			mo = re.currentMode()
		}
		if _, errWrite := to.Write(buffer[:count]); errWrite != nil {
			from.Close()
			return
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

func (re *relay) isOpen(conn net.Conn) bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.conns[conn]
}
