package main

import (
	"encoding/binary"
	"hash/crc32"

	"golang.org/x/sys/unix"
)

// slotOf returns the file of a slot as package slots writes it.
func slotOf(generation uint64, state []byte) []byte {
	body := append(binary.LittleEndian.AppendUint64(nil, generation), state...)
	out := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	out = binary.LittleEndian.AppendUint32(out, crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)))
	return append(out, body...)
}

// limitDescriptors sets the limit of open files of a process.
func limitDescriptors(pid int, limit uint64) error {
	return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: 4096}, nil)
}
