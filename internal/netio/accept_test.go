package netio

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// failingListener fails until a moment.
type failingListener struct {
	net.Listener
	until time.Time
	err   error
}

func (l failingListener) Accept() (net.Conn, error) {
	if time.Now().Before(l.until) {
		return nil, l.err
	}
	here, there := net.Pipe()
	there.Close()
	return here, nil
}

// TestAcceptAfterFailures accepts again once there are descriptors, and gives a listener up after a minute.
func TestAcceptAfterFailures(t *testing.T) {
	for name, c := range map[string]struct {
		failing time.Duration
		err     error
		want    error
		within  time.Duration
		reports int
	}{
		"for a while": {20 * time.Second, syscall.EMFILE, nil, 21 * time.Second, 1},
		"for good":    {time.Hour, syscall.EMFILE, syscall.EMFILE, 61 * time.Second, 1},
		"closed":      {time.Hour, net.ErrClosed, net.ErrClosed, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reports := 0
				begun := time.Now()
				l := Persistent(failingListener{until: begun.Add(c.failing), err: c.err}, func(error) { reports++ })
				conn, err := l.Accept()
				require.ErrorIs(t, err, c.want)
				require.Equal(t, c.want == nil, conn != nil)
				require.LessOrEqual(t, time.Since(begun), c.within)
				require.Equal(t, c.reports, reports)
			})
		})
	}
}

// TestAddressPasses tells addresses that may become free, or appear, from those that will not.
func TestAddressPasses(t *testing.T) {
	_, err := Host{}.Listen("192.0.2.1:1")
	require.ErrorIs(t, err, syscall.EADDRNOTAVAIL)
	require.True(t, AddressPasses(err))
	held, err := Host{}.Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer held.Close()
	_, err = Host{}.Listen(held.Addr().String())
	require.True(t, AddressPasses(err))
	_, err = Host{}.Listen("127.0.0.1:70000")
	require.Error(t, err)
	require.False(t, AddressPasses(err))
}
