package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"auburnladder.example/platform/standin"
	"github.com/sourcegraph/conc"
)

const (
	// soakColdStart is how long a server of the soak is cold, and soakColdPerS the requests per second that it
	// tolerates meanwhile. The callers send it several times that.
	soakColdStart = 4 * time.Second
	soakColdPerS  = 3.0
	// soakColdLimit is the stated limit of requests in any second to a cold server: coldPerS x 1.5 + 8.
	soakColdLimit = soakColdPerS*1.5 + 8
	// soakLearnCold is the bound for changes of the store to reach all nodes. Only the entry in the store says
	// that a server that did not restart is cold.
	soakLearnCold = 2 * time.Second
	// soakHeartbeat is the time after which the platform writes the entry of a server again.
	soakHeartbeat = 1500 * time.Millisecond
	// soakEvacuation is the stated bound of an evacuation after the store acknowledged its key, and
	// soakUnstable what a failure of the store meanwhile adds to it.
	soakEvacuation = 5 * time.Second
	soakUnstable   = 5 * time.Second
	// soakEvacuated is the time for which the check of an evacuation goes on after its bound.
	soakEvacuated = 3 * time.Second
	// soakBurstCallers is the number of concurrent callers in a burst, several times the slots of a service.
	soakBurstCallers = 40
)

// soakRun is a request that a server executed.
type soakRun struct {
	id string
	at time.Time
}

// evacuation is the time from which the servers of a failure domain must not get requests, to the
// removal of the key.
type evacuation struct {
	zone string
	interval
}

// coldPeriod is a time in which the limit of a cold server holds.
type coldPeriod struct {
	interval
	// announced is when the entry was written that alone says that the server is cold, zero after a restart.
	announced time.Time
}

// soakLoad is what the soak records for its checks of evacuations and cold servers. Soak.mu guards it.
type soakLoad struct {
	// runs are the requests that each server executed, by index of the VM.
	runs [][]soakRun
	// cold are the times in which the limit of cold servers holds, by index of the VM.
	cold [][]coldPeriod
	// coldUntil is when each server becomes warm, by index of the VM.
	coldUntil   []time.Time
	evacuations []evacuation
	// storeFailures are the failures of the store that have ended, storeFailing the start of the current one.
	storeFailures []interval
	storeFailing  time.Time
	// coldRuns is the number of requests that were checked against the limit of cold servers, and
	// coldMost the largest number of them to one server in a second.
	coldRuns, coldMost int
}

func newSoakLoad(vms int) soakLoad {
	return soakLoad{runs: make([][]soakRun, vms), cold: make([][]coldPeriod, vms), coldUntil: make([]time.Time, vms)}
}

// publishConfig publishes the configuration of a version.
func (s *Soak) publishConfig(version int) {
	s.cluster.Store.PublishCold(version, "/x/", "a", "b", soakColdStart, soakColdPerS)
}

// awaitConfig publishes the soak's configuration and waits until all nodes have it.
func (s *Soak) awaitConfig() {
	s.version++
	s.publishConfig(s.version)
	for _, vm := range s.cluster.VMs {
		if err := s.awaitServed(vm, http.MethodPost, standin.ArchiveHost); err != nil {
			s.violate("start: %v", err)
		}
	}
}

// awaitServed waits until a VM's node serves a route.
func (s *Soak) awaitServed(vm *StoreVM, method, host string) error {
	return Eventually(vm.IP+" serves "+host, func() error {
		resp, err := s.cluster.Send(vm, method, host, "/x/1", "recovery")
		if err == nil && resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
		return err
	})
}

