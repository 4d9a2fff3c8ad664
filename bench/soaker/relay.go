package soaker

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is how a relay handles the bytes of its connections. The zero value
// passes them on unchanged.
type Mode struct {
	// Delay is added to each read.
	Delay time.Duration
	// IsSilentIn holds back what callers send, and IsSilentOut what the target
	// answers. Connections stay open.
	IsSilentIn  bool
	IsSilentOut bool
}

const (
	relayBuffer   = 16 << 10
	relayDialTime = time.Second
	// relayPoll is the interval at which a blocked direction checks whether it
	// may continue.
	relayPoll = 5 * time.Millisecond
)

// relay forwards TCP connections to a target and injects network faults into
// them.
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

// setMode changes the mode of all connections, including open ones.
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

// reset closes all open connections with a TCP reset.
func (re *relay) reset() {
	re.mu.Lock()
	defer re.mu.Unlock()
	for conn := range re.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// With a linger time of 0, Close sends a TCP reset.
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
		// If the target can't be reached, the caller gets a TCP reset.
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

// pump copies one direction. An end of file is passed on as a half-close; an
// error on one connection closes the other.
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
