package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unsafe"
)

// watchInterval is how often the stand-in of the platform looks at the memory of a process, and
// restartDelay how long it waits before it starts an ended process again.
const (
	watchInterval = 5 * time.Millisecond
	restartDelay  = time.Second
)

// memory returns the resident memory of a process in MB, 0 if the process has ended.
func memory(pid int) int {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// descriptors returns the number of open descriptors of a process.
func descriptors(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}

// rlimit is the resource limit of a process.
type rlimit struct{ current, maximum uint64 }

// limitDescriptors sets the limit of descriptors of a process that this one has started.
func limitDescriptors(pid int, n uint64) error {
	const resourceFiles = 7
	l := rlimit{n, n}
	if _, _, e := syscall.Syscall6(syscall.SYS_PRLIMIT64, uintptr(pid), resourceFiles, uintptr(unsafe.Pointer(&l)), 0, 0, 0); e != 0 {
		return e
	}
	return nil
}

// requireDescriptors returns an error if this process may not open n descriptors.
func requireDescriptors(n uint64) error {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return err
	}
	if l.Cur < n {
		return fmt.Errorf("the clients need %d descriptors, this process may open %d", n, l.Cur)
	}
	return nil
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
