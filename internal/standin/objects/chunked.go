package objects

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// chunkReader decodes the aws-chunked encoding, "size;signature CRLF bytes
// CRLF". It ignores signatures and trailers.
type chunkReader struct {
	reader    *bufio.Reader
	remaining int64
	done      bool
}

var errMalformedChunk = errors.New("objects: malformed chunk")

// Read implements io.Reader.
func (c *chunkReader) Read(p []byte) (int, error) {
	if c.done {
		return 0, io.EOF
	}
	if c.remaining == 0 {
		if err := c.readHeader(); err != nil {
			return 0, err
		}
		return 0, nil
	}
	n, err := c.reader.Read(p[:min(int64(len(p)), c.remaining)])
	c.remaining -= int64(n)
	if c.remaining == 0 && err == nil {
		_, err = c.reader.Discard(len("\r\n"))
	}
	return n, err
}

// readHeader reads the line that starts a chunk. The last chunk has size 0.
func (c *chunkReader) readHeader() error {
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(strings.TrimSpace(line), ";")
	remaining, err := strconv.ParseInt(size, 16, 64)
	if err != nil || remaining < 0 {
		return errMalformedChunk
	}
	c.remaining = remaining
	c.done = remaining == 0
	return nil
}
