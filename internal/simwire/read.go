// Package simwire implements the line protocol of the simulator: it parses lines into events of the decision module and
// formats the module's actions as lines. It reads from and writes to the streams that it is given.
package simwire

import (
	"bufio"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"gullstair/internal/startsettings"
	"gullstair/logic"
)

// Batch holds the events of one moment by broker, in the order in which the brokers first occur.
type Batch struct {
	Now   float64
	Turns []*Turn
}

// Turn holds one broker's events of a batch. Stopped means that the broker's previous instance has ended.
type Turn struct {
	Broker  int64
	Stopped bool
	Events  []logic.Event
}

// Reader reads batches. Numbered node lists stay defined for later batches.
type Reader struct {
	in    *bufio.Reader
	line  int
	lists map[int64][]logic.Entry
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20), lists: map[int64][]logic.Entry{}}
}

// Next returns the next batch, or io.EOF if the input ends between two batches.
func (r *Reader) Next() (*Batch, error) {
	var b *Batch
	byBroker := map[int64]*Turn{}
	for {
		text, err := r.readLine()
		if errors.Is(err, io.EOF) && b == nil {
			return nil, io.EOF
		}
		if errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("line %d: input ends within a batch", r.line)
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", r.line+1, err)
		}
		if text == "" {
			continue
		}
		lineType, rest, _ := strings.Cut(text, " ")
		f := &fields{lineType: lineType, rest: rest}
		switch {
		case b == nil && lineType == "BEGIN_BATCH":
			b = &Batch{Now: f.ms("time", true)}
		case b == nil:
			f.setError("a batch must begin with BEGIN_BATCH")
		case lineType == "YOUR_TURN":
			return b, nil
		case lineType == "DIRECTORY":
			r.readList(f)
		default:
			r.readEvent(f, b, byBroker)
		}
		if f.err != nil {
			return nil, fmt.Errorf("line %d: %w: %.200q", r.line, f.err, text)
		}
	}
}

func (r *Reader) readLine() (string, error) {
	s, err := r.in.ReadString('\n')
	if s == "" || (err != nil && !errors.Is(err, io.EOF)) {
		return "", err
	}
	r.line++
	return strings.TrimRight(s, "\r\n"), nil
}

func (r *Reader) readList(f *fields) {
	table, n := f.integer("table", true), f.integer("rowsIn", true)
	if f.err == nil && n < 0 {
		f.setError("a list cannot have a negative number of rows")
	}
	var rows []logic.Entry
	for i := int64(0); i < n && f.err == nil; i++ {
		text, err := r.readLine()
		if err != nil {
			f.err = fmt.Errorf("list cut short after %d of %d rows: %w", i, n, err)
			return
		}
		lineType, rest, _ := strings.Cut(text, " ")
		row := &fields{lineType: lineType, rest: rest}
		if lineType != "ROW" {
			row.setError("expected a ROW of the list")
		}
		e := logic.Entry{Node: row.integer("node", true), Zone: int(row.integer("rackZone", false)),
			Kind: int(row.integer("kind", false)), Cell: int(row.integer("cell", false)),
			Readiness: enumValue(row, "readiness", readinessNames), Units: row.number("units", false),
			Born: row.ms("bootTime", false)}
		if row.err != nil {
			f.err = fmt.Errorf("%w (row %.200q)", row.err, text)
			return
		}
		rows = append(rows, e)
	}
	r.lists[table] = rows
}

