package encoder

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxUnpacked bounds a document, in bytes.
const maxUnpacked = 64 << 20

// Pack compresses a document for its way between instances.
func Pack(content []byte) []byte {
	var bu bytes.Buffer
	zw := gzip.NewWriter(&bu)
	// Writes to a buffer never fail.
	_, _ = zw.Write(content)
	_ = zw.Close()
	return bu.Bytes()
}

// Unpack reverses Pack.
func Unpack(packed []byte) ([]byte, error) {
	zr, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, &DecodeError{Document: "packed document", Err: err}
	}
	content, err := io.ReadAll(io.LimitReader(zr, maxUnpacked+1))
	if err == nil && len(content) > maxUnpacked {
		err = fmt.Errorf("larger than %d bytes", maxUnpacked)
	}
	if err != nil {
		return nil, &DecodeError{Document: "packed document", Err: err}
	}
	return content, nil
}
