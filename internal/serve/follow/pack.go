package follow

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"io"
)

// maxUnpackedBytes limits the decompressed size of a packed message, so that a peer can't
// exhaust this process's memory.
const maxUnpackedBytes = 16 << 20

var errTooLarge = errors.New("packed message exceeds the size limit when decompressed")

// pack encodes a value as DEFLATE-compressed JSON.
func pack(value any) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// unpack decodes the output of pack into value.
func unpack(packed []byte, value any) error {
	r := flate.NewReader(bytes.NewReader(packed))
	data, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return err
	}
	if len(data) > maxUnpackedBytes {
		return errTooLarge
	}
	return json.Unmarshal(data, value)
}
