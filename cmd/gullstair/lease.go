package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"os/signal"
	"os/user"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"gullstair/internal/broker"
	"gullstair/internal/control"
	"gullstair/internal/fence"
	"gullstair/internal/guard"
	"gullstair/internal/memberactor"
	"gullstair/internal/tasks"
)

type leaseCmd struct {
	Run     leaseRunCmd   `cmd:"" help:"Run a command while holding a lease; the command is ended when the lease is lost."`
	List    leaseListCmd  `cmd:"" help:"List all leases and scheduled tasks, as a running broker sees them."`
	Show    leaseShowCmd  `cmd:"" help:"Show one task or lease: its slots, holders, last and next run."`
	Release leaseOrderCmd `cmd:"" help:"Release a lease; its command is ended first."`
	Pause   leaseOrderCmd `cmd:"" help:"Start no further occurrences of a task; the current one continues."`
	Resume  leaseOrderCmd `cmd:"" help:"Resume a paused task."`
	Trigger leaseOrderCmd `cmd:"" help:"Start an occurrence of a task now."`
	Fence   leaseFenceCmd `cmd:"" help:"Check a fencing token at the target of writes: exit code 0 if no higher token was seen before, 1 otherwise."`
}

// exitCode is an error that makes the program exit with this code instead of 1, without printing a message.
type exitCode int

func (e exitCode) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// guardCmd is the process that a broker starts for each run of a task.
type guardCmd struct {
	Until   int64         `required:"" help:"Deadline on the machine's clock."`
	Grace   time.Duration `required:"" help:"Time before the deadline at which SIGTERM is sent."`
	Lead    time.Duration `required:"" help:"Time before the deadline at which SIGKILL is sent."`
	Timeout time.Duration `help:"Maximum run time; 0: none."`
	Command []string      `arg:"" passthrough:"" help:"Command to run."`
}

func (c *guardCmd) Run() error {
	// Signals to the broker's process group are not meant for the guard: it ends on the broker's request or when its own
	// timer expires.
	signal.Ignore(syscall.SIGINT, syscall.SIGHUP, syscall.SIGPIPE)
	guard.Serve(guard.Spec{Argv: trimDashes(c.Command), Deadline: c.Until, Grace: c.Grace, Lead: c.Lead, Timeout: c.Timeout, Out: os.Stderr}, os.Stdin, os.Stdout)
	return nil
}

func trimDashes(command []string) []string {
	if len(command) > 0 && command[0] == "--" {
		return command[1:]
	}
	return command
}

type leaseRunCmd struct {
	Socket  string        `required:"" help:"The broker's control socket." type:"path"`
	Holders int           `default:"1" help:"Number of concurrent holders of a lease of this name in the whole fleet."`
	Term    time.Duration `default:"10s" help:"How long the lease holds without a renewal by a majority of the brokers."`
	Wait    time.Duration `default:"-1ns" help:"Give up if the lease is not acquired within this time; below 0: wait indefinitely."`
	Name    string        `arg:"" help:"The lease's name."`
	Command []string      `arg:"" passthrough:"" help:"Command to run, after --."`
}

const exitNotAcquired = exitCode(75) // EX_TEMPFAIL of sysexits.h: try again later

