package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasEnded reports whether the peer has closed or reset a connection, also while bytes that it sent before are
// unread. It doesn't block. It returns true if the state can't be read.
func HasEnded(conn net.Conn) bool {
	sc, ok := transport(conn).(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	ended := true
	err = raw.Control(func(fd uintptr) {
		list := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(list, 0)
		for pollErr == unix.EINTR {
			n, pollErr = unix.Poll(list, 0)
		}
		ended = pollErr != nil || n > 0
	})
	return err != nil || ended
}
