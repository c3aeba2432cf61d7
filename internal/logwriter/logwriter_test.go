package logwriter

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReaderThatStops fills a pipe. Lines that do not fit are dropped at once; once the reader reads again, the next line
// comes after one that counts them.
func TestReaderThatStops(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	defer reader.Close()
	w := New(writer)
	line := []byte(strings.Repeat("x", 999) + "\n")
	written := 0
	for ; w.dropped == 0; written++ {
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	for range 10 {
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	read := make(chan []byte)
	go func() {
		text, _ := io.ReadAll(reader)
		read <- text
	}()
	for w.dropped > 0 {
		_, err = w.Write([]byte("last\n"))
		require.NoError(t, err)
	}
	require.NoError(t, writer.Close())
	text := <-read
	require.Equal(t, written-1, bytes.Count(text, line))
	require.Contains(t, string(text), `"message":"lines of the log were dropped"}`+"\nlast\n")
}

// TestReaderThatIsGone writes to a pipe without a reader.
func TestReaderThatIsGone(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	defer writer.Close()
	require.NoError(t, reader.Close())
	for range 3 {
		n, err := New(writer).Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
}

// TestLastLineAwaitsItsReader drops the last line only after a while.
func TestLastLineAwaitsItsReader(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	defer reader.Close()
	defer writer.Close()
	w := New(writer)
	for w.dropped == 0 {
		_, _ = w.Write(make([]byte, chunkSize))
	}
	w.AwaitReader()
	begun := time.Now()
	_, _ = w.Write([]byte("last\n"))
	require.GreaterOrEqual(t, time.Since(begun), flushTimeout)
	go func() { _, _ = io.ReadAll(reader) }()
	_, _ = w.Write([]byte("last\n"))
	require.Zero(t, w.dropped)
}

// TestFile writes lines to a file as they are.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	file, err := os.Create(path)
	require.NoError(t, err)
	defer file.Close()
	_, err = New(file).Write([]byte("line\n"))
	require.NoError(t, err)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, "line\n", string(text))
}
