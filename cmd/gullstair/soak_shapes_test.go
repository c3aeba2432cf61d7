package main

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var (
	soakShape   = flag.String("soak.shape", "", "the deployment whose machines the soak of starts plays; both, if empty")
	soakProgram = flag.String("soak.program", "", "the program of another release for the soak of starts; its disks are not slowed down")
)

// fleetShape is what a soak of starts plays of a deployment.
type fleetShape struct {
	name       string
	brokers    int
	core       int           // of these have a disk, the first ones
	memoryMB   int           // limits.memory_mb
	sync       time.Duration // of a disk
	slowSync   time.Duration // of a disk in trouble; 0: none is
	bodyBytes  int           // of the largest request
	tokens     int           // of the longest prompt
	idleRoutes int           // in the largest configuration
	atOnce     bool          // clients, instances and operators work from the first second on
}

var (
	denderShape = fleetShape{name: "dender-live", brokers: 9, core: 4, memoryMB: 244, bodyBytes: 4, tokens: 550}
	// livrosulShape has three disks, so one machine that is lost and any other that is disturbed stop all changes.
	livrosulShape = fleetShape{name: "livrosul-gullstair", brokers: 11, core: 3, memoryMB: 284, sync: 5 * time.Millisecond,
		slowSync: 125 * time.Millisecond, bodyBytes: 72_000, tokens: 54_600, idleRoutes: 350, atOnce: true}
)

// soakShapes returns the shapes that the flags ask for.
func soakShapes(t *testing.T) (shapes []fleetShape) {
	for _, shape := range []fleetShape{denderShape, livrosulShape} {
		if *soakShape == "" || *soakShape == shape.name {
			shapes = append(shapes, shape)
		}
	}
	if len(shapes) == 0 {
		t.Fatalf("no shape is named %q", *soakShape)
	}
	return shapes
}

func (shape fleetShape) settings() []string {
	return []string{fmt.Sprintf("limits.memory_mb=%d", shape.memoryMB), "limits.max_fds=4100"}
}

// programs returns what the soak of starts runs: the program as it is deployed, or this test binary, which can slow its
// disks down. With the race detector, whose memory is its own, soakDetector selects this test binary as it is.
func (shape fleetShape) programs(t *testing.T) []string {
	switch {
	case *soakProgram != "":
		return []string{*soakProgram}
	case *soakDetector:
		return nil
	case shape.sync > 0:
		return []string{buildSlowDiskProgram(t)}
	}
	return []string{buildProgram(t)}
}
