package harness

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"auburnladder.example/platform/standin"
	"github.com/sourcegraph/conc"
)

const (
	// soakClients is the number of callers at each node.
	soakClients = 2
	// soakTimeout is how long a caller waits, longer than a stopping node takes to end.
	soakTimeout = 10 * time.Second
	// soakMaxCrashes is the number of requests that may crash a server: three until the nodes
	// know, and three that were sent meanwhile.
	soakMaxCrashes = 6
	// soakDowntime is how long a crashed backend server is away.
	soakDowntime = 300 * time.Millisecond
	// soakSettle is the time without unplanned faults after which a planned stop must not
	// cut a request.
	soakSettle = 3 * time.Second
)

// Targets of the soak, by the number of the request. Programs read their paths differently. No
// path of a booking begins with standin.LookUpPrefix.
var (
	soakReads    = []string{"/x/%d", "/x//%d", "/x/a%%2F%d", "/x/../%d", "/x/(%d)'*", "/x/%%78?a=/../%%2F%d"}
	soakBookings = []string{"/%d", "/look-up%%2F%d", "//look-up/%d", "/%%6cook-up/%d", "/a/../look-up/%d", "/./look-up/%d?a=//look-up/"}
)

// Soak runs a seeded series of overlapping faults against a cluster while callers send requests
// on kept connections.
type Soak struct {
	cluster *StoreCluster
	seed    uint64
	// plannedOnly leaves out kills, pauses and crashes, so that no request may be cut.
	plannedOnly bool
	started     time.Time
	// vmBusy is held while a fault of the VM's node lasts, storeBusy while one of the store
	// does.
	vmBusy    []sync.Mutex
	storeBusy sync.Mutex

	// burstBusy is held while a burst lasts. coldMu orders the changes of servers that become cold.
	burstBusy, coldMu sync.Mutex

	mu   sync.Mutex
	load soakLoad
	// executions holds the target of each run of a request, by its ID.
	executions map[string][]string
	requests   []soakRequest
	unplanned  []interval
	timeline   []string
	violations []string
	version    int
	// away is the number of nodes that do not run, and forgotten is set once none did: what
	// nodes know of each other's crashes is lost then.
	away      int
	forgotten bool
}

// soakRequest is one request as its caller saw it.
type soakRequest struct {
	id, target string
	// vm is the index of the VM whose node took the request.
	vm         int
	idempotent bool
	sent, done time.Time
	// status is 0 if there was no response.
	status int
}

// brokenOff reports whether the caller got no response of a server, nor that none ran the request.
func (r *soakRequest) brokenOff() bool {
	return r.status == 0 || r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout
}

type interval struct {
	from, to time.Time
	// vm is the index of the VM that a fault concerns, or noVM.
	vm int
}

// NewSoak returns a soak of a cluster in two failure domains that serves reads at a and bookings at b, with revision 3
// published. A third of the seeds has planned faults only.
func NewSoak(c *StoreCluster, seed uint64) *Soak {
	s := &Soak{
		cluster: c, seed: seed, plannedOnly: seed%3 == 0, started: time.Now(),
		vmBusy: make([]sync.Mutex, len(c.VMs)), executions: make(map[string][]string), version: 3,
		load: newSoakLoad(len(c.VMs)),
	}
	for i, vm := range c.VMs {
		vm.Server.OnRun = func(id, target string) { s.recordRunAt(i, id, target) }
		vm.onRestart = func() { s.restarted(i) }
		c.CrashOnRequest(vm, soakDowntime)
	}
	return s
}

// Run injects faults for the given time, waits until all nodes serve again and returns what
// broke a rule, and the timeline.
func (s *Soak) Run(duration time.Duration) (violations, timeline []string) {
	s.awaitConfig()
	stop := make(chan struct{})
	var callers, faults conc.WaitGroup
	for i := range s.cluster.VMs {
		for k := range soakClients {
			callers.Go(func() { s.call(i, k, stop) })
		}
	}
	rnd := rand.New(rand.NewPCG(s.seed, 0))
	local := rand.New(rand.NewPCG(rnd.Uint64(), 0))
	faults.Go(func() { s.evacuate(local) })
	for end := time.Now().Add(duration); time.Now().Before(end); {
		fault, local := s.drawFault(rnd), rand.New(rand.NewPCG(rnd.Uint64(), 0))
		faults.Go(func() { fault(local) })
		time.Sleep(time.Duration(100+rnd.IntN(700)) * time.Millisecond)
	}
	faults.Wait()
	// The last burst is followed by no restart of a node, which would end what it left behind.
	s.burst(rnd)
	close(stop)
	callers.Wait()
	s.checkRecovery()
	s.checkReturn()
	s.checkRequests()
	s.checkEvacuations()
	s.checkCold()
	s.checkCrashes()
	return s.violations, s.timeline
}

// Requests returns the number of requests that were sent.
func (s *Soak) Requests() int { return len(s.requests) }