func (c *leaseRunCmd) Run(out io.Writer) error {
	command := trimDashes(c.Command)
	if len(command) == 0 {
		return errors.New("lease run: a command is required after --")
	}
	who := "somebody"
	if u, err := user.Current(); err == nil {
		who = u.Username
	}
	conn, err := control.Open(c.Socket, "hold", url.Values{"name": {c.Name}, "holders": {strconv.Itoa(c.Holders)}, "term": {c.Term.String()},
		"by": {who + ": " + strings.Join(command, " ")}})
	if err != nil {
		return err
	}
	defer conn.Close()
	signals := catchSignals(4, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	events := make(chan broker.HoldEvent, 16)
	go func() {
		defer close(events)
		for in := json.NewDecoder(conn); ; {
			var e broker.HoldEvent
			if in.Decode(&e) != nil {
				return
			}
			events <- e
		}
	}()
	done := func() { json.NewEncoder(conn).Encode(broker.HoldDone{Done: true}) }
	var late <-chan time.Time
	if c.Wait >= 0 {
		late = time.After(c.Wait)
	}
	var held broker.HoldEvent
	for held.Until == 0 {
		select {
		case e, open := <-events:
			if !open {
				return fmt.Errorf("lease run: the broker at %s closed the connection", c.Socket)
			}
			if e.Revoked != "" {
				return fmt.Errorf("lease run: %s", e.Revoked)
			}
			held = e
		case <-late:
			done()
			fmt.Fprintf(os.Stderr, "gullstair: lease run: %s is held by others\n", c.Name)
			return exitNotAcquired
		case <-signals:
			done()
			return exitNotAcquired
		}
	}
	spec := guard.Spec{Argv: command, Env: broker.Environment(held.Lease, held.Slot, held.Fence, held.UntilMS), Deadline: held.Until, In: os.Stdin, Out: os.Stdout}
	spec.Grace, spec.Lead = broker.GuardTimes(c.Term)
	updates := make(chan guard.Instruction, 16)
	ended := make(chan struct{})
	go func() {
		defer close(updates)
		for {
			var t guard.Instruction
			select {
			case e, open := <-events:
				if !open {
					return // the broker is gone: the last deadline remains in force
				}
				t = guard.Instruction{Deadline: e.Until, Cancel: e.Revoked}
			case s := <-signals:
				t = guard.Instruction{Cancel: "by " + s.String()}
			case <-ended:
				return
			}
			select {
			case updates <- t:
			case <-ended:
				return
			}
		}
	}()
	r := guard.Run(spec, updates, nil)
	close(ended)
	done() // the command has ended, so the lease can be released
	if r.Why != "" {
		fmt.Fprintf(os.Stderr, "gullstair: lease run: ended: %s\n", r.Why)
	}
	if r.Code != 0 {
		return exitCode(max(1, r.Code))
	}
	return nil
}

type leaseListCmd struct{ socketFlags }

// leaseRow is one slot, as list and show print it.
type leaseRow struct {
	Name          string        `json:"name"`
	Slot          int           `json:"slot"`
	Kind          string        `json:"kind"` // task or hold
	Holder        string        `json:"holder"`
	Fence         uint64        `json:"fence"`
	RemainingMS   float64       `json:"for_ms"`  // until the lease expires unless it is renewed
	NextMS        float64       `json:"next_ms"` // Unix ms of the next occurrence, as computed by the holder; 0: not known to this broker
	Last          *tasks.Log    `json:"last,omitempty"`
	By            *tasks.Holder `json:"by,omitempty"`
	GracePeriodMS float64       `json:"quiet_ms"` // remaining time in which this broker's voter grants nothing
}

func leaseRows(s memberactor.State) (rows []leaseRow) {
	views := map[string]tasks.View{}
	for _, v := range s.Tasks {
		views[v.Lease] = v
	}
	for _, l := range s.Leases {
		kind, rest, _ := strings.Cut(l.Lease, "/")
		at := strings.LastIndexByte(rest, '/')
		if at < 0 {
			continue
		}
		slot, _ := strconv.Atoi(rest[at+1:])
		r := leaseRow{Name: rest[:at], Slot: slot, Kind: kind, Holder: l.Holder, Fence: l.Epoch, GracePeriodMS: max(0, l.GraceUntil-s.Now)}
		if l.Holder != "" {
			r.RemainingMS = l.Until - s.Now
		}
		if v, is := views[l.Lease]; is {
			r.Last, r.NextMS = &v.Log, v.Next
		} else if h, err := tasks.ReadHolder(l.Note); err == nil && l.Holder != "" {
			r.By = &h
		}
		rows = append(rows, r)
	}
	return rows
}

func formatTime(ms float64) string {
	if ms <= 0 {
		return "-"
	}
	return time.UnixMilli(int64(ms)).UTC().Format("2006-01-02 15:04:05Z")
}

// describeLastRun describes what is known of a task's newest occurrence.
func describeLastRun(l *tasks.Log, holder string) string {
	switch {
	case l == nil || l.Begun == 0:
		return "never begun"
	case !l.Ended && holder == l.By:
		return fmt.Sprintf("begun %s by %s, under way", formatTime(l.Begun), l.By)
	case !l.Ended:
		return fmt.Sprintf("begun %s by %s, outcome unknown", formatTime(l.Begun), l.By)
	case l.Why != "":
		return fmt.Sprintf("begun %s by %s, code %d after %s: %s", formatTime(l.Begun), l.By, l.Code, formatDuration(l.Took), l.Why)
	}
	return fmt.Sprintf("begun %s by %s, code %d after %s", formatTime(l.Begun), l.By, l.Code, formatDuration(l.Took))
}

func (c *leaseListCmd) Run(out io.Writer) error { return c.writeLeases(out, "") }

func (c socketFlags) writeLeases(out io.Writer, only string) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	rows := leaseRows(s)
	if only != "" {
		rows = slices.DeleteFunc(rows, func(r leaseRow) bool { return r.Name != only })
		if len(rows) == 0 {
			return fmt.Errorf("this broker knows no lease or task %q", only)
		}
	}
	if c.JSON {
		return writeJSON(out, rows)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tSLOT\tKIND\tHOLDER\tFENCE\tFOR\tNEXT\tLAST")
	for _, r := range rows {
		holder, left, next, last := r.Holder, "-", formatTime(r.NextMS), "-"
		if holder == "" {
			holder = "nobody"
		} else {
			left = formatDuration(r.RemainingMS)
		}
		if r.Last != nil {
			if last = describeLastRun(r.Last, r.Holder); r.Last.Paused {
				next = "paused"
			}
		} else if r.By != nil {
			last = fmt.Sprintf("since %s by %s", formatTime(r.By.Begun), r.By.By)
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%d\t%s\t%s\t%s\n", r.Name, r.Slot, r.Kind, holder, r.Fence, left, next, last)
	}
	return w.Flush()
}

type leaseShowCmd struct {
	socketFlags
	Name string `arg:"" help:"The task's or lease's name."`
}

func (c *leaseShowCmd) Run(out io.Writer) error { return c.writeLeases(out, c.Name) }

type leaseOrderCmd struct {
	Socket string `required:"" help:"The broker's control socket." type:"path"`
	Name   string `arg:"" help:"The task's or lease's name."`
	Slot   int    `default:"-1" help:"Only this slot; below 0: all slots."`
	action tasks.Action
}

func (c *leaseOrderCmd) Run(out io.Writer) error {
	var s memberactor.State
	if err := control.Get(c.Socket, "sharing", &s); err != nil {
		return err
	}
	var failed []error
	n := 0
	for _, r := range leaseRows(s) {
		if r.Name != c.Name || c.Slot >= 0 && r.Slot != c.Slot || r.Kind == "hold" && r.Holder == "" {
			continue
		}
		n++
		name := fmt.Sprintf("%s/%s/%d", r.Kind, r.Name, r.Slot)
		if err := control.Post(c.Socket, "lease", url.Values{"lease": {name}, "do": {string(c.action)}}); err != nil {
			failed = append(failed, fmt.Errorf("%s: %w", name, err))
		} else {
			fmt.Fprintf(out, "%s: done\n", name)
		}
	}
	if n == 0 {
		return fmt.Errorf("this broker knows no lease or task %q", c.Name)
	}
	return errors.Join(failed...)
}

type leaseFenceCmd struct {
	File   string `arg:"" help:"File that stores the highest token seen so far, next to the data that it protects." type:"path"`
	Number uint64 `arg:"" help:"The fencing token to check, such as $GULLSTAIR_FENCE."`
}

func (c *leaseFenceCmd) Run() error { return fence.New(c.File).Accept(c.Number, nil) }
