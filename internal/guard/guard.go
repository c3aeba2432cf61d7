// Package guard runs a command that may not outlive its lease: it is told to end (SIGTERM) some time before the deadline, and what is left of it
// then is killed (SIGKILL) so early that it is gone at the deadline. A guard is a process of its own with a timer of its own: it keeps to the last
// deadline that it was told, though the broker that told it is killed or stands still.
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

// Now is the clock of all deadlines, in ns: the time since the machine started, suspended or not, the same for all of its processes.
func Now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux has it
	}
	return t.Nano()
}

// Spec is a command to run.
type Spec struct {
	Argv  []string
	Env   []string // beside the guard's own
	Until int64    // by Now: when nothing of it may go on any more
	// Grace before the deadline it is told to end, Lead before it what is left is killed.
	Grace, Lead time.Duration
	Timeout     time.Duration // 0: none
	Out         io.Writer     // where its output goes; nil: nowhere
	In          io.Reader
	Mark        string // of its environment that no other process has; "": none
}

// Told is what a guard is told: a later deadline, or that the command has to end now, and why.
type Told struct {
	Until  int64
	Cancel string
}

// Result is how it ended. Nothing of it goes on any more.
type Result struct {
	Code int    // exit code; 128 and more: by that signal; -1: it did not begin
	Why  string // it was ended; "": it ended by itself
}

const (
	sweepEvery = 5 * time.Millisecond
	// cleanSweeps in a row have to find nothing. One is not enough: a process that is born while /proc is listed is not in the list, and whoever
	// bore it may be gone before it is looked at.
	cleanSweeps = 2
)

// children are the guards of this process that may still be there.
var children = struct {
	sync.Mutex
	adopts bool
	known  map[int]bool
}{known: map[int]bool{}}

// Adopt makes the calling process the reaper of what a killed guard leaves behind: then all of it is found, whatever its environment says, for
// there is a moment in the start of a program in which that is empty. From now on every child that is no guard is killed by the next sweep, so the
// process should begin no others.
func Adopt() error {
	if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("guard: %w", err)
	}
	children.Lock()
	children.adopts = true
	children.Unlock()
	return nil
}

// killAdopted kills and collects what was left to this process by guards that are gone, of all that are there. It returns how many there were.
func killAdopted(all map[int]process) (n int) {
	children.Lock()
	defer children.Unlock()
	if !children.adopts {
		return 0
	}
	for pid, p := range all {
		// One that is known now may have been begun after the listing, and then it is not in it.
		if p.ppid == os.Getpid() && !children.known[pid] {
			n++
			unix.Kill(pid, unix.SIGKILL)
			unix.Wait4(pid, nil, unix.WNOHANG, nil)
		}
	}
	return n
}

// Run runs a command to its end. Begun, if it is not nil, is told the process that leads it. The calling process becomes the reaper of whatever the
// command leaves behind, so that nothing gets away by forking, changing its session or closing its descriptors; it should run nothing else.
func Run(s Spec, told <-chan Told, begun func(pid int)) Result {
	runtime.LockOSThread() // the kernel's death signal is for the death of the thread that forked
	defer runtime.UnlockOSThread()
	if Now() >= s.Until-int64(s.Grace) {
		return Result{-1, "too late to begin: the lease is about to run out"}
	}
	if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		return Result{-1, fmt.Sprintf("it could not be guarded: %v", err)}
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
	return watch(s, p.Pid, told)
}

// watch sees a command to its end.
func watch(s Spec, pid int, told <-chan Told) Result {
	codes, gone := make(chan int, 1), make(chan struct{})
	go reap(pid, codes, gone)
	return watchEnds(s, pid, told, codes, gone)
}

func watchEnds(s Spec, pid int, told <-chan Told, codes chan int, gone chan struct{}) Result {
	began := Now()
	r, until, termed, killed := Result{}, s.Until, false, false
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
		if termed {
			next = at - int64(s.Lead)
		}
		timer := time.NewTimer(time.Duration(max(0, next-Now())))
		if killed {
			timer.Stop()
		}
		select {
		case r.Code = <-codes:
			// What it left behind goes with it.
			killed, codes = true, nil
			kill(pid)
			sweep = time.After(sweepEvery)
		case <-gone:
			timer.Stop()
			select {
			case r.Code = <-codes: // both were ready: a command that was killed once passed for one that ended well
			default:
			}
			return r
		case <-sweep:
			kill(pid)
			sweep = time.After(sweepEvery)
		case t, open := <-told:
			if !open {
				told = nil // whoever told deadlines is gone: the last one stands
			} else if t.Cancel != "" && r.Why == "" {
				r.Why = t.Cancel
				if cut := Now() + int64(s.Grace); cut < until {
					until = cut
				}
			} else if r.Why == "" {
				until = max(until, t.Until)
			}
		case <-timer.C:
			if Now() < next {
				break
			}
			if r.Why == "" {
				r.Why = why
				until = min(until, at)
			}
			if !termed {
				termed = true
				unix.Kill(-pid, unix.SIGTERM)
			} else {
				killed = true
				kill(pid)
				sweep = time.After(sweepEvery)
			}
		}
		timer.Stop()
	}
}

// reap collects every process that ends below this one, until there is none.
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

// kill kills a command's whole group, and whatever else descends from this process.
func kill(pid int) {
	unix.Kill(-pid, unix.SIGKILL)
	KillBelow(os.Getpid(), pid)
}

// KillMarked kills every process of this user whose environment has a mark, such as GULLSTAIR_FENCE=7: children inherit it, whatever session they
// make, and whoever is dead that began them. It returns how many there were.
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

// KillBelow kills every process that descends from one, and every process of a session. It returns how many there were.
func KillBelow(parent, session int) (n int) {
	return killBelow(processes(), parent, session)
}

