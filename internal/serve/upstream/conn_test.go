package upstream

import (
	"bufio"
	"net"

	"github.com/vanillagate/vanillagate/internal/conns"
)

func wrapConn(c net.Conn) *conns.Conn {
	return &conns.Conn{Conn: c, R: bufio.NewReader(c), W: bufio.NewWriter(c)}
}