// evacuate evacuates a failure domain until after its bound, and ends that.
func (s *Soak) evacuate(rnd *rand.Rand) {
	time.Sleep(time.Duration(200+rnd.IntN(1200)) * time.Millisecond)
	zone := []string{standin.Zone, standin.OtherZone}[rnd.IntN(2)]
	s.cluster.Store.Put(standin.EvacuateKey(zone), []byte("{}"))
	acknowledged := s.log("evacuation of %s", zone)
	time.Sleep(soakEvacuation)
	bound := soakEvacuation
	if s.storeFailed(acknowledged, time.Now()) {
		time.Sleep(soakUnstable)
		bound += soakUnstable
	}
	time.Sleep(soakEvacuated)
	removed := s.log("end of the evacuation of %s", zone)
	s.cluster.Store.Remove(standin.EvacuateKey(zone))
	s.mu.Lock()
	s.load.evacuations = append(s.load.evacuations, evacuation{zone, interval{from: acknowledged.Add(bound), to: removed}})
	s.mu.Unlock()
}

// setStoreFailing records the start or the end of a failure of the store.
func (s *Soak) setStoreFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if failing {
		s.load.storeFailing = time.Now()
		return
	}
	s.load.storeFailures = append(s.load.storeFailures, interval{from: s.load.storeFailing, to: time.Now()})
	s.load.storeFailing = time.Time{}
}

// storeFailed reports whether the store failed between two times.
func (s *Soak) storeFailed(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if failing := s.load.storeFailing; !failing.IsZero() && failing.Before(to) {
		return true
	}
	return slices.ContainsFunc(s.load.storeFailures, func(f interval) bool { return f.from.Before(to) && f.to.After(from) })
}

// becomeCold makes the server of a random VM cold without a restart. Nodes learn of it from its entry alone.
func (s *Soak) becomeCold(rnd *rand.Rand) {
	i := rnd.IntN(len(s.cluster.VMs))
	from, begun := s.startCold(i, "the server of %s becomes cold", false)
	if !begun {
		return
	}
	s.cluster.Store.List(s.cluster.VMs[i].Server, false)
	time.Sleep(time.Until(from.Add(soakLearnCold)))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.load.coldUntil[i].Equal(from.Add(soakColdStart)) {
		s.load.cold[i] = append(s.load.cold[i], coldPeriod{interval{from: time.Now(), to: from.Add(soakColdStart)}, from})
	}
}

