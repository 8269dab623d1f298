package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	lostHost = "hulo84.example"
	// lostDeadline is how long a client waits for an answer.
	lostDeadline = 4 * time.Second
	// lostAllowed is the number of requests of kept connections that LOST allows to go without an
	// answer.
	lostAllowed = 3
	// workers is the number of clients that keep one connection each and send one request after the
	// other.
	workers = 20
)

// loneRoute is the only route of the cases here.
func loneRoute(kind string) string {
	return fmt.Sprintf(`["charge",%q,"/cobro/",%q,"4000ms","600ms",1,null,2,"padron-socios"]`, lostHost, kind)
}

// keptConn is a client's connection that is kept for many requests.
type keptConn struct {
	net.Conn
	br *bufio.Reader
}

func dialKept(m *machine) (*keptConn, error) {
	conn, err := net.DialTimeout("tcp", m.address(callerPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: conn, br: bufio.NewReader(conn)}, nil
}

// writeRequest writes the head and the body of a request.
func (k *keptConn) writeRequest(method, target, id string, body []byte) error {
	_ = k.SetDeadline(time.Now().Add(lostDeadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		method, target, lostHost, id, lostDeadline.Milliseconds(), len(body))
	_, err := k.Write(append([]byte(head), body...))
	return err
}

// readAnswer reads one whole answer. closes says that the node closes the connection after it.
func (k *keptConn) readAnswer() (a answer, closes bool) {
	resp, err := http.ReadResponse(k.br, nil)
	if err != nil {
		return answer{err: err}, true
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}, true
	}
	return answer{status: resp.StatusCode, body: string(data)}, resp.Close
}

// lostWatch counts the requests of kept connections that a server ran and whose connection ended
// without an answer.
type lostWatch struct {
	mu   sync.Mutex
	lost map[string]bool
}

// worker sends unsafe requests on kept connections to a machine until stop is closed. It notes those
// that end without an answer.
func (w *lostWatch) worker(c *cluster, m *machine, stop chan struct{}) {
	var conn *keptConn
	for {
		select {
		case <-stop:
			return
		default:
		}
		if conn == nil {
			var err error
			if conn, err = dialKept(m); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		id := newID()
		began := time.Now()
		err := conn.writeRequest(http.MethodPost, "/cobro/1", id, []byte("amount=12"))
		a, closes := answer{err: err}, true
		if err == nil {
			a, closes = conn.readAnswer()
		}
		a.id = id
		c.record.note("client at %s sent POST /cobro/1, after %d ms: %s", m.ip, time.Since(began).Milliseconds(), a)
		if a.err != nil && time.Since(began) < lostDeadline {
			w.mu.Lock()
			w.lost[id] = true
			w.mu.Unlock()
		}
		if closes {
			_ = conn.Close()
			conn = nil
		}
	}
}

// count returns how many of the requests without an answer had been passed on to a server.
func (w *lostWatch) count(c *cluster) int {
	runs := c.record.countRuns()
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for id := range w.lost {
		if runs[id] > 0 {
			n++
			c.record.note("request %s ran at a server, and its connection was closed without an answer", id)
		}
	}
	return n
}

// startLost starts three machines with servers of one service, whose work takes the given time.
func startLost(c *cluster, work time.Duration) error {
	for range 3 {
		if _, err := c.add("padron-socios", func(b *backend) { b.work = work }); err != nil {
			return err
		}
	}
	c.publish(5, []string{"padron-socios"}, loneRoute("unsafe"))
	return c.startAll()
}

const (
	// uploadBytes is the size of one request body, below the limit bodyBytes.
	uploadBytes = 60 << 20
	// uploads is the number of such requests, one after the other.
	uploads = 3
)

// playUpload sends a few requests with long bodies, one after the other, while other clients send short
// requests to the same machine. The platform's stand-in kills a process with more than memoryMb.
// LOST is broken if requests of kept connections are left without an answer.
func playUpload(c *cluster, trouble bool) (bool, error) {
	if err := startLost(c, 300*time.Millisecond); err != nil {
		return false, err
	}
	m := c.machines[0]
	stop, watched := make(chan struct{}), make(chan int, 1)
	go func() { watched <- c.enforceMemory(m, memoryMB, stop) }()
	w := &lostWatch{lost: make(map[string]bool)}
	var tasks sync.WaitGroup
	for range workers {
		tasks.Go(func() { w.worker(c, m, stop) })
	}
	time.Sleep(4 * time.Second)
	for i := range uploads {
		size := 4000
		if trouble {
			size = uploadBytes
		}
		a := send(newClient(), m, http.MethodPost, lostHost, "/cobro/2", lostDeadline, bytes.NewReader(make([]byte, size)))
		c.record.note("upload %d of %d bytes, %d ms: %s; memory of the node now %d MB", i+1, size, a.took.Milliseconds(), a, memory(m.node.Process.Pid))
		time.Sleep(4 * time.Second)
	}
	close(stop)
	tasks.Wait()
	kills := <-watched
	n := w.count(c)
	c.record.note("the platform killed the node %d times; %d requests that servers ran on kept connections got no answer, %d are allowed", kills, n, lostAllowed)
	return n > lostAllowed, nil
}