// Covered returns what the checks of cold servers and evacuations were applied to.
func (s *Soak) Covered() string {
	text := fmt.Sprintf("%d requests, %d of them to cold servers (most in a second %d)", len(s.requests), s.load.coldRuns, s.load.coldMost)
	for _, e := range s.load.evacuations {
		text += fmt.Sprintf("; %s evacuated for %s after the bound", e.zone, e.to.Sub(e.from).Round(time.Millisecond))
	}
	return text
}

// drawFault returns a random fault.
func (s *Soak) drawFault(rnd *rand.Rand) func(*rand.Rand) {
	planned := []func(*rand.Rand){s.terminate, s.terminate, s.hup, s.failStore, s.publish, s.forget, s.becomeCold, s.becomeCold, s.burst}
	if s.plannedOnly {
		return planned[rnd.IntN(len(planned))]
	}
	all := append(planned, s.kill, s.kill, s.pause, s.crashServer, s.sendCrashing)
	return all[rnd.IntN(len(all))]
}

// onVM runs a fault of a random VM, unless one is in progress there.
func (s *Soak) onVM(rnd *rand.Rand, name string, unplanned bool, fault func(vm *StoreVM) error) {
	i := rnd.IntN(len(s.cluster.VMs))
	if !s.vmBusy[i].TryLock() {
		return
	}
	defer s.vmBusy[i].Unlock()
	vm := s.cluster.VMs[i]
	from := s.log("%s %s", name, vm.IP)
	if err := fault(vm); err != nil {
		s.violate("%s %s: %v", name, vm.IP, err)
	}
	if unplanned {
		s.mu.Lock()
		s.unplanned = append(s.unplanned, interval{from, time.Now(), i})
		s.mu.Unlock()
	}
	s.log("end of %s %s", name, vm.IP)
}

func (s *Soak) kill(rnd *rand.Rand) {
	s.onVM(rnd, "kill", true, func(vm *StoreVM) error {
		s.changeAway(1)
		defer s.changeAway(-1)
		if err := vm.Node.Kill(); err != nil {
			return err
		}
		return s.restart(rnd, vm)
	})
}

func (s *Soak) terminate(rnd *rand.Rand) {
	s.onVM(rnd, "terminate", false, func(vm *StoreVM) error {
		s.changeAway(1)
		defer s.changeAway(-1)
		if code, err := vm.Node.Terminate(); err != nil || code != 0 {
			return errors.Join(err, fmt.Errorf("exit code %d", code))
		}
		return s.restart(rnd, vm)
	})
}

// changeAway changes the number of nodes that do not run.
func (s *Soak) changeAway(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away += n
	s.forgotten = s.forgotten || s.away == len(s.cluster.VMs)
}

// restart starts the node of a VM after a random time and waits until it is ready.
func (s *Soak) restart(rnd *rand.Rand, vm *StoreVM) error {
	time.Sleep(time.Duration(rnd.IntN(500)) * time.Millisecond)
	if err := s.cluster.StartNode(vm); err != nil {
		return err
	}
	return s.cluster.AwaitReady(vm)
}

func (s *Soak) pause(rnd *rand.Rand) {
	s.onVM(rnd, "pause", true, func(vm *StoreVM) error {
		err := vm.Node.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(100+rnd.IntN(2500)) * time.Millisecond)
		return errors.Join(err, vm.Node.Signal(syscall.SIGCONT))
	})
}

func (s *Soak) hup(rnd *rand.Rand) {
	s.onVM(rnd, "hup", false, func(vm *StoreVM) error { return vm.Node.Signal(syscall.SIGHUP) })
}

func (s *Soak) crashServer(rnd *rand.Rand) {
	s.onVM(rnd, "crash of the server of", true, func(vm *StoreVM) error {
		vm.Server.Crash()
		time.Sleep(soakDowntime)
		return nil
	})
}

// sendCrashing sends requests that crash the servers that run them, to random nodes.
func (s *Soak) sendCrashing(rnd *rand.Rand) {
	from := s.log("crashing requests")
	for range 4 + rnd.IntN(8) {
		vm := s.cluster.VMs[rnd.IntN(len(s.cluster.VMs))]
		// The node may be away. What the caller gets is not checked.
		_, _ = s.cluster.Send(vm, http.MethodGet, standin.ReadHost, "/x/"+standin.CrashPath, fmt.Sprintf("crash-%d", rnd.Uint64()))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unplanned = append(s.unplanned, interval{from, time.Now().Add(soakDowntime), noVM})
}

func (s *Soak) failStore(rnd *rand.Rand) {
	if !s.storeBusy.TryLock() {
		return
	}
	defer s.storeBusy.Unlock()
	kinds := []standin.Failure{standin.Busy, standin.Limited, standin.Resets, standin.Unresponsive}
	kind := kinds[rnd.IntN(len(kinds))]
	s.log("failure %d of the store", kind)
	s.setStoreFailing(true)
	s.cluster.Store.Fail(kind)
	time.Sleep(time.Duration(200+rnd.IntN(3000)) * time.Millisecond)
	s.cluster.Store.Fail(standin.NoFailure)
	s.setStoreFailing(false)
	s.log("end of the store's failure")
}

func (s *Soak) publish(rnd *rand.Rand) {
	s.mu.Lock()
	s.version += 1 + rnd.IntN(4)
	version := s.version
	s.mu.Unlock()
	s.log("revision %d", version)
	s.publishConfig(version)
}

func (s *Soak) forget(*rand.Rand) {
	s.log("history of the store dropped")
	s.cluster.Store.Forget()
}

// call sends requests to the node of a VM, on a kept connection as far as the node keeps it.
func (s *Soak) call(vm, worker int, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: soakTimeout}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		s.send(client, vm, fmt.Sprintf("s%d-%d-%d", vm, worker, n), n)
	}
}