func killBelow(all map[int]process, parent, session int) (n int) {
	for pid, p := range all {
		below := !p.zombie && session > 1 && p.sid == session
		for up, steps := p.ppid, 0; !p.zombie && !below && up > 1 && steps < 64; steps++ {
			below = up == parent
			up = all[up].ppid
		}
		if below && pid != os.Getpid() && pid != parent {
			n++
			unix.Kill(pid, unix.SIGKILL)
		}
	}
	return n
}

type process struct {
	ppid, sid int
	zombie    bool // it only waits to be collected
}

// processes lists all that are there.
func processes() map[int]process {
	all := map[int]process{}
	paths, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		// The name, in brackets, may hold anything.
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

// Serve is the guard's side as a process: what it is told comes by a reader, a line each, and what it says goes to a writer.
func Serve(s Spec, in io.Reader, out io.Writer) Result {
	told := make(chan Told, 16)
	go func() {
		defer close(told)
		lines := bufio.NewScanner(in)
		for lines.Scan() {
			word, rest, _ := strings.Cut(lines.Text(), " ")
			switch n, err := strconv.ParseInt(rest, 10, 64); {
			case word == "until" && err == nil:
				told <- Told{Until: n}
			case word == "cancel":
				told <- Told{Cancel: rest}
			}
		}
	}()
	r := Run(s, told, func(pid int) { fmt.Fprintf(out, "child %d\n", pid) })
	fmt.Fprintf(out, "ended %d %s\n", r.Code, strings.ReplaceAll(r.Why, "\n", " "))
	return r
}

// Remote is a guard that runs as a process.
type Remote struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	lead  time.Duration
	mu    sync.Mutex
	until int64
	child int
	mark  string
	told  bool // it has said how the command ended: nothing is left of it
	over  bool // it was cancelled: no deadline is put off any more
	done  chan struct{}
	r     Result
	reset chan struct{}
}

// Start starts a guard process by a command line that ends in Serve: the deadline and the rest of the spec have to be in it. The calling process
// keeps a timer as well, and kills command and guard when the guard does not: it may have been stopped.
func Start(cmd *exec.Cmd, s Spec) (*Remote, error) {
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("guard: %w", err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("guard: %w", err)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	children.Lock()
	if err = cmd.Start(); err == nil {
		children.known[cmd.Process.Pid] = true
	}
	children.Unlock()
	if err != nil {
		return nil, fmt.Errorf("guard: %w", err)
	}
	g := &Remote{cmd: cmd, in: in, lead: s.Lead, until: s.Until, mark: s.Mark, done: make(chan struct{}), reset: make(chan struct{}, 1), r: Result{-1, "its guard was ended"}}
	read := make(chan struct{})
	go func() {
		defer close(read)
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			word, rest, _ := strings.Cut(lines.Text(), " ")
			number, why, _ := strings.Cut(rest, " ")
			n, err := strconv.Atoi(number)
			g.mu.Lock()
			if word == "child" && err == nil {
				g.child = n
			} else if word == "ended" && err == nil {
				g.r, g.told = Result{n, why}, true
			}
			g.mu.Unlock()
		}
	}()
	go g.backstop()
	go func() {
		<-read
		g.cmd.Wait()
		// A guard that was killed has left the rest to the kernel's death signal, and to this.
		g.mu.Lock()
		child, whole := g.child, g.told
		g.mu.Unlock()
		for clean := 0; !whole && clean < cleanSweeps; clean++ {
			if g.sweep(child) > 0 {
				clean = -1
			}
			time.Sleep(sweepEvery)
		}
		children.Lock()
		delete(children.known, g.cmd.Process.Pid)
		children.Unlock()
		close(g.done)
	}()
	return g, nil
}

// sweep kills what is left of a command whose guard can't.
func (g *Remote) sweep(child int) (n int) {
	all := processes()
	if child > 0 {
		n = killBelow(all, g.cmd.Process.Pid, child)
	}
	if g.mark != "" {
		n += KillMarked(g.mark)
	}
	return n + killAdopted(all)
}

// backstop kills command and guard when half of the lead is left and they are still there.
func (g *Remote) backstop() {
	for {
		g.mu.Lock()
		wait, child := time.Duration(g.until-Now())-g.lead/2, g.child
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
				time.Sleep(sweepEvery)
			}
		}
		timer.Stop()
	}
}

// Extend tells a later deadline. It never waits for a guard that stands still.
func (g *Remote) Extend(until int64) {
	g.mu.Lock()
	if !g.over {
		g.until = max(g.until, until)
	}
	g.mu.Unlock()
	g.tell(fmt.Sprintf("until %d\n", until))
}

// Cancel has the command end: first asked to, then made to.
func (g *Remote) Cancel(why string, within time.Duration) {
	g.mu.Lock()
	g.until, g.over = min(g.until, Now()+int64(within)), true
	g.mu.Unlock()
	g.tell(fmt.Sprintf("cancel %s\n", strings.ReplaceAll(why, "\n", " ")))
}

func (g *Remote) tell(line string) {
	select {
	case g.reset <- struct{}{}:
	default:
	}
	// A pipe holds 64 KiB, far more lines than a lease is renewed before its end; a guard that reads none is killed by then.
	if f, is := g.in.(interface{ SetWriteDeadline(time.Time) error }); is {
		f.SetWriteDeadline(time.Now().Add(time.Second))
	}
	if _, err := io.WriteString(g.in, line); err != nil && !errors.Is(err, os.ErrClosed) {
		return // it has ended, or will be by the backstop
	}
}

// Wait waits for the end of the command and its guard.
func (g *Remote) Wait() Result {
	<-g.done
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.r
}
