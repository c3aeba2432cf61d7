// Package guard runs a command that must not outlive its lease. It sends SIGTERM some time before the deadline,
// and kills what is left (SIGKILL) early enough that nothing of it exists at the deadline. A guard is a
// separate process with its own timer: it enforces the last deadline that it received even if the broker that
// sent it is killed or suspended.
package guard

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the clock of all deadlines, in ns: the time since the machine booted, including suspension,
// the same for all its processes.
func BootTime() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux kernel has this clock
	}
	return t.Nano()
}

// Spec describes a command to run.
type Spec struct {
	Argv     []string
	Env      []string // in addition to the guard's own
	Deadline int64    // the deadline by BootTime: nothing of the command may run after it
	// The command gets SIGTERM at Grace before the deadline; what is left is killed at Lead before it.
	Grace, Lead time.Duration
	Timeout     time.Duration // 0 for none
	Out         io.Writer     // receives the output; nil discards it
	In          io.Reader
	Mark        string // a variable in its environment that no other process has; "" for none
}

// Instruction is sent to a guard: a later deadline, or that the command has to end now, and why.
type Instruction struct {
	Deadline int64
	Cancel   string
}

// Result is how a command ended. When it is returned, no process of the command is left.
type Result struct {
	Code int    // exit code; 128 plus the number of the signal that ended it; -1 if it did not start
	Why  string // why it was ended; "" if it ended by itself
}

const (
	sweepInterval = 5 * time.Millisecond
	// requiredCleanSweeps sweeps in a row have to find nothing. One is not enough: a process that is forked
	// while /proc is listed is not in the list, and its parent may have exited before it is looked at.
	requiredCleanSweeps = 2
)

// guards holds the guard processes of this process that may still exist.
var guards = struct {
	sync.Mutex
	reaper bool
	known  map[int]bool
}{known: map[int]bool{}}

// BecomeReaper makes the calling process the reaper of what a killed guard leaves behind. Then all of it is
// found whatever its environment contains, which is empty for a moment while a program starts. From then on the
// next sweep kills every child that is not a guard, so the process should start no others.
func BecomeReaper() error {
	if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("guard: %w", err)
	}
	guards.Lock()
	guards.reaper = true
	guards.Unlock()
	return nil
}

// killOrphans kills and reaps those of the listed processes that dead guards have left to this process. It
// returns their number.
func killOrphans(all map[int]process) (n int) {
	guards.Lock()
	defer guards.Unlock()
	if !guards.reaper {
		return 0
	}
	for pid, p := range all {
		// A guard in the known set may have started after the listing, and then it is not in the list.
		if p.ppid == os.Getpid() && !guards.known[pid] {
			n++
			unix.Kill(pid, unix.SIGKILL)
			unix.Wait4(pid, nil, unix.WNOHANG, nil)
		}
	}
	return n
}

// Run runs a command to its end. It calls begun, if that is not nil, with the ID of the command's first
// process. The calling process becomes the reaper of all that the command leaves behind, so that nothing
// escapes by forking, changing its session or closing its descriptors; it should run nothing else.
func Run(s Spec, instructions <-chan Instruction, begun func(pid int)) Result {
	runtime.LockOSThread() // the kernel sends the death signal when the thread that forked dies
	defer runtime.UnlockOSThread()
	if BootTime() >= s.Deadline-int64(s.Grace) {
		return Result{-1, "too late to begin: the lease is about to run out"}
	}
	if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		return Result{-1, fmt.Sprintf("the command could not be guarded: %v", err)}
	}
	path, err := exec.LookPath(s.Argv[0])
	if err != nil {
		return Result{-1, err.Error()}
	}
	files := []*os.File{nil, nil, nil}
	if f, is := s.In.(*os.File); is {
		files[0] = f
	}
	if f, is := s.Out.(*os.File); is {
		files[1], files[2] = f, f
	}
	null, err := os.OpenFile(os.DevNull, os.O_RDWR, 0)
	if err != nil {
		return Result{-1, err.Error()}
	}
	defer null.Close()
	for i := range files {
		if files[i] == nil {
			files[i] = null
		}
	}
	p, err := os.StartProcess(path, s.Argv, &os.ProcAttr{Env: append(os.Environ(), s.Env...), Files: files,
		Sys: &syscall.SysProcAttr{Setsid: true, Pdeathsig: syscall.SIGKILL}})
	if err != nil {
		return Result{-1, err.Error()}
	}
	if begun != nil {
		begun(p.Pid)
	}
	return supervise(s, p.Pid, instructions)
}

// supervise supervises a command until nothing of it is left.
func supervise(s Spec, pid int, instructions <-chan Instruction) Result {
	codes, gone := make(chan int, 1), make(chan struct{})
	go reap(pid, codes, gone)
	return superviseUntilGone(s, pid, instructions, codes, gone)
}