// send sends one request and records what came of it.
func (s *Soak) send(client *http.Client, vm int, id string, n int) {
	r := soakRequest{id: id, vm: vm, idempotent: n%2 == 0}
	method, host, service := http.MethodPost, standin.BookHost, "b"
	r.target = fmt.Sprintf(soakBookings[n/2%len(soakBookings)], n)
	if r.idempotent {
		method, host, service = http.MethodGet, standin.ReadHost, "a"
		r.target = fmt.Sprintf(soakReads[n/2%len(soakReads)], n%20)
	}
	s.sendRequest(client, r, method, host, service)
}

// sendRequest sends a request and records what came of it.
func (s *Soak) sendRequest(client *http.Client, r soakRequest, method, host, service string) {
	vm, id := s.cluster.VMs[r.vm], r.id
	req, err := http.NewRequest(method, "http://"+vm.Address(storeCallerPort)+r.target, nil)
	if err != nil {
		s.violate("%s: %v", id, err)
		return
	}
	req.Host = host
	req.Header.Set(standin.RequestIDHeader, id)
	req.Header.Set(standin.DeadlineHeader, "3000")
	r.sent = time.Now()
	resp, err := client.Do(req)
	if err == nil {
		r.status = s.checkResponse(resp, id, standin.Body(service, vm.Service, id))
	}
	r.done = time.Now()
	if r.status == 0 && !refused(err) {
		s.log("no response to %s: %v", id, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, r)
}

func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// checkResponse checks a success against the body that the server sent, and returns the status, or
// 0 if the response is incomplete.
func (s *Soak) checkResponse(resp *http.Response, id, want string) int {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	var netErr net.Error
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr):
		return 0
	case err != nil:
		s.violate("%s: read body: %v", id, err)
	case resp.StatusCode == http.StatusOK && (string(body) != want || resp.Header.Get("X-Server-Seal") == ""):
		s.violate("%s: success with body %q, seal %q", id, body, resp.Header.Get("X-Server-Seal"))
	}
	return resp.StatusCode
}

// checkRecovery waits until every node serves all routes.
func (s *Soak) checkRecovery() {
	var checks conc.WaitGroup
	for _, vm := range s.cluster.VMs {
		checks.Go(func() {
			for host, method := range map[string]string{
				standin.ReadHost: http.MethodGet, standin.BookHost: http.MethodPost, standin.ArchiveHost: http.MethodPost,
			} {
				if err := s.awaitServed(vm, method, host); err != nil {
					s.violate("recovery: %v", err)
				}
			}
		})
	}
	checks.Wait()
}

// checkRequests compares what callers got with what the servers ran.
func (s *Soak) checkRequests() {
	for _, r := range s.requests {
		runs := len(s.executions[r.id])
		for _, target := range s.executions[r.id] {
			if target != r.target {
				s.violate("%s was sent as %s and ran as %s", r.id, r.target, target)
			}
		}
		promised := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
		switch {
		case r.idempotent:
		case runs > 1:
			s.violate("%s ran %d times", r.id, runs)
		case promised && runs > 0:
			s.violate("%s got %d and ran", r.id, r.status)
		}
		if r.brokenOff() && runs > 0 && s.calm(r) {
			s.violate("%s was passed on and broken off (status %d), sent at %s", r.id, r.status, r.sent.Sub(s.started))
		}
		if r.status == http.StatusNotFound || r.status == http.StatusForbidden {
			s.violate("%s got %d", r.id, r.status)
		}
	}
}

// checkCrashes checks that a request that crashes servers was stopped.
func (s *Soak) checkCrashes() {
	var crashes int64
	for _, vm := range s.cluster.VMs {
		crashes += vm.Server.Crashes.Load()
	}
	if crashes > soakMaxCrashes && !s.forgotten {
		s.violate("%d requests that crash a server reached servers", crashes)
	}
}

// calm reports whether no unplanned fault occurred from soakSettle before the request to its end.
func (s *Soak) calm(r soakRequest) bool {
	for _, u := range s.unplanned {
		if r.done.After(u.from) && r.sent.Before(u.to.Add(soakSettle)) {
			return false
		}
	}
	return true
}

func (s *Soak) recordRun(id, target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[id] = append(s.executions[id], target)
}

// log adds a line to the timeline and returns the time.
func (s *Soak) log(format string, args ...any) time.Time {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeline = append(s.timeline, fmt.Sprintf("%8.3f s  ", now.Sub(s.started).Seconds())+fmt.Sprintf(format, args...))
	return now
}

// violate records a broken rule.
func (s *Soak) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.log("BROKEN: %s", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, text)
}
