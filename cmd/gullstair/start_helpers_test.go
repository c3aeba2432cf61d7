package main

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// slotOf returns the file of a slot as package slots writes it.
func slotOf(generation uint64, state []byte) []byte {
	body := append(binary.LittleEndian.AppendUint64(nil, generation), state...)
	out := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	out = binary.LittleEndian.AppendUint32(out, crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)))
	return append(out, body...)
}

// hangupHandled reports whether a process ignores or catches SIGHUP, by the masks that the kernel shows.
func hangupHandled(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(text)) {
		name, mask, _ := strings.Cut(line, ":")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		if bits, err := strconv.ParseUint(strings.TrimSpace(mask), 16, 64); err == nil && bits>>(unix.SIGHUP-1)&1 == 1 {
			return true
		}
	}
	return false
}

// limitDescriptors sets the limit of open files of a process.
func limitDescriptors(pid int, limit uint64) error {
	return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: 4096}, nil)
}
