package peerlink

import (
	"encoding/binary"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/clientlimit"
	"gullstair/internal/memnet"
)

// TestFramesCountAsTheyArrive sends a frame that stops short of its end: what has arrived is counted, not what was
// announced, and the connection ends when there is no room for more. Calls are still answered afterwards.
func TestFramesCountAsTheyArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		listener, err := network.Host("10.0.0.1").Listen(address)
		require.NoError(t, err)
		limiter := clientlimit.New(8<<20, 100) // clients may hold 2 MiB
		go func() {
			_ = Serve(listener, &Traffic{}, limiter, func(m *Message) *Message {
				reply := *m
				return &reply
			})
		}()
		conn, err := network.Host("10.0.0.2").Dial(t.Context(), address, time.Second)
		require.NoError(t, err)
		_, err = conn.Write(binary.LittleEndian.AppendUint32(nil, maxFrame))
		require.NoError(t, err)
		time.Sleep(time.Second)
		assert.Less(t, limiter.Used().Bytes, int64(100<<10), "nothing is counted on a word")
		_, err = conn.Write(make([]byte, 500<<10))
		require.NoError(t, err)
		time.Sleep(time.Second)
		assert.GreaterOrEqual(t, limiter.Used().Bytes, int64(1000<<10))
		_, err = conn.Write(make([]byte, 1000<<10))
		require.NoError(t, err)
		_, err = conn.Read(make([]byte, 1))
		assert.Error(t, err, "the connection is closed")
		time.Sleep(time.Second)
		assert.Zero(t, limiter.Used())

		client := NewClient(network.Host("10.0.0.3"), &Traffic{})
		mustEcho(t, client, address, Message{Sections: make([]byte, 500<<10)})
		time.Sleep(time.Second)
		assert.Less(t, limiter.Used().Bytes, int64(100<<10), "a call that has ended holds nothing")
		client.Close()
		conn.Close()
		listener.Close()
		time.Sleep(time.Minute)
		assert.Zero(t, limiter.Used())
	})
}
