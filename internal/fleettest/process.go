package fleettest

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is a running child process. The kernel kills it when its parent dies.
type Process struct {
	cmd   *exec.Cmd
	ended chan struct{}

	mu        sync.Mutex
	stoppedAt time.Time // zero when the process is not stopped
	stopped   time.Duration
}

// Launch starts a process and sends its output to out. Env is added to the caller's environment.
func Launch(program, env []string, out *os.File) (*Process, error) {
	cmd := exec.Command(program[0], program[1:]...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", program[0], err)
	}
	p := &Process{cmd: cmd, ended: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// Running reports whether the process is alive. It is false for a nil Process.
func (p *Process) Running() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Ended returns a channel that is closed when the process has exited.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// ExitCode waits for the process to exit and returns its exit code, or -1 if a signal killed it.
func (p *Process) ExitCode() int {
	<-p.ended
	return p.cmd.ProcessState.ExitCode()
}

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process if it is running.
func (p *Process) Signal(s syscall.Signal) {
	if p.Running() {
		p.recordStop(s)
		p.cmd.Process.Signal(s)
	}
}

// Kill sends SIGKILL, which also ends a stopped process, waits for the exit and returns the resource usage.
func (p *Process) Kill() (u syscall.Rusage) {
	if p == nil {
		return u
	}
	p.Signal(syscall.SIGKILL)
	<-p.ended
	if r, is := p.cmd.ProcessState.SysUsage().(*syscall.Rusage); is {
		u = *r
	}
	return u
}
