package emulator

import (
	"net"
	"time"
)

// closedQueue is how many ends of connections a Streamer remembers.
const closedQueue = 16

// Streamer is a faulty server that sends bytes without end: on each connection it writes a
// start and then a piece again and again, until the client closes the connection.
type Streamer struct {
	listener net.Listener
	closed   chan struct{}
}

// NewStreamer starts a Streamer on a free port of the loopback interface. It pauses after each
// piece.
func NewStreamer(start, piece string, pause time.Duration) (*Streamer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	st := &Streamer{listener: listener, closed: make(chan struct{}, closedQueue)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go st.stream(conn, start, piece, pause)
		}
	}()
	return st, nil
}

func (st *Streamer) stream(conn net.Conn, start, piece string, pause time.Duration) {
	defer conn.Close()
	_, err := conn.Write([]byte(start))
	for err == nil {
		_, err = conn.Write([]byte(piece))
		time.Sleep(pause)
	}
	st.closed <- struct{}{}
}

// Address returns where the Streamer listens, as IP:port.
func (st *Streamer) Address() string { return st.listener.Addr().String() }

// Closed receives a value for each connection that its client has closed.
func (st *Streamer) Closed() <-chan struct{} { return st.closed }

// Close ends the listener. Open connections go on until their clients close them.
func (st *Streamer) Close() error { return st.listener.Close() }
