package encoder

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxDocumentSize is the maximum size of a decompressed document in bytes.
const maxDocumentSize = 64 << 20

// Compress returns content compressed with gzip.
func Compress(content []byte) []byte {
	var bu bytes.Buffer
	zw := gzip.NewWriter(&bu)
	// Writes to a buffer never fail.
	_, _ = zw.Write(content)
	_ = zw.Close()
	return bu.Bytes()
}

// Decompress returns the content of a document compressed by Compress. It returns a
// *DecodeError for malformed input or content larger than 64 MiB.
func Decompress(packed []byte) ([]byte, error) { return DecompressLimit(packed, maxDocumentSize) }

// DecompressLimit is like Decompress with limit, in bytes, as the maximum size of the
// content.
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
