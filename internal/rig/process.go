package rig

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is a process of the program. It is ended with whoever started it.
type Process struct {
	cmd   *exec.Cmd
	ended chan struct{}

	mu        sync.Mutex
	stoppedAt time.Time // zero: it is not stopped
	stopped   time.Duration
}

// Launch starts one; what it writes goes to out. Env is beside the caller's own.
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

// Running says whether it is there; a nil one is not.
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

// Ended is closed when it is gone.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Code is what it ended with, once it is gone; -1: a signal ended it.
func (p *Process) Code() int {
	<-p.ended
	return p.cmd.ProcessState.ExitCode()
}

// Pid is its number.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends it a signal, if it is there.
func (p *Process) Signal(s syscall.Signal) {
	if p.Running() {
		p.note(s)
		p.cmd.Process.Signal(s)
	}
}

// Kill ends it without a word, stopped or not, and returns what it took.
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
