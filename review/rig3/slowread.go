package main

import (
	"strings"
	"sync"
	"time"
)

func init() { scenarios["slowread"] = slowReaders }

const (
	// slowConns is the number of connections of the crowd, and slowStay how long each stays.
	slowConns = 760
	// downloads is how many downloads each connection asks for at once.
	downloads = 2
	slowStay  = 4300 * time.Millisecond
	// bodyConns is the number of connections beside them whose bodies, of bodySize bytes, stop just short of their end.
	bodyConns = 40
	bodySize  = 1_000_000
)

// slowReaders: a crowd at one machine asks for downloads and reads the answers a few bytes at a time.
func slowReaders(r *record, trouble bool) (int, error) {
	return memoryCase(r, func(target *machine, leave chan struct{}, crowd *sync.WaitGroup) {
		if !trouble {
			return
		}
		r.printf("a crowd of %d connections comes to %s; each asks for %d downloads, reads 64 bytes every 50 ms, closes after %s and comes again", slowConns, target.ip, downloads, slowStay)
		r.printf("%d connections beside them send bodies of %d bytes that stop just short of their end", bodyConns, bodySize)
		for range slowConns {
			crowd.Go(func() { readSlowly(target, leave) })
		}
		for range bodyConns {
			crowd.Go(func() { stopShort(target, leave) })
		}
	})
}

// readSlowly asks for a download on each connection and reads little of it, until leave is closed.
func readSlowly(m *machine, leave chan struct{}) {
	for {
		select {
		case <-leave:
			return
		default:
		}
		conn, err := smallWindows.Dial("tcp", m.addr(callerPort))
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		end := time.Now().Add(slowStay)
		_ = conn.SetDeadline(end)
		for range downloads {
			_, err = conn.Write([]byte(head("GET", "topos.example", "/t/1", newID("crowd"), 4*time.Second, -1, "")))
		}
		for part := make([]byte, 64); err == nil; time.Sleep(50 * time.Millisecond) {
			_, err = conn.Read(part)
		}
		_ = conn.Close()
	}
}

// stopShort sends a body up to just short of its end and waits, and comes again, until leave is closed.
func stopShort(m *machine, leave chan struct{}) {
	text := head("POST", "cobro.example", "/c/1", newID("crowd"), 3*time.Second, bodySize, "") + strings.Repeat("b", bodySize-10)
	for {
		select {
		case <-leave:
			return
		default:
		}
		conn, err := smallWindows.Dial("tcp", m.addr(callerPort))
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		if _, err = conn.Write([]byte(text)); err == nil {
			_, _ = conn.Read(make([]byte, 1))
		}
		_ = conn.Close()
	}
}
