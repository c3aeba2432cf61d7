package router

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"gullstair/internal/controlstate"
	"gullstair/internal/slots"
)

// manyRoutes returns a configuration with additional routes and filler bytes that do not compress.
func manyRoutes(version int64, routes, filler int) string {
	var extra strings.Builder
	for n := range routes {
		fmt.Fprintf(&extra, `,{"name":"x%d","host":"h","path_prefix":"/x%d/","kind":"safe","timeout_ms":1000,"service":"plain","public":true}`, n, n)
	}
	if filler > 0 {
		source := rand.NewChaCha8([32]byte{byte(version)})
		noise := make([]byte, filler*3/4)
		_, _ = source.Read(noise)
		fmt.Fprintf(&extra, `,{"name":"filler","host":"h","path_prefix":"/filler/","kind":"safe","timeout_ms":1000,"service":"plain","public":true,"comment":"%s"}`,
			base64.StdEncoding.EncodeToString(noise))
	}
	return configurationOf(version, extra.String())
}

// TestCatchingUpWithLargeConfigurations has a member miss configurations of 350 routes and of 5 MB. The member restarts,
// once with its disk and once with an empty one, is killed while it catches up, and must catch up after the next restart.
func TestCatchingUpWithLargeConfigurations(t *testing.T) {
	for name, c := range map[string]struct{ routes, filler int }{"350 routes": {350, 0}, "5 MB": {10, 5 << 20}} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w, operator := startedFleet(t, 41, 5, 3)
				all, down := w.machines, w.machines[2]
				version := int64(1)
				for _, wiped := range []bool{false, true} {
					w.kill(down, false)
					w.setMachines(all[:2])
					for range 3 {
						if status := w.replace(operator, version, version+1, manyRoutes(version+1, c.routes, c.filler)); status != http.StatusOK {
							w.failf("configuration %d got %d", version+1, status)
						}
						version++
					}
					w.setMachines(all)
					w.restart(down, wiped)
					time.Sleep(60 * time.Millisecond)
					w.kill(down, false)
					time.Sleep(500 * time.Millisecond)
					w.restart(down, false)
					time.Sleep(3 * time.Second)
					if held, newest := down.heldSequence(), all[0].heldSequence(); held != newest {
						w.failf("wiped %t: 3 s after its restart the member holds value %d of %d", wiped, held, newest)
					}
					if status, text, _ := w.call(down, http.MethodGet, "/v1/config/read", "", ""); status != http.StatusOK || text != manyRoutes(version, c.routes, c.filler) {
						w.failf("wiped %t: a read at the member got %d", wiped, status)
					}
					time.Sleep(2 * time.Second)
				}
				w.shutdown()
			})
		})
	}
}

// manyChanges is the number of changes of the control state; race_test.go lowers it.
var manyChanges = int64(10000)

// TestSizesAfterManyChanges applies 1,000 and 10,000 changes to the control state and stores each as a replica does.
// Neither the value nor the disk usage may grow once the maximum number of orders is remembered.
func TestSizesAfterManyChanges(t *testing.T) {
	ended := new(bool)
	disk := &memoryDisk{files: map[string]*memoryFile{}}
	store, _, _ := slots.Open(&diskHandle{disk: disk, ended: ended, path: "/data"})
	state, err := controlstate.Decode(nil)
	if err != nil {
		t.Fatal(err)
	}
	raw := []byte("a configuration")
	sizes := map[int64][2]int{}
	for version := int64(1); version <= manyChanges; version++ {
		if state, _, err = state.Replace(version-1, version, raw); err != nil {
			t.Fatal(err)
		}
		value := state.Encode()
		write := store.Append
		if !store.Fits(len(value)) {
			write = store.Checkpoint
		}
		if err := write(value); err != nil {
			t.Fatal(err)
		}
		if version == 1000 || version == manyChanges {
			sizes[version] = [2]int{len(value), disk.size()}
		}
	}
	t.Logf("value and disk after 1,000 changes: %d and %d bytes, after %d: %d and %d", sizes[1000][0], sizes[1000][1], manyChanges, sizes[manyChanges][0], sizes[manyChanges][1])
	if sizes[manyChanges][0] > sizes[1000][0]*5/4 || sizes[manyChanges][1] > 512<<10 {
		t.Errorf("sizes: %v", sizes)
	}
}
