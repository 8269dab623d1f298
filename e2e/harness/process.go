// Package harness runs real processes of the system on loopback addresses, breaks
// them, records what callers, backend servers and nodes saw, and checks the records.
package harness

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is one started process.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// startProcess runs a binary. Its output goes to NAME.log in dir, one life after another.
func startProcess(dir, name, binary string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("process %s: %w", name, err)
	}
	cmd := exec.Command(binary, args...)
	cmd.Stdout = log
	cmd.Stderr = log
	// The process must not outlive a test that was killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("process %s: %w", name, err)
	}
	p := &Process{Name: name, cmd: cmd, log: log, done: make(chan struct{})}
	go p.reap()
	return p, nil
}

func (p *Process) reap() {
	_ = p.cmd.Wait()
	_ = p.log.Close()
	close(p.done)
}

// PID returns the process id.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// Signal sends a signal to a process that still runs.
func (p *Process) Signal(sig syscall.Signal) error {
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("process %s: %w", p.Name, err)
	}
	return nil
}

// Kill ends the process at once with SIGKILL and waits for its end.
func (p *Process) Kill() error {
	err := p.Signal(syscall.SIGKILL)
	<-p.done
	return err
}

// Terminate sends SIGTERM and returns the exit code.
func (p *Process) Terminate() (int, error) {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	return p.ExitCode()
}

// ExitCode waits for the end of the process, at most for Patience.
func (p *Process) ExitCode() (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(Patience):
		return 0, fmt.Errorf("process %s: still runs", p.Name)
	}
}

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} {
	return p.done
}
