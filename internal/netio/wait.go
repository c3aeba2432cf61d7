package netio

import (
	"syscall"

	"github.com/cockroachdb/errors"
)

// AddressPasses reports whether an error of Listen or ListenDatagrams may pass by itself: the address is still in use, or it
// is not on this machine yet, or there is no room for a socket.
func AddressPasses(err error) bool {
	for _, passing := range []error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}
