package simwire

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/logic"
)

func TestRead(t *testing.T) {
	r := NewReader(strings.NewReader(`BEGIN_BATCH time=8.5
DIRECTORY table=0 rowsIn=1
ROW cell=2 node=51 rackZone=1 readiness=ready units=1.5 bootTime=6.1 novel=x
ANNOUNCE brokerId=3 kind=cached index=41 table=0
DIRECTORY table=0 rowsIn=0
ANNOUNCE table=0 kind=full brokerId=4 index=42
QUERY brokerId=3 slab=-1 msgId=9007199254740992 queryNo=7 timeBudget=0.24 sizeOrWeight=1 tierClass=2
QUERY brokerId=3 slab=5 msgId=8 queryNo=7 timeBudget=0.24 sizeOrWeight=0.5 work=0.012
CLOSED_ATTEMPT brokerId=3 msgId=8 n=1 node=51 rc=refused_conn elapsed=0.25 complete=1 stats=pending:3,novel:9
STOP brokerId=4
LAUNCH brokerId=4 prng=12 options={"classes": [{"aim": 2.0, "semantics": "deduplicated", "name": "a b=c"}], "novel": null}
YOUR_TURN
BEGIN_BATCH time=9
YOUR_TURN
`))
	b, err := r.Next()
	require.NoError(t, err)
	assert.Equal(t, 8500.0, b.Now)
	require.Len(t, b.Turns, 2)
	assert.Equal(t, []logic.Event{
		{Kind: logic.ListArrived, List: logic.ListCached, Entries: []logic.Entry{
			{Node: 51, Zone: 1, Cell: 2, Readiness: logic.Ready, Units: 1.5, Born: 6100}}},
		{Kind: logic.ScanArrived, ID: 1 << 53, Scan: 7, Shard: -1, Budget: 240, Amount: 1, TableType: 2},
		{Kind: logic.PartArrived, ID: 8, Scan: 7, Shard: 5, Budget: 240, Amount: 0.5, Hint: 12},
		{Kind: logic.DispatchEnded, ID: 8, Dispatch: 1, Node: 51, Outcome: logic.ConnRefused, Elapsed: 250,
			Closed: true, Load: map[string]float64{"waiting": 3}},
	}, b.Turns[0].Events)
	assert.True(t, b.Turns[1].Stopped)
	require.Len(t, b.Turns[1].Events, 1, "events before the stop are dropped")
	assert.Equal(t, map[string]any{"tableType.count": 1.0, "tableType.0.target": 2000.0,
		"tableType.0.effect": "keyed", "tableType.0.name": "a b=c"}, b.Turns[1].Events[0].Settings)
	b, err = r.Next()
	require.NoError(t, err)
	assert.Empty(t, b.Turns)
	_, err = r.Next()
	assert.ErrorIs(t, err, io.EOF)
}

func TestMalformed(t *testing.T) {
	for line, why := range map[string]string{
		"DANCE brokerId=1":            "unknown event",
		"TIMER brokerId=1":            "missing field cookie",
		"TIMER cookie=1":              "missing field brokerId",
		"TIMER brokerId=one cookie=1": "not an integer",
		"TIMER brokerId cookie=1":     "not a name=value pair",
		"QUERY brokerId=1 msgId=2 queryNo=1 slab=0 work=NaN":    "not a finite number",
		"CLOSED_ATTEMPT brokerId=1 msgId=2 n=0 node=1 rc=lucky": "not a known value",
		"PROBE_RESULT brokerId=1 node=1 rc=errored stats=a":     "not a list of name:value pairs",
		"ANNOUNCE brokerId=1 kind=full index=1 table=5":         "unknown list number 5",
		"DIRECTORY table=1 rowsIn=1":                            "expected a ROW of the list",
		"LAUNCH brokerId=1 prng=1 options={":                    "not a JSON object",
	} {
		_, err := NewReader(strings.NewReader("BEGIN_BATCH time=1\n" + line + "\nYOUR_TURN\n")).Next()
		assert.ErrorContains(t, err, why, line)
		assert.ErrorContains(t, err, "line ", line)
	}
	_, err := NewReader(strings.NewReader("BEGIN_BATCH time=1\n")).Next()
	assert.ErrorContains(t, err, "within a batch")
}

func TestWrite(t *testing.T) {
	for want, act := range map[string]logic.Action{
		"ATTEMPT brokerId=3 msgId=9007199254740992 node=51 cap=0.080000000\n": {
			Kind: logic.Dispatch, ID: 1 << 53, Node: 51, After: 80},
		"REVOKE brokerId=3 msgId=8 n=1\n":                   {Kind: logic.Recall, ID: 8, Dispatch: 1},
		"ANSWER brokerId=3 msgId=8 on=1\n":                  {Kind: logic.Answer, ID: 8, Whole: true},
		"BOUNCE brokerId=3 msgId=8 stayAway=1.500000000\n":  {Kind: logic.Throttle, ID: 8, After: 1500},
		"END_FAILED brokerId=3 msgId=8\n":                   {Kind: logic.Abandon, ID: 8},
		"DEFER brokerId=3 cookie=-1 sleepFor=0.000000000\n": {Kind: logic.SetTimer, Timer: -1},
		"KEEP_INFORMED brokerId=3 on=1\n":                   {Kind: logic.Subscribe},
		"FATAL brokerId=3 bodyText=two lines\n":             {Kind: logic.Fatal, Text: "two\nlines"},
	} {
		var out bytes.Buffer
		w := bufio.NewWriter(&out)
		WriteAction(w, 3, act)
		require.NoError(t, w.Flush())
		assert.Equal(t, want, out.String())
	}
}