func superviseUntilGone(s Spec, pid int, instructions <-chan Instruction, codes chan int, gone chan struct{}) Result {
	began := BootTime()
	r, until, sigtermSent, killed := Result{}, s.Deadline, false, false
	limit := func() (at int64, why string) {
		at, why = until, "its lease runs out"
		if end := began + int64(s.Timeout) + int64(s.Grace); s.Timeout > 0 && end < at {
			at, why = end, "it took longer than its timeout"
		}
		return at, why
	}
	var sweep <-chan time.Time
	for {
		at, why := limit()
		next := at - int64(s.Grace)
		if sigtermSent {
			next = at - int64(s.Lead)
		}
		timer := time.NewTimer(time.Duration(max(0, next-BootTime())))
		if killed {
			timer.Stop()
		}
		select {
		case r.Code = <-codes:
			// The processes that it left behind are killed too.
			killed, codes = true, nil
			killCommand(pid)
			sweep = time.After(sweepInterval)
		case <-gone:
			timer.Stop()
			select {
			case r.Code = <-codes: // both channels were ready; without this, a killed command was reported as one that ended well
			default:
			}
			return r
		case <-sweep:
			killCommand(pid)
			sweep = time.After(sweepInterval)
		case t, open := <-instructions:
			if !open {
				instructions = nil // whoever sent deadlines is gone: the last one remains in force
			} else if t.Cancel != "" && r.Why == "" {
				r.Why = t.Cancel
				if end := BootTime() + int64(s.Grace); end < until {
					until = end
				}
			} else if r.Why == "" {
				until = max(until, t.Deadline)
			}
		case <-timer.C:
			if BootTime() < next {
				break
			}
			if r.Why == "" {
				r.Why = why
				until = min(until, at)
			}
			if !sigtermSent {
				sigtermSent = true
				unix.Kill(-pid, unix.SIGTERM)
			} else {
				killed = true
				killCommand(pid)
				sweep = time.After(sweepInterval)
			}
		}
		timer.Stop()
	}
}

// reap reaps every process below this one until there is none.
func reap(pid int, codes chan<- int, gone chan<- struct{}) {
	for {
		var status unix.WaitStatus
		got, err := unix.Wait4(-1, &status, 0, nil)
		switch {
		case err == unix.EINTR:
		case err != nil:
			close(gone)
			return
		case got == pid && status.Signaled():
			codes <- 128 + int(status.Signal())
		case got == pid:
			codes <- status.ExitStatus()
		}
	}
}

// killCommand kills a command's process group and all other descendants of this process.
func killCommand(pid int) {
	unix.Kill(-pid, unix.SIGKILL)
	KillBelow(os.Getpid(), pid)
}

// KillMarked kills every process of this user whose environment contains a mark, such as GULLSTAIR_FENCE=7.
// Child processes inherit it in any session, even if their parents are dead. It returns the number of
// processes.
func KillMarked(mark string) (n int) {
	paths, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil || !strings.Contains("\x00"+string(text), "\x00"+mark+"\x00") {
			continue
		}
		if pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(path))); pid > 1 && pid != os.Getpid() {
			n++
			unix.Kill(pid, unix.SIGKILL)
		}
	}
	return n
}

// KillBelow kills every descendant of a process, and every process of a session. It returns their number.
func KillBelow(parent, session int) (n int) {
	return killBelow(processes(), parent, session)
}

func killBelow(all map[int]process, parent, session int) (n int) {
	for pid, p := range all {
		matches := !p.zombie && session > 1 && p.sid == session
		for ancestor, steps := p.ppid, 0; !p.zombie && !matches && ancestor > 1 && steps < 64; steps++ {
			matches = ancestor == parent
			ancestor = all[ancestor].ppid
		}
		if matches && pid != os.Getpid() && pid != parent {
			n++
			unix.Kill(pid, unix.SIGKILL)
		}
	}
	return n
}

// process is an entry of /proc.
type process struct {
	ppid, sid int
	zombie    bool // it has ended and waits to be reaped
}

// processes lists all processes of the machine.
func processes() map[int]process {
	all := map[int]process{}
	paths, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		// The process name, in parentheses, may contain any character.
		at := strings.LastIndexByte(string(text), ')')
		f := strings.Fields(string(text[at+1:]))
		pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(path)))
		if at < 0 || len(f) < 4 {
			continue
		}
		ppid, _ := strconv.Atoi(f[1])
		sid, _ := strconv.Atoi(f[3])
		all[pid] = process{ppid, sid, f[0] == "Z"}
	}
	return all
}

// Serve runs a command in a guard process. It reads instructions from a reader, one per line, and writes its
// reports to a writer.
func Serve(s Spec, in io.Reader, out io.Writer) Result {
	instructions := make(chan Instruction, 16)
	go func() {
		defer close(instructions)
		lines := bufio.NewScanner(in)
		for lines.Scan() {
			word, rest, _ := strings.Cut(lines.Text(), " ")
			switch n, err := strconv.ParseInt(rest, 10, 64); {
			case word == "until" && err == nil:
				instructions <- Instruction{Deadline: n}
			case word == "cancel":
				instructions <- Instruction{Cancel: rest}
			}
		}
	}()
	r := Run(s, instructions, func(pid int) { fmt.Fprintf(out, "child %d\n", pid) })
	fmt.Fprintf(out, "ended %d %s\n", r.Code, strings.ReplaceAll(r.Why, "\n", " "))
	return r
}

