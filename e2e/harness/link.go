package harness

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// linkBufferBytes is the size of each socket buffer of a Link. Together they are its queue.
const linkBufferBytes = 32 << 10

// linkPartBytes is how many bytes a Link passes on at once.
const linkPartBytes = 4 << 10

// Link is a network link with a bounded rate in front of a node's peer address. All connections of the
// link share the rate, which holds for each direction.
type Link struct {
	listener net.Listener
	target   string
	in, out  pace
	tasks    conc.WaitGroup
	mu       sync.Mutex
	open     map[net.Conn]struct{}
}

// pace spreads bytes over time.
type pace struct {
	bytesPerSecond float64
	mu             sync.Mutex
	free           time.Time
}

// wait waits until n more bytes have passed.
func (p *pace) wait(n int) {
	p.mu.Lock()
	now := time.Now()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(n) / p.bytesPerSecond * float64(time.Second)))
	until := p.free
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

// StartLink passes connections to addr on to target.
func StartLink(addr, target string, bytesPerSecond float64) (*Link, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &Link{listener: l, target: target, open: make(map[net.Conn]struct{})}
	k.in.bytesPerSecond, k.out.bytesPerSecond = bytesPerSecond, bytesPerSecond
	k.tasks.Go(k.accept)
	return k, nil
}

func (k *Link) accept() {
	for {
		conn, err := k.listener.Accept()
		if err != nil {
			return
		}
		k.tasks.Go(func() { k.serve(conn) })
	}
}

// serve passes bytes on in both directions until one of them ends.
func (k *Link) serve(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer far.Close()
	for _, conn := range []net.Conn{near, far} {
		_ = conn.(*net.TCPConn).SetReadBuffer(linkBufferBytes)
		_ = conn.(*net.TCPConn).SetWriteBuffer(linkBufferBytes)
		k.note(conn, true)
		defer k.note(conn, false)
	}
	var directions conc.WaitGroup
	directions.Go(func() { pass(far, near, &k.in) })
	directions.Go(func() { pass(near, far, &k.out) })
	directions.Wait()
}

func (k *Link) note(conn net.Conn, open bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if open {
		k.open[conn] = struct{}{}
		return
	}
	delete(k.open, conn)
}

// pass copies from src to dst at a pace and ends dst's input at the end.
func pass(dst, src net.Conn, p *pace) {
	buf := make([]byte, linkPartBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			p.wait(n)
			if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
				_ = src.Close()
				return
			}
		}
		if err == io.EOF {
			_ = dst.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = dst.Close()
			return
		}
	}
}

// Close ends the link and its connections.
func (k *Link) Close() {
	_ = k.listener.Close()
	k.mu.Lock()
	for conn := range k.open {
		_ = conn.Close()
	}
	k.mu.Unlock()
	k.tasks.Wait()
}
