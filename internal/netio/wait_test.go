package netio

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

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