// Process is a guard that runs as a process of its own.
type Process struct {
	cmd       *exec.Cmd
	in        io.WriteCloser
	lead      time.Duration
	mu        sync.Mutex
	until     int64
	child     int
	mark      string
	ended     bool // the guard has reported the end of the command: nothing is left of it
	cancelled bool // it was cancelled: its deadline is not extended any more
	done      chan struct{}
	result    Result
	reset     chan struct{}
}

// Start starts a guard process with a command line that calls Serve; the command line has to contain the
// deadline and the rest of the spec. The calling process keeps a timer too, and kills command and guard if the
// guard does not, since it may have been stopped.
func Start(cmd *exec.Cmd, s Spec) (*Process, error) {
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("guard: %w", err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("guard: %w", err)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	guards.Lock()
	if err = cmd.Start(); err == nil {
		guards.known[cmd.Process.Pid] = true
	}
	guards.Unlock()
	if err != nil {
		return nil, fmt.Errorf("guard: %w", err)
	}
	g := &Process{cmd: cmd, in: in, lead: s.Lead, until: s.Deadline, mark: s.Mark, done: make(chan struct{}), reset: make(chan struct{}, 1), result: Result{-1, "its guard was ended"}}
	outputRead := make(chan struct{})
	go func() {
		defer close(outputRead)
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			word, rest, _ := strings.Cut(lines.Text(), " ")
			number, why, _ := strings.Cut(rest, " ")
			n, err := strconv.Atoi(number)
			g.mu.Lock()
			if word == "child" && err == nil {
				g.child = n
			} else if word == "ended" && err == nil {
				g.result, g.ended = Result{n, why}, true
			}
			g.mu.Unlock()
		}
	}()
	go g.backstop()
	go func() {
		<-outputRead
		g.cmd.Wait()
		// After the death of a guard, the kernel's death signal and these sweeps kill what is left.
		g.mu.Lock()
		child, reported := g.child, g.ended
		g.mu.Unlock()
		for clean := 0; !reported && clean < requiredCleanSweeps; clean++ {
			if g.sweep(child) > 0 {
				clean = -1
			}
			time.Sleep(sweepInterval)
		}
		guards.Lock()
		delete(guards.known, g.cmd.Process.Pid)
		guards.Unlock()
		close(g.done)
	}()
	return g, nil
}

// sweep kills what is left of a command whose guard cannot. It returns the number of processes.
func (g *Process) sweep(child int) (n int) {
	all := processes()
	if child > 0 {
		n = killBelow(all, g.cmd.Process.Pid, child)
	}
	if g.mark != "" {
		n += KillMarked(g.mark)
	}
	return n + killOrphans(all)
}

// backstop kills command and guard if they still exist when half of the lead remains.
func (g *Process) backstop() {
	for {
		g.mu.Lock()
		wait, child := time.Duration(g.until-BootTime())-g.lead/2, g.child
		g.mu.Unlock()
		timer := time.NewTimer(max(wait, 0))
		select {
		case <-g.done:
			timer.Stop()
			return
		case <-g.reset:
		case <-timer.C:
			if wait <= 0 {
				g.sweep(child)
				g.cmd.Process.Kill()
				time.Sleep(sweepInterval)
			}
		}
		timer.Stop()
	}
}

// Extend sends a later deadline. It does not block on a guard that is suspended.
func (g *Process) Extend(until int64) {
	g.mu.Lock()
	if !g.cancelled {
		g.until = max(g.until, until)
	}
	g.mu.Unlock()
	g.send(fmt.Sprintf("until %d\n", until))
}

// Cancel ends the command: first with SIGTERM, then with SIGKILL.
func (g *Process) Cancel(why string, within time.Duration) {
	g.mu.Lock()
	g.until, g.cancelled = min(g.until, BootTime()+int64(within)), true
	g.mu.Unlock()
	g.send(fmt.Sprintf("cancel %s\n", strings.ReplaceAll(why, "\n", " ")))
}

func (g *Process) send(line string) {
	select {
	case g.reset <- struct{}{}:
	default:
	}
	// A pipe holds 64 KiB, far more lines than the renewals of a lease before its end; a guard that reads
	// nothing is killed by then.
	if f, is := g.in.(interface{ SetWriteDeadline(time.Time) error }); is {
		f.SetWriteDeadline(time.Now().Add(time.Second))
	}
	if _, err := io.WriteString(g.in, line); err != nil && !errors.Is(err, os.ErrClosed) {
		return // the guard has ended, or the backstop ends it
	}
}

// Wait waits for the end of the command and its guard.
func (g *Process) Wait() Result {
	<-g.done
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.result
}
