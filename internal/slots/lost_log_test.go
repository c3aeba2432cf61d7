package slots

import (
	"errors"
	"testing"
)

// TestLostLogIsNoticed guards against a state that goes on without records that were acknowledged, because the log that
// holds them was lost, or cut where a record ends.
func TestLostLogIsNoticed(t *testing.T) {
	for name, lose := range map[string]func(*faultyDisk, string){
		"missing": func(d *faultyDisk, log string) { delete(d.files, log) },
		"empty":   func(d *faultyDisk, log string) { d.files[log].data = nil },
		"zeroed":  func(d *faultyDisk, log string) { clear(d.files[log].data) },
		"cut":     func(d *faultyDisk, log string) { d.files[log].data = d.files[log].data[:len(d.files[log].data)/2] },
	} {
		t.Run(name, func(t *testing.T) {
			disk := newFaultyDisk(81)
			s, _, _ := Open(disk)
			if err := s.Checkpoint([]byte("state")); err != nil {
				t.Fatal(err)
			}
			for range 2 {
				if err := s.Append([]byte("record")); err != nil {
					t.Fatal(err)
				}
			}
			lose(disk, logName(s.generation))
			if _, contents, err := Open(disk); !errors.Is(err, ErrDamaged) {
				t.Errorf("two records were acknowledged, opened with %d and error %v", len(contents.Records), err)
			}
		})
	}
}
