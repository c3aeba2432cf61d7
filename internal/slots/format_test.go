package slots

import (
	"encoding/binary"
	"errors"
	"testing"
)

// earlierDisk returns a disk as an earlier release leaves it: one slot and its log.
func earlierDisk(records ...string) *faultyDisk {
	disk := newFaultyDisk(84)
	body := append(binary.LittleEndian.AppendUint64(nil, 7), "state"...)
	disk.files[slotName(7)] = &fileContent{data: encodeRecord(body)}
	var log []byte
	for _, record := range records {
		log = append(log, encodeRecord([]byte(record))...)
	}
	disk.files[logName(7)] = &fileContent{data: log}
	return disk
}

// TestUpgradeKeepsTheState opens disks of an earlier release, whose logs have no footer, and writes to them.
func TestUpgradeKeepsTheState(t *testing.T) {
	torn := earlierDisk("one", "two")
	log := torn.files[logName(7)]
	log.data = log.data[:len(log.data)-1]
	lost := earlierDisk("one")
	delete(lost.files, slotName(7))
	without := earlierDisk()
	delete(without.files, logName(7))
	for name, c := range map[string]struct {
		disk    *faultyDisk
		records int
		want    error
	}{
		"records":          {earlierDisk("one", "two"), 2, nil},
		"no record":        {earlierDisk(), 0, nil},
		"a torn record":    {torn, 1, nil},
		"no log yet":       {without, 0, nil},
		"its slot is lost": {lost, 0, ErrDamaged},
	} {
		t.Run(name, func(t *testing.T) {
			s, contents, err := Open(c.disk)
			if !errors.Is(err, c.want) || len(contents.Records) != c.records || err == nil && string(contents.State) != "state" {
				t.Fatalf("opened %q with %d records: %v", contents.State, len(contents.Records), err)
			}
			if s.Fits(1) {
				t.Fatal("a record may be appended to a log of an earlier release")
			}
			if err := errors.Join(s.Checkpoint([]byte("next")), s.Append([]byte("record"))); err != nil {
				t.Fatal(err)
			}
			_, contents, err = Open(c.disk.powerCycle())
			if err != nil || string(contents.State) != "next" || len(contents.Records) != 1 {
				t.Fatalf("after the upgrade: %q with %d records: %v", contents.State, len(contents.Records), err)
			}
		})
	}
}

// TestDowngradeKeepsTheState reads a disk by the rules of earlier releases: one record in the newest slot, whatever is behind
// it, and a log of records, behind which nothing may read as one, for no generation above the slot's.
func TestDowngradeKeepsTheState(t *testing.T) {
	disk := filledDisk(t, 12)
	records, _ := parseRecords(disk.files[slotName(2)].data)
	if len(records) != 1 || binary.LittleEndian.Uint64(records[0]) != 2 {
		t.Fatalf("the slot has %d records", len(records))
	}
	records, rest := parseRecords(disk.files[logName(2)].data)
	if len(records) == 0 || containsRecord(rest) {
		t.Errorf("the log has %d records, and something behind them", len(records))
	}
	if err := (&Store{disk: disk, generation: 2}).createLog(3); err != nil {
		t.Fatal(err)
	}
	names, _ := disk.List()
	if newest := newestLogGeneration(names); newest != 2 {
		t.Errorf("a log of generation %d has its name before its slot is durable", newest)
	}
}

// TestCheckpointTakesFourSyncs guards against first starts and rounds that take longer on slow disks than their deadlines
// allow: each sync of a disk in trouble takes more than a tenth of a second.
func TestCheckpointTakesFourSyncs(t *testing.T) {
	disk := newFaultyDisk(84)
	s, _, _ := Open(disk)
	for range 3 {
		disk.syncs = 0
		if err := s.Checkpoint([]byte("state")); err != nil || disk.syncs != 4 {
			t.Errorf("%d syncs, %v", disk.syncs, err)
		}
	}
	disk.syncs = 0
	if err := s.Append([]byte("record")); err != nil || disk.syncs != 1 {
		t.Errorf("a record takes %d syncs, %v", disk.syncs, err)
	}
}

// TestStateThatCannotBeReadIsRefused guards against a state that is acknowledged although it is larger than what Open reads.
func TestStateThatCannotBeReadIsRefused(t *testing.T) {
	disk := filledDisk(t, 4)
	s, _, _ := Open(disk)
	if err := s.Checkpoint(make([]byte, maxRecordSize)); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("a state of %d bytes: %v", maxRecordSize, err)
	}
	if _, contents, err := Open(disk.powerCycle()); err != nil || newestState(t, contents) != 4 {
		t.Fatalf("the state before is lost: %v", err)
	}
	if err := s.Checkpoint(make([]byte, maxRecordSize-generationSize)); err != nil {
		t.Fatal(err)
	}
	if _, contents, err := Open(disk); err != nil || len(contents.State) != maxRecordSize-generationSize {
		t.Errorf("the largest state was read with %d bytes: %v", len(contents.State), err)
	}
}