// restarted makes the server of a VM cold, which has restarted. The limit holds at once, the entry follows with
// the next heartbeat.
func (s *Soak) restarted(i int) {
	from, _ := s.startCold(i, "the server of %s restarts cold", true)
	time.AfterFunc(soakHeartbeat, func() { s.cluster.Store.List(s.cluster.VMs[i].Server, false) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load.cold[i] = append(s.load.cold[i], coldPeriod{interval: interval{from: from, to: from.Add(soakColdStart)}})
}

// startCold makes the server of a VM cold. Without a restart, a server that is cold already
// stays as it is.
func (s *Soak) startCold(i int, event string, restart bool) (from time.Time, begun bool) {
	s.coldMu.Lock()
	defer s.coldMu.Unlock()
	now := time.Now()
	s.mu.Lock()
	if !restart && now.Before(s.load.coldUntil[i]) {
		s.mu.Unlock()
		return now, false
	}
	s.load.coldUntil[i] = now.Add(soakColdStart)
	if n := len(s.load.cold[i]); n > 0 && s.load.cold[i][n-1].to.After(now) {
		// The limit counts the requests of one run of a server.
		s.load.cold[i][n-1].to = now
	}
	s.mu.Unlock()
	vm := s.cluster.VMs[i]
	s.log(event, vm.IP)
	vm.Server.BecomeCold(soakColdStart)
	return now, true
}

// burst sends many requests of the lowest rank to all nodes. The requests of rank 0 to the same service go on.
func (s *Soak) burst(rnd *rand.Rand) {
	if !s.burstBusy.TryLock() {
		return
	}
	defer s.burstBusy.Unlock()
	seed := rnd.Uint64()
	s.log("burst of the lowest rank")
	end := time.Now().Add(time.Duration(500+rnd.IntN(1500)) * time.Millisecond)
	var callers conc.WaitGroup
	for k := range soakBurstCallers {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: soakTimeout}
			defer client.CloseIdleConnections()
			for n := 0; time.Now().Before(end); n++ {
				r := soakRequest{id: fmt.Sprintf("burst%x-%d-%d", seed, k, n), vm: k % len(s.cluster.VMs), target: fmt.Sprintf("/%d", n)}
				s.sendRequest(client, r, http.MethodPost, standin.ArchiveHost, "b")
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	s.log("end of the burst")
}

// recordRunAt records a request that the server of a VM executed.
func (s *Soak) recordRunAt(i int, id, target string) {
	s.recordRun(id, target)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load.runs[i] = append(s.load.runs[i], soakRun{id, time.Now()})
}

// inTrouble reports whether an unplanned fault of a VM's node or server lasted between two times, or ended
// less than soakSettle before.
func (s *Soak) inTrouble(vm int, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.unplanned, func(u interval) bool {
		return u.vm == vm && to.After(u.from) && from.Before(u.to.Add(soakSettle))
	})
}

// checkEvacuations checks that no server of an evacuated failure domain executed a request, other than from a
// node in trouble.
func (s *Soak) checkEvacuations() {
	requests := make(map[string]soakRequest, len(s.requests))
	for _, r := range s.requests {
		requests[r.id] = r
	}
	for _, e := range s.load.evacuations {
		for i, vm := range s.cluster.VMs {
			if vm.Zone != e.zone {
				continue
			}
			for _, run := range s.load.runs[i] {
				if !run.at.After(e.from) || !run.at.Before(e.to) {
					continue
				}
				if r, ok := requests[run.id]; ok && s.inTrouble(r.vm, r.sent, run.at) {
					continue
				}
				s.violate("%s reached the server of %s in the evacuated domain %s at %s, %s after the bound", run.id, vm.IP, e.zone, run.at.Sub(s.started), run.at.Sub(e.from))
			}
		}
	}
}

// checkCold checks the number of requests that cold servers got in any second.
func (s *Soak) checkCold() {
	for i, vm := range s.cluster.VMs {
		for _, c := range s.load.cold[i] {
			if !c.announced.IsZero() && (s.storeFailed(c.announced, c.from) || s.inTrouble(i, c.announced, c.from)) {
				// The node need not have heard of it.
				continue
			}
			var within []soakRun
			for _, run := range s.load.runs[i] {
				if !run.at.Before(c.from) && run.at.Before(c.to) {
					within = append(within, run)
				}
			}
			most, at := 0, time.Time{}
			for first, last := 0, 0; last < len(within); last++ {
				for within[last].at.Sub(within[first].at) >= time.Second {
					first++
				}
				if n := last - first + 1; n > most {
					most, at = n, within[first].at
				}
			}
			s.load.coldMost = max(s.load.coldMost, most)
			if float64(most) > soakColdLimit {
				event := "restarted"
				if !c.announced.IsZero() {
					event = "became cold"
				}
				s.violate("the server of %s, which %s before %s, got %d requests in the second from %s on", vm.IP, event, c.from.Sub(s.started), most, at.Sub(s.started))
			}
			s.load.coldRuns += len(within)
		}
	}
}

// checkReturn waits until servers of every failure domain that was evacuated get requests again.
func (s *Soak) checkReturn() {
	for _, e := range s.load.evacuations {
		err := Eventually("the servers of "+e.zone+" get requests", func() error {
			for _, vm := range s.cluster.VMs {
				_, _ = s.cluster.Send(vm, http.MethodGet, standin.ReadHost, "/x/1", "recovery")
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			for i, vm := range s.cluster.VMs {
				if n := len(s.load.runs[i]); vm.Zone == e.zone && n > 0 && s.load.runs[i][n-1].at.After(e.to) {
					return nil
				}
			}
			return errors.New("none since the end of the evacuation")
		})
		if err != nil {
			s.violate("recovery: %v", err)
		}
	}
}

// noVM is the VM of faults that concern no single one.
const noVM = -1
