// Package logwriter writes lines of a log to a file that may be a pipe, such as standard error. A reader that does not
// read does not hold up the process: lines that do not fit are dropped and counted. It does file I/O.
package logwriter

import (
	"fmt"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// chunkSize is the number of bytes that a pipe takes without blocking once poll reports it as writable (PIPE_BUF).
	chunkSize = 4096
	// flushTimeout is how long the last lines of a process wait for the reader.
	flushTimeout = time.Second
)

// Writer writes lines to a file. It is safe for concurrent use.
type Writer struct {
	file      *os.File
	fd        int32
	mayBlock  bool // it is neither a regular file nor a device
	mu        sync.Mutex
	patience  time.Duration // how long a line waits for the reader
	dropped   int           // lines that have not been written since the last one that was
	cutInLine bool          // the last line was written in part
}

// New returns a writer to a file.
func New(file *os.File) *Writer {
	w := &Writer{file: file, fd: int32(file.Fd())}
	if info, err := file.Stat(); err == nil {
		w.mayBlock = info.Mode()&(os.ModeNamedPipe|os.ModeSocket) != 0
	}
	return w
}

// Write writes one line. It drops the line if the reader of a pipe does not read, and never returns an error: nobody could
// be told of it.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.mayBlock {
		_, _ = w.file.Write(line)
		return len(line), nil
	}
	if w.dropped > 0 {
		notice := fmt.Sprintf(`{"time":%q,"level":"warn","lines":%d,"message":"lines of the log were dropped"}`+"\n", time.Now().UTC().Format(time.RFC3339), w.dropped)
		if w.cutInLine {
			notice = "\n" + notice
		}
		if !w.put([]byte(notice)) {
			w.dropped++
			return len(line), nil
		}
		w.dropped, w.cutInLine = 0, false
	}
	if !w.put(line) {
		w.dropped++
	}
	return len(line), nil
}

// put writes text in chunks, as long as the file takes them at once.
func (w *Writer) put(text []byte) bool {
	for begun := true; len(text) > 0; begun = false {
		if !w.writable() {
			w.cutInLine = w.cutInLine || !begun
			return false
		}
		n := min(len(text), chunkSize)
		_, _ = w.file.Write(text[:n]) // a reader that is gone is nobody to tell
		text = text[n:]
	}
	return true
}

// writable reports whether the file takes a chunk without blocking, or fails at once.
func (w *Writer) writable() bool {
	poll := []unix.PollFd{{Fd: w.fd, Events: unix.POLLOUT}}
	for begun := time.Now(); ; {
		left := max(w.patience-time.Since(begun), 0)
		ready, err := unix.Poll(poll, int((left+time.Millisecond-1)/time.Millisecond))
		if err == unix.EINTR {
			continue
		}
		return err != nil || ready > 0
	}
}

// AwaitReader makes the lines that follow, the last of the process, wait for the reader for a moment.
func (w *Writer) AwaitReader() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.patience = flushTimeout
}
