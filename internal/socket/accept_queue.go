package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// HasQueuedConn reports whether a connection waits in the accept queue of a listening
// socket. It doesn't block.
func HasQueuedConn(listener syscall.Conn) (bool, error) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return false, err
	}
	var ready int
	var pollErr error
	err = raw.Control(func(fd uintptr) {
		ready, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	if err != nil {
		return false, err
	}
	if pollErr == unix.EINTR {
		return true, nil // not known; the caller looks again
	}
	return ready > 0, pollErr
}
