package main

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// watchInterval is how often the stand-in of the platform looks at the memory of a process, and
// restartDelay how long it waits before it starts an ended process again.
const (
	watchInterval = 5 * time.Millisecond
	restartDelay  = time.Second
)

// memory returns the memory of a process in MB, without the pages of its files, 0 if the process has ended.
func memory(pid int) int {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// enforceMemory kills the node of a machine whenever it has more memory than limitMB, as the platform
// does, and starts it again, until stop is closed. It returns how often it did so.
func (c *cluster) enforceMemory(m *machine, limitMB int, stop chan struct{}) (kills int) {
	for {
		select {
		case <-stop:
			return kills
		case <-time.After(watchInterval):
		}
		mb := memory(m.node.Process.Pid)
		if mb <= limitMB {
			continue
		}
		c.record.note("node of %s has %d MB, more than its %d MB: the platform kills it", m.ip, mb, limitMB)
		m.kill()
		kills++
		time.Sleep(restartDelay)
		if err := c.startNode(m); err != nil {
			c.record.note("node of %s could not be started again: %v", m.ip, err)
			return kills
		}
	}
}
