package encoder

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxUnpacked bounds a document, in bytes.
const maxUnpacked = 64 << 20

// Compress compresses a document or a value.
func Compress(content []byte) []byte {
	var bu bytes.Buffer
	zw := gzip.NewWriter(&bu)
	// Writes to a buffer never fail.
	_, _ = zw.Write(content)
	_ = zw.Close()
	return bu.Bytes()
}

// Decompress reverses Pack for a document.
func Decompress(packed []byte) ([]byte, error) { return DecompressLimit(packed, maxUnpacked) }

// DecompressLimit reverses Pack for what is at most limit bytes long.
func DecompressLimit(packed []byte, limit int64) ([]byte, error) {
	zr, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, &DecodeError{Document: "packed document", Err: err}
	}
	content, err := io.ReadAll(io.LimitReader(zr, limit+1))
	if err == nil && int64(len(content)) > limit {
		err = fmt.Errorf("larger than %d bytes", limit)
	}
	if err != nil {
		return nil, &DecodeError{Document: "packed document", Err: err}
	}
	return content, nil
}
