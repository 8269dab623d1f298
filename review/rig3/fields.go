package main

import (
	"strings"
	"sync"
	"time"
)

func init() { scenarios["fields"] = manyFields }

const (
	// crowdConns is the number of connections of the crowd, and shortFields the number of fields "a:" of each of its
	// requests. With 4 bytes each they stay inside the limit of 16384 bytes.
	crowdConns  = 300
	shortFields = 3800
	// sentAhead is how many requests each sends ahead, and crowdStay how long it stays.
	sentAhead = 16
	crowdStay = 1050 * time.Millisecond
	crowdTime = 16 * time.Second
	// allowedLost is how many requests from kept connections may end without an answer.
	allowedLost = 3
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
)

// watchMemory ends each process that exceeds the memory of its machine, as the platform does, and starts it again. The
// memory of a process is counted without the pages of its files. It
// returns when stop is closed.
func (c *cluster) watchMemory(r *record, stop chan struct{}, peak map[string]int64, ends map[string]int) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, m := range c.machines {
			used := m.memory("RssAnon")
			peak[m.ip] = max(peak[m.ip], used)
			if used <= int64(c.opts.memoryMB)<<20 {
				continue
			}
			r.printf("the node of %s takes %.1f MiB of %d MiB and is killed", m.ip, float64(used)/(1<<20), c.opts.memoryMB)
			m.kill()
			ends[m.ip]++
			time.Sleep(restartDelay)
			if err := c.startNode(m); err != nil {
				r.printf("the node of %s doesn't start: %v", m.ip, err)
			}
		}
	}
}

// manyFields: a crowd at one machine sends requests that are legal in size but made of very many short fields.
func manyFields(r *record, trouble bool) (int, error) {
	return memoryCase(r, func(target *machine, leave chan struct{}, crowd *sync.WaitGroup) {
		if !trouble {
			return
		}
		r.printf("a crowd of %d connections comes to %s; each sends %d GET requests with %d fields ahead, reads nothing, closes after %s and comes again", crowdConns, target.ip, sentAhead, shortFields, crowdStay)
		fields := strings.Repeat("a:\r\n", shortFields)
		for range crowdConns {
			crowd.Go(func() { sendAhead(target, "topos.example", "/t/1", fields, time.Second, crowdStay, leave) })
		}
	})
}

// memoryCase starts a deployment whose processes are killed above the memory of their machines, ordinary clients at one of
// the machines and the crowd there, and judges the requests of the ordinary clients.
func memoryCase(r *record, start func(target *machine, leave chan struct{}, crowd *sync.WaitGroup)) (int, error) {
	c, err := startMalla()
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return 0, err
	}
	target := c.machines[0]
	time.Sleep(4 * time.Second)
	var ordinary []*kept
	stop, stopMemory := make(chan struct{}), make(chan struct{})
	var clients, crowd, memory sync.WaitGroup
	for i := range 24 {
		k := &kept{addr: target.addr(callerPort), method: "GET", host: "fichas.example", path: "/f/1", deadline: time.Second, pause: 10 * time.Millisecond}
		if i%3 == 0 {
			k.method, k.host, k.path, k.body = "POST", "cobro.example", "/c/1", strings.Repeat("c", 4000)
			k.deadline = 1200 * time.Millisecond
		}
		ordinary = append(ordinary, k)
		clients.Go(func() { k.run("ordinary", stop) })
	}
	peak, ends := make(map[string]int64), make(map[string]int)
	memory.Go(func() { c.watchMemory(r, stopMemory, peak, ends) })
	time.Sleep(3 * time.Second)
	leave := make(chan struct{})
	start(target, leave, &crowd)
	time.Sleep(crowdTime)
	close(leave)
	crowd.Wait()
	r.printf("the crowd has left")
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	close(stopMemory)
	memory.Wait()
	return c.judgeKept(r, target, ordinary, peak, ends), nil
}

// sendAhead sends requests ahead on one connection, doesn't read the answers, closes the connection after stay and comes
// again, until leave is closed.
func sendAhead(m *machine, host, path, fields string, deadline, stay time.Duration, leave chan struct{}) {
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
		end := time.Now().Add(stay)
		_ = conn.SetDeadline(end)
		for range sentAhead {
			if _, err = conn.Write([]byte(head("GET", host, path, newID("crowd"), deadline, -1, fields))); err != nil {
				break
			}
		}
		if err == nil {
			time.Sleep(time.Until(end))
		}
		_ = conn.Close()
	}
}

// judgeKept applies the rule LOST to the requests that a machine took from kept connections.
func (c *cluster) judgeKept(r *record, m *machine, ordinary []*kept, peak map[string]int64, ends map[string]int) int {
	ranAt := make(map[string]string)
	for _, o := range c.machines {
		for _, run := range o.server.ran() {
			ranAt[run.id] = o.server.id
		}
	}
	sent, served, lost := 0, 0, 0
	for _, k := range ordinary {
		for i, a := range k.answers {
			sent++
			if a.status == 200 {
				served++
			}
			r.printf("%s sent at %.3f s: %s%s, ran at %q, answered %d after %.3f s, error %v",
				a.id, a.sent.Sub(r.began).Seconds(), k.host, k.path, ranAt[a.id], a.status, a.ended.Sub(a.sent).Seconds(), a.err)
			timedOut := a.ended.Sub(a.sent) >= k.deadline
			if a.err == nil || timedOut || !k.onKept[i] || ranAt[a.id] == "" {
				continue
			}
			lost++
			r.printf("%s %s%s: request %s, sent at %.3f s on a kept connection, ran at server %s; %s closed the connection without an answer after %.3f s (%v)",
				k.method, k.host, k.path, a.id, a.sent.Sub(r.began).Seconds(), ranAt[a.id], m.ip, a.ended.Sub(a.sent).Seconds(), a.err)
		}
	}
	for _, o := range c.machines {
		r.printf("node of %s (%s): peak of %.1f MiB, ended %d times for its memory", o.ip, o.service, float64(peak[o.ip])/(1<<20), ends[o.ip])
	}
	r.printf("ordinary clients: %d requests, %d served, %d lost; allowed %d", sent, served, lost, allowedLost)
	if lost > allowedLost {
		return broken
	}
	return held
}
