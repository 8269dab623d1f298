// Package harness runs the system's real processes on loopback addresses for end-to-end
// tests. It injects faults into them, records what callers, backend servers and nodes
// observe, and checks the records.
package harness

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Process is a process that the harness started. Its methods are safe for concurrent use.
type Process struct {
	// Name identifies the process in errors and is the base name of its log file.
	Name   string
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
}

// startProcess runs a binary and appends its output to NAME.log in dir, so that the log
// holds the output of all processes that were started under the name.
func startProcess(dir, name, binary string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("process %s: open log: %w", name, err)
	}
	cmd := exec.Command(binary, args...)
	cmd.Stdout = log
	cmd.Stderr = log
	// The kernel kills the process if the test process is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("process %s: start: %w", name, err)
	}
	p := &Process{Name: name, cmd: cmd, log: log, exited: make(chan struct{})}
	go p.reap()
	return p, nil
}

func (p *Process) reap() {
	_ = p.cmd.Wait()
	_ = p.log.Close()
	close(p.exited)
}

// PID returns the process id.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// PeakMemory returns the largest resident size of the process so far, in bytes.
func (p *Process) PeakMemory() (int64, error) { return p.memory("VmHWM") }

// Memory returns the resident size of the process in bytes.
func (p *Process) Memory() (int64, error) { return p.memory("VmRSS") }

// Descriptors returns the number of open file descriptors of the process.
func (p *Process) Descriptors() (int, error) {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	if err != nil {
		return 0, fmt.Errorf("process %s: %w", p.Name, err)
	}
	return len(open), nil
}

// memory returns a size in the status of the process, in bytes.
func (p *Process) memory(field string) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0, fmt.Errorf("process %s: %w", p.Name, err)
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, field+": %d kB", &kilobytes); err == nil {
			return kilobytes << 10, nil
		}
	}
	return 0, fmt.Errorf("process %s: its status has no %s", p.Name, field)
}

// Signal sends a signal to the process. It does nothing if the process has exited.
func (p *Process) Signal(sig syscall.Signal) error {
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("process %s: send signal: %w", p.Name, err)
	}
	return nil
}

// Kill sends SIGKILL and waits for the exit of the process.
func (p *Process) Kill() error {
	err := p.Signal(syscall.SIGKILL)
	<-p.exited
	return err
}

// Terminate sends SIGTERM and returns the exit code, as ExitCode does.
func (p *Process) Terminate() (int, error) {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	return p.ExitCode()
}

// ExitCode waits until the process exits, for at most WaitTimeout, and returns its exit
// code.
func (p *Process) ExitCode() (int, error) {
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(WaitTimeout):
		return 0, fmt.Errorf("process %s: still running after the wait timeout", p.Name)
	}
}

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} {
	return p.exited
}
