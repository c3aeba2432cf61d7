package router

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"gullstair/internal/cluster"
	"gullstair/internal/journalfile"
	"gullstair/internal/memnet"
	"gullstair/internal/netio"
	"gullstair/internal/settings"
)

// takenNetwork is the network of a host whose addresses another process has until they are released.
type takenNetwork struct {
	netio.Network
	net      *memnet.Net
	ip       string
	released atomic.Bool
}

func (n *takenNetwork) Listen(address string) (net.Listener, error) {
	if !n.released.Load() {
		return nil, syscall.EADDRINUSE
	}
	return n.net.Host(n.ip).Listen(address)
}

// TestEarlierProcessWritesDuringTheStart starts a process beside one of the same machine that holds no lock on the disk, as
// in earlier releases, and accepts a change before it ends. The next process must have that change.
func TestEarlierProcessWritesDuringTheStart(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newSimFleet(t, 84, 3, 3)
		operator := w.client("10.8.0.1")
		require.Equal(t, http.StatusOK, w.replace(operator, 0, 1, configurationOf(1, "")))
		m := w.machines[0]
		network := &takenNetwork{Network: w.net.Host("10.0.0.99"), net: w.net, ip: m.ip}
		started := make(chan *Broker, 1)
		go func() {
			s, err := settings.Parse([]byte(w.settingsFile(m)))
			require.NoError(t, err)
			environment := cluster.Environment{Network: network, OpenDisk: func(path string) (journalfile.Disk, error) {
				return &diskHandle{disk: m.disk, ended: new(bool), path: path}, nil
			}}
			next, failure := New(context.Background(), s, "", &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, environment)
			require.Nil(t, failure)
			started <- next
		}()
		time.Sleep(time.Second)
		require.Equal(t, http.StatusOK, w.replace(operator, 1, 2, configurationOf(2, "")))
		time.Sleep(time.Second)
		_, want, _ := m.broker.node.Replica()
		w.kill(m, false)
		w.net.Start(m.ip)
		network.released.Store(true)
		_, got, has := (<-started).node.Replica()
		require.True(t, has)
		require.Equal(t, want, got, "the sequence of the replica's value")
		w.net.Kill(m.ip, false)
		w.restart(m, false)
		w.shutdown()
	})
}
