package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// goneAfter is how long after its client has left a request may still reach a server, and goneFew
	// the number of later ones that the rule lets pass.
	goneAfter = 500 * time.Millisecond
	goneFew   = 10
)

// orderConfig is a configuration of two services with one route each.
const orderConfig = `{"version":7,"routes":{"columns":["name","host","prefix","kind","timeout","targetLatency","priority","service","maxAttempts"],` +
	`"rows":[["r-orders","orders.example","/orders/","unsafe","4000ms","1500ms",1,"orders",2],["r-pages","pages.example","/pages/","safe","1000ms","250ms",2,"pages",2]]},` +
	`"services":{"columns":["name","healthPath","maxConns","protocol","tls"],"rows":[["orders","/health",130,"h1",false],["pages","/health",130,"h1",false]]},` +
	`"limits":{"headerBytes":16384,"bodyBytes":67108864,"header":"3000ms","idle":"15000ms"}}`

// leavers are requests of clients that left, with the time at which each closed its connection, and
// arrivals those of them that a server began to run. It is safe for concurrent use.
type leavers struct {
	mu       sync.Mutex
	left     map[string]time.Time
	arrivals map[string]time.Time
}

func (s *leavers) leave(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left[id] = time.Now()
}

func (s *leavers) arrive(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[id] = time.Now()
}

// late returns the number of clients that left, of their requests that reached a server, and of those
// that did so more than goneAfter after their client had left.
func (s *leavers) late() (left, reached, late int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range s.left {
		arrived, found := s.arrivals[id]
		if !found {
			continue
		}
		reached++
		if arrived.Sub(at) > goneAfter {
			late++
		}
	}
	return len(s.left), reached, late
}

// sendAndLeave sends a request and closes the connection after a time, without waiting for the answer.
func (l *lab) sendAndLeave(v *vm, path, id string, body []byte, after time.Duration, s *leavers) {
	c, err := net.DialTimeout("tcp", v.caller(), time.Second)
	if err != nil {
		return
	}
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: orders.example\r\nX-Request-Id: %s\r\nX-Request-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		path, id, clientDeadline.Milliseconds(), len(body))
	_, _ = c.Write(body)
	time.Sleep(after)
	s.leave(id)
	_ = c.Close()
	l.printf("client at %s: POST orders.example%s, request %s: left %v after it was sent", v.ip, path, id, after)
}

// runGone has some clients leave while their requests wait for a slot of a server.
func runGone(l *lab) (bool, error) {
	const (
		rounds, every     = 10, 1500 * time.Millisecond
		stay, leave       = 52, 16
		bodyBytes         = 100_000
		work, leavesAfter = 1200 * time.Millisecond, 200 * time.Millisecond
	)
	s := &leavers{left: make(map[string]time.Time), arrivals: make(map[string]time.Time)}
	l.store.put("op/config", orderConfig)
	for range 4 {
		err := l.add("orders", func(srv *server, c net.Conn, r *http.Request) {
			s.arrive(r.Header.Get("X-Request-Id"))
			time.Sleep(work)
			srv.answerShort(c, r, "")
		})
		if err != nil {
			return false, err
		}
	}
	for range 6 {
		if err := l.add("pages", answerPages); err != nil {
			return false, err
		}
	}
	if err := l.awaitTouch(); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	body := make([]byte, bodyBytes)
	for round := range rounds {
		for i := range stay {
			clients.Go(func() {
				l.send(l.vms[4+i%6], "POST", "orders.example", "/orders/1", fmt.Sprintf("s%d-%d", round, i), clientDeadline)
			})
		}
		time.Sleep(100 * time.Millisecond)
		for i := range leave {
			v, id := l.vms[4+i%6], fmt.Sprintf("g%d-%d", round, i)
			clients.Go(func() {
				if trouble {
					l.sendAndLeave(v, "/orders/2", id, body, leavesAfter, s)
					return
				}
				l.sendBody(v, "POST", "orders.example", "/orders/2", id, clientDeadline, body)
			})
		}
		time.Sleep(every)
	}
	clients.Wait()
	time.Sleep(clientDeadline)
	left, reached, late := s.late()
	l.printf("%d clients left, %d of their requests were run, %d of them more than %v after their client had left", left, reached, late, goneAfter)
	return late > goneFew, nil
}
