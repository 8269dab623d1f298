package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

var nextID atomic.Uint64

// newID returns an ID for one client attempt.
func newID(prefix string) string { return fmt.Sprintf("%s-%d", prefix, nextID.Add(1)) }

// answer is what a client got for one attempt.
type answer struct {
	id          string
	sent, ended time.Time
	status      int
	seal        string
	notExecuted bool
	body        []byte
	closes      bool
	err         error
}

// head returns the head of a request.
func head(method, host, path, id string, deadline time.Duration, bodyBytes int, extra string) string {
	length := ""
	if bodyBytes >= 0 && method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline-Ms: %d\r\n%s%s\r\n", method, path, host, id, deadline.Milliseconds(), length, extra)
}

// exchange sends one request on a connection and reads the answer.
func exchange(conn net.Conn, br *bufio.Reader, method, host, path, id string, deadline time.Duration, body string) answer {
	a := answer{id: id}
	_ = conn.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	_, a.err = io.WriteString(conn, head(method, host, path, id, deadline, len(body), "")+body)
	a.sent = time.Now()
	if a.err == nil {
		a.read(br, method)
	}
	a.ended = time.Now()
	return a
}

func (a *answer) read(br *bufio.Reader, method string) {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return
	}
	defer resp.Body.Close()
	if a.body, a.err = io.ReadAll(resp.Body); a.err != nil {
		return
	}
	a.status, a.seal, a.closes = resp.StatusCode, resp.Header.Get("X-Server-Seal"), resp.Close
	a.notExecuted = resp.Header.Get("X-Not-Executed") != ""
}

// once sends one request on a connection of its own.
func once(addr, method, host, path, id string, deadline time.Duration, body string) answer {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{id: id, sent: time.Now(), ended: time.Now(), err: err}
	}
	defer conn.Close()
	return exchange(conn, bufio.NewReader(conn), method, host, path, id, deadline, body)
}

// smallWindows is a dialer whose connections have small segments and receive buffers, as on a link of a network: the
// kernel of a loopback link would take megabytes of an answer that nobody reads.
var smallWindows = net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
	})
}}

// kept is an ordinary client that keeps its connection for many requests.
type kept struct {
	addr, method, host, path string
	body                     string
	deadline, pause          time.Duration
	answers                  []answer
	// onKept is whether the answer with the same index came on a connection that had served an earlier request.
	onKept []bool
}

// run sends requests one after the other until stop is closed.
func (k *kept) run(prefix string, stop chan struct{}) {
	var conn net.Conn
	var br *bufio.Reader
	served := 0
	for {
		select {
		case <-stop:
			if conn != nil {
				_ = conn.Close()
			}
			return
		case <-time.After(k.pause):
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", k.addr, time.Second); err != nil {
				conn = nil
				continue
			}
			br, served = bufio.NewReader(conn), 0
		}
		a := exchange(conn, br, k.method, k.host, k.path, newID(prefix), k.deadline, k.body)
		k.answers = append(k.answers, a)
		k.onKept = append(k.onKept, served > 0)
		served++
		if a.err != nil || a.closes {
			_ = conn.Close()
			conn = nil
		}
	}
}

func short(b []byte) string {
	s := strings.ToValidUTF8(string(b), "?")
	return s[:min(len(s), 60)]
}
