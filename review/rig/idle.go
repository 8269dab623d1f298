package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// maxFds is the limit of descriptors of a process.
	maxFds = 4100
	// freshRate is the number of new client connections a second at the machine.
	freshRate = 71
	// freshTime is how long these come.
	freshTime = 80 * time.Second
	// stableWindow is the bound of the same name.
	stableWindow = 3 * time.Second
	// minClients is the number of clients that must try in the meantime.
	minClients = 7
)

// playIdle lets clients open a new connection for each request at the rate of a day. With the trouble
// they leave it open after the answer; otherwise they close it. RECOVER is broken if the node takes no
// new connection for stableWindow while seven clients or more try and it says that it is ready.
func playIdle(c *cluster, trouble bool) (bool, error) {
	if err := startLost(c, 20*time.Millisecond); err != nil {
		return false, err
	}
	if err := requireDescriptors(2 * maxFds); err != nil {
		return false, err
	}
	m := c.machines[0]
	if err := limitDescriptors(m.node.Process.Pid, maxFds); err != nil {
		return false, err
	}
	f := &freshClients{cluster: c, machine: m, leave: trouble, open: make(map[*keptConn]bool), since: time.Now()}
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() { f.askReady(stop) })
	ticker := time.NewTicker(time.Second / freshRate)
	defer ticker.Stop()
	sent := 0
	for end := time.Now().Add(freshTime); time.Now().Before(end) && !f.refused(); <-ticker.C {
		tasks.Go(f.request)
		if sent++; sent%(10*freshRate) == 0 {
			pid := m.node.Process.Pid
			c.record.note("%d requests on new connections; the node has %d descriptors and %d MB", sent, descriptors(pid), memory(pid))
		}
	}
	broken := f.refused()
	if broken {
		f.describe()
	}
	if m.ended() {
		c.record.note("the node's process has ended by itself: %s", lastLine(m))
	}
	close(stop)
	tasks.Wait()
	f.closeAll()
	return broken, nil
}

// freshClients are clients that open a new connection for each request.
type freshClients struct {
	cluster *cluster
	machine *machine
	// leave says that they leave their connections open.
	leave bool

	mu   sync.Mutex
	open map[*keptConn]bool
	// since is when the node last answered on a new connection or said that it is not ready, and
	// tried the number of clients that have waited in vain since.
	since time.Time
	tried int
}

// request sends one request on a new connection. It waits stableWindow for the answer at most.
func (f *freshClients) request() {
	id := newID()
	conn, err := dialKept(f.machine)
	a := answer{err: err}
	if err == nil {
		if a.err = conn.writeRequest(http.MethodPost, "/cobro/3", id, nil); a.err == nil {
			_ = conn.SetReadDeadline(time.Now().Add(stableWindow))
			a, _ = conn.readAnswer()
		}
	}
	a.id = id
	f.cluster.record.note("client at %s sent POST /cobro/3 on a new connection: %s", f.machine.ip, a)
	if conn != nil && (a.err != nil || !f.leave) {
		_ = conn.Close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.err != nil {
		f.tried++
		return
	}
	f.since, f.tried = time.Now(), 0
	if f.leave {
		f.open[conn] = true
	}
}

// refused reports whether the rule is broken by now.
func (f *freshClients) refused() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.since) > stableWindow && f.tried >= minClients
}

func (f *freshClients) describe() {
	f.mu.Lock()
	defer f.mu.Unlock()
	pid := f.machine.node.Process.Pid
	f.cluster.record.note("for %d ms no new connection got an answer, %d clients tried and the node said that it is ready; %d connections of clients are idle; the node has %d descriptors and %d MB",
		time.Since(f.since).Milliseconds(), f.tried, len(f.open), descriptors(pid), memory(pid))
}

func (f *freshClients) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn := range f.open {
		_ = conn.Close()
	}
}

// askReady asks the node once a second on a kept connection whether it is ready, as the platform does.
func (f *freshClients) askReady(stop chan struct{}) {
	client := http.Client{Timeout: time.Second}
	for last := ""; ; {
		state := "no answer"
		if resp, err := client.Get("http://" + f.machine.address(readyPort) + "/-/ready"); err == nil {
			// Reading the whole body keeps the connection.
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			state = fmt.Sprint(resp.StatusCode)
		}
		if state != "200" {
			f.mu.Lock()
			f.since, f.tried = time.Now(), 0
			f.mu.Unlock()
		}
		if state != last {
			f.cluster.record.note("readiness of %s: %s", f.machine.ip, state)
			last = state
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}
