package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	pathHost = "hulo84.example"
	// pathDeadline is how long a client waits for an answer.
	pathDeadline = 4 * time.Second
	// pathRequests is the number of charges that are sent.
	pathRequests = 40
	// lostEvery says which of the answers of a faulty server are lost: each lostEvery-th one.
	lostEvery = 3
	// pathServers is the number of servers, of which the first faultyServers lose answers.
	pathServers, faultyServers = 4, 2
)

// unsafeTargets are forms of targets that /cobro/ begins and /cobro/ficha/ does not.
var unsafeTargets = []string{"/cobro/ficha%%2F%d", "/cobro//ficha/%d"}

// sendTarget sends a POST with a small body on a new connection, with the request target exactly as
// given, and reads the answer.
func sendTarget(m *machine, target string) answer {
	a := answer{id: newID()}
	conn, err := net.DialTimeout("tcp", m.address(callerPort), time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(pathDeadline))
	const body = "amount=12"
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline-Ms: %d\r\n"+
		"Content-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		target, pathHost, a.id, pathDeadline.Milliseconds(), len(body), body)
	if err != nil {
		a.err = err
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.err = err
		return a
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.body = resp.StatusCode, string(data)
	return a
}

// startPath starts four machines with servers of one service, two of which lose the answers that lose names,
// and a configuration whose routes lead to it.
func startPath(c *cluster, lose func(*http.Request) bool, routes ...string) error {
	for i := range pathServers {
		faulty := lose
		if i >= faultyServers {
			faulty = nil
		}
		if _, err := c.add("padron-socios", func(b *backend) { b.loseAnswer = faulty }); err != nil {
			return err
		}
	}
	c.publish(5, []string{"padron-socios"}, routes...)
	return c.startAll()
}

// playTwice sends requests of an unsafe route while servers lose a part of their answers. The path of
// each has an encoded slash or an empty segment, so that the prefix of the safe route does not begin it. TWICE is broken
// if one of them runs more than once.
func playTwice(c *cluster, trouble bool) (bool, error) {
	var mu sync.Mutex
	answers := 0
	lose := func(*http.Request) bool {
		if !trouble {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		answers++
		return answers%lostEvery == 0
	}
	err := startPath(c, lose,
		fmt.Sprintf(`["charge",%q,"/cobro/","unsafe","4000ms","600ms",1,null,2,"padron-socios"]`, pathHost),
		fmt.Sprintf(`["look-up",%q,"/cobro/ficha/","safe","4000ms","600ms",2,null,2,"padron-socios"]`, pathHost))
	if err != nil {
		return false, err
	}
	sent := make(map[string]string)
	for i := range pathRequests {
		target := fmt.Sprintf(unsafeTargets[i/len(c.machines)%len(unsafeTargets)], i)
		m := c.machines[i%len(c.machines)]
		a := sendTarget(m, target)
		c.record.note("client sent POST %s to %s: %s", target, m.ip, a)
		sent[a.id] = target
	}
	time.Sleep(time.Second)
	twice := 0
	for id, n := range c.record.countRuns() {
		if sent[id] != "" && n > 1 {
			twice++
			c.record.note("request %s, POST %s, which is not idempotent, ran %d times", id, sent[id], n)
		}
	}
	c.record.note("%d of %d requests of the unsafe route ran more than once", twice, pathRequests)
	return twice > 0, nil
}

// oddTargets are request targets of a route with the prefix /cobro/ that a sound client may send, and
// plainTargets those that the node passes on as they are.
var (
	oddTargets = []string{
		"/cobro/ficha%2F7", "/cobro/guia%2Fnorte%2Fvia", "/cobro//7", "/cobro/lote//9?x=1", "/cobro/socio%40club",
		"/cobro/a%2Bb", "/cobro/a%3Bb", "/cobro/a%3Db", "/cobro/a%26b", "/cobro/a%2Cb", "/cobro/a%3Ab",
		"/cobro/(1)", "/cobro/it's", "/cobro/a*b", "/cobro/a!b",
	}
	plainTargets = []string{"/cobro/7", "/cobro/guia/norte/via", "/cobro/lote/9?x=1%2F2&y=//", "/cobro/a%20b"}
)

// playChanged sends requests to a route. UNASKED is broken if a server runs one of them with another
// path or query than the client sent.
func playChanged(c *cluster, trouble bool) (bool, error) {
	err := startPath(c, nil, fmt.Sprintf(`["charge",%q,"/cobro/","unsafe","4000ms","600ms",1,null,2,"padron-socios"]`, pathHost))
	if err != nil {
		return false, err
	}
	targets := plainTargets
	if trouble {
		targets = append(targets, oddTargets...)
	}
	sent := make(map[string]string)
	for i, target := range targets {
		m := c.machines[i%len(c.machines)]
		a := sendTarget(m, target)
		c.record.note("client sent POST %s to %s: %s", target, m.ip, a)
		sent[a.id] = target
	}
	time.Sleep(time.Second)
	changed := 0
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	for _, e := range c.record.runs {
		if target, known := sent[e.id]; known && target != e.uri {
			changed++
			c.record.noteLocked("request %s was sent as %s and ran as %s", e.id, target, e.uri)
		}
	}
	c.record.noteLocked("%d of %d requests ran with another path or query", changed, len(targets))
	return changed > 0, nil
}
