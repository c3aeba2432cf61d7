package netio

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSmallReceiveBuffersDoNotStall: a peer that writes in pieces of any size to a connection with a small receive buffer does
// not wait for its persist timer again and again.
func TestSmallReceiveBuffersDoNotStall(t *testing.T) {
	const size, within = 4 << 20, 5 * time.Second // 20 s and more with a stall for each window
	for _, piece := range []int{1000, 6000, 22000, 200_000} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		defer listener.Close()
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			for sent := 0; sent < size && err == nil; sent += piece {
				_, err = conn.Write(make([]byte, piece))
			}
		}()
		conn, err := DialBuffered(t.Context(), Host{}, listener.Addr().String(), time.Second, 16<<10)
		require.NoError(t, err)
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(within))
		n, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{conn}, make([]byte, 4<<10))
		require.NoError(t, err, "pieces of %d: %d bytes arrived", piece, n)
	}
}
