package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// cpuShare is the share of a core that a machine has, and quotaPeriod the time after which its quota is renewed: "The core
	// runs at full speed until the quota is used up, and then runs not at all for the rest of that tenth of a second."
	cpuShare    = 0.32
	quotaPeriod = 100 * time.Millisecond
	// tick is the unit of the processor time in /proc.
	tick = 10 * time.Millisecond
)

// processorTime returns the processor time of the node's process.
func (m *machine) processorTime() time.Duration {
	cmd, _ := m.process()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text)[strings.LastIndexByte(string(text), ')')+1:])
	if len(fields) < 13 {
		return 0
	}
	var user, system int64
	_, _ = fmt.Sscan(fields[11], &user)
	_, _ = fmt.Sscan(fields[12], &system)
	return time.Duration(user+system) * tick
}

// keepQuotas stops each node, by signals, while its machine's quota of processor time is used up.
func (c *cluster) keepQuotas(stop chan struct{}, tasks *sync.WaitGroup) {
	for _, m := range c.machines {
		tasks.Go(func() {
			defer m.signal(syscall.SIGCONT)
			left, used := time.Duration(0), m.processorTime()
			renewed := time.Now()
			const quota = time.Duration(cpuShare * float64(quotaPeriod))
			stopped := false
			for {
				select {
				case <-stop:
					return
				case <-time.After(3 * time.Millisecond):
				}
				now := m.processorTime()
				left -= now - used
				used = now
				if time.Since(renewed) >= quotaPeriod {
					renewed = renewed.Add(quotaPeriod)
					left = quota
				}
				switch {
				case left <= 0 && !stopped:
					m.signal(syscall.SIGSTOP)
					stopped = true
				case left > 0 && stopped:
					m.signal(syscall.SIGCONT)
					stopped = false
				}
			}
		})
	}
}