func (r *Reader) readEvent(f *fields, b *Batch, byBroker map[int64]*Turn) {
	id := f.integer("brokerId", true)
	turn := byBroker[id]
	if turn == nil {
		turn = &Turn{Broker: id}
		byBroker[id] = turn
		b.Turns = append(b.Turns, turn)
	}
	var e logic.Event
	switch f.lineType {
	case "STOP":
		turn.Stopped, turn.Events = true, nil
		return
	case "LAUNCH":
		turn.Stopped, turn.Events = true, nil
		e.Kind, e.Seed, e.Settings = logic.Started, uint64(f.integer("prng", true)), f.settings("options")
	case "ANNOUNCE":
		e.Kind, e.List = logic.ListArrived, enumValue(f, "kind", listKindNames)
		if f.err == nil && e.List != logic.ListFailed {
			table := f.integer("table", true)
			rows, known := r.lists[table]
			if !known {
				f.setError(fmt.Sprintf("unknown list number %d", table))
			}
			e.Entries = rows
		}
	case "QUERY":
		e.Kind, e.ID, e.Scan = logic.ScanArrived, f.integer("msgId", true), int64(f.number("queryNo", true))
		e.Amount, e.Budget = f.number("sizeOrWeight", false), f.ms("timeBudget", false)
		e.TableType, e.Tenant = int(f.integer("tierClass", false)), int(f.integer("org", false))
		e.Hint, e.Flags, e.Shard = f.ms("work", false), f.integer("options", false), int(f.number("slab", true))
		if e.Shard >= 0 {
			e.Kind = logic.PartArrived
		}
	case "CLOSED_ATTEMPT":
		e.Kind, e.ID, e.Dispatch = logic.DispatchEnded, f.integer("msgId", true), int(f.integer("n", true))
		e.Node, e.Outcome, e.Elapsed = f.integer("node", true), enumValue(f, "rc", outcomeNames), f.ms("elapsed", false)
		e.Closed, e.Load = f.integer("complete", false) == 1, f.load("stats")
	case "PROBE_RESULT":
		e.Kind, e.Node, e.Outcome = logic.ProbeEnded, f.integer("node", true), enumValue(f, "rc", outcomeNames)
		e.Elapsed, e.Load = f.ms("elapsed", false), f.load("stats")
	case "LEFT":
		e.Kind, e.ID = logic.ClientLeft, f.integer("msgId", true)
	case "TIMER":
		e.Kind, e.Timer = logic.TimerDue, f.integer("cookie", true)
	case "FIRST_BYTE":
		e.Kind, e.ID = logic.StreamBegan, f.integer("msgId", true)
	case "NOTE_FROM":
		// A malformed note of a peer must not stop this broker: it is passed on as an empty one.
		e.Kind = logic.PeerNote
		text, _ := f.get("contents", false)
		if note, err := hex.DecodeString(text); err == nil {
			e.Note = note
		}
	default:
		f.setError("unknown event")
	}
	turn.Events = append(turn.Events, e)
}

// fields parses the name=value pairs of one line; err holds the first error.
type fields struct {
	lineType, rest string
	err            error
}

func (f *fields) setError(why string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", f.lineType, why)
	}
}

// textFields are the fields that extend to the end of the line, spaces included.
var textFields = map[string]bool{"options": true, "bodyText": true}

func (f *fields) get(name string, required bool) (string, bool) {
	hasText := f.lineType == "LAUNCH"
	for rest := f.rest; rest != ""; {
		pair, tail, _ := strings.Cut(rest, " ")
		key, val, ok := strings.Cut(pair, "=")
		if !ok {
			f.setError(fmt.Sprintf("%q is not a name=value pair", pair))
			return "", false
		}
		if hasText && textFields[key] {
			_, val, _ = strings.Cut(rest, "=")
			tail = ""
		}
		if key == name {
			return val, true
		}
		rest = tail
	}
	if required {
		f.setError("missing field " + name)
	}
	return "", false
}

func (f *fields) integer(name string, required bool) int64 {
	s, ok := f.get(name, required)
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.setError(fmt.Sprintf("%s=%s is not an integer", name, s))
	}
	return n
}

func (f *fields) number(name string, required bool) float64 {
	s, ok := f.get(name, required)
	if !ok {
		return 0
	}
	x, err := parseNumber(s)
	if err != nil {
		f.setError(fmt.Sprintf("%s=%s is not a finite number", name, s))
	}
	return x
}

func (f *fields) ms(name string, required bool) float64 { return f.number(name, required) * 1000 }

func (f *fields) load(name string) map[string]float64 {
	s, ok := f.get(name, false)
	if !ok || s == "" {
		return nil
	}
	load := map[string]float64{}
	for _, pair := range strings.Split(s, ",") {
		key, val, ok := strings.Cut(pair, ":")
		x, err := parseNumber(val)
		if !ok || err != nil {
			f.setError(fmt.Sprintf("load report %q is not a list of name:value pairs", pair))
			return nil
		}
		if column, known := startsettings.Column(key); known {
			load[column] = x
		}
	}
	return load
}

func enumValue[T any](f *fields, name string, values map[string]T) T {
	s, _ := f.get(name, true)
	v, ok := values[s]
	if !ok {
		f.setError(fmt.Sprintf("%s=%s is not a known value", name, s))
	}
	return v
}
