package main

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// These tests start the machines of livrosul-gullstair for the first time: few disks, of which each sync takes
// milliseconds, or a hundred when they are slow.

// firstStart is one disturbance of a first start.
type firstStart struct {
	sync    time.Duration // of a disk
	after   time.Duration // from the start of the last process to the kill
	killed  []int         // machines that are killed once, by number; nil: all at once
	missing bool          // the third disk's machine never comes
	power   bool          // the machines lose power before a sync has ended: nothing is on their disks
}

func (f firstStart) String() string {
	return fmt.Sprintf("sync %v, killed %v after %v, power %t, one missing %t", f.sync, f.killed, f.after, f.power, f.missing)
}

// TestFirstStartWithThreeDisks guards against a fleet that never takes its first configuration because processes were
// killed before their disks were marked, on disks that are slow.
func TestFirstStartWithThreeDisks(t *testing.T) {
	program := buildSlowDiskProgram(t)
	const slow = 125 * time.Millisecond
	cases := []firstStart{
		{sync: 5 * time.Millisecond},
		{sync: 5 * time.Millisecond, after: 15 * time.Millisecond},
		{sync: slow, after: 1200 * time.Millisecond},
		{sync: slow, after: 300 * time.Millisecond, killed: []int{0, 2}},
		{sync: slow, after: 300 * time.Millisecond, missing: true},
		{sync: slow, power: true},
		{sync: slow, power: true, killed: []int{0}},
		{sync: slow, power: true, killed: []int{0, 1}},
		{sync: slow, power: true, killed: []int{1, 2}},
		{sync: slow, power: true, missing: true},
	}
	for number, c := range cases {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			c.play(t, 30+number, program)
		})
	}
}

func (f firstStart) play(t *testing.T, number int, program string) {
	shape := livrosulShape
	all := newStartFleet(t, number, shape.brokers, shape.core, shape.settings()...)
	if f.missing {
		all = append(all[:shape.core-1], all[shape.core:]...)
	}
	for _, c := range all {
		c.programs = []string{program}
		c.setSync(f.sync)
		c.start()
	}
	time.Sleep(f.after)
	killed := all
	if f.killed != nil {
		killed = nil
		for _, machine := range f.killed {
			killed = append(killed, all[machine])
		}
	}
	for _, c := range killed {
		c.process.Kill()
		if f.power && c.disk {
			require.NoError(t, os.RemoveAll(c.data()))
		}
	}
	time.Sleep(300 * time.Millisecond)
	for _, c := range killed {
		c.start()
	}
	require.Equal(t, http.StatusOK, replace(t, all, 0, 1))
	for _, c := range all {
		awaitNewest(t, c, 1, startWithin)
	}
}
