// Package assembler holds the body of a request or an answer in pieces, so that a body of
// unknown length grows without being copied.
//
// # Usage
//
//	bo := &assembler.Body{}
//	bo.Append(piece)
//	request.Body = io.NopCloser(bo.NewReader())
package assembler

import (
	"bytes"
	"io"
)

// Body is a body in pieces. The zero value is empty. It must not be changed while it is
// read.
type Body struct {
	pieces [][]byte
	length int64
}

// New returns a body that consists of content, which it keeps.
func New(content []byte) *Body {
	bo := &Body{}
	bo.Append(content)
	return bo
}

// Append adds a piece, which the body keeps.
func (bo *Body) Append(piece []byte) {
	if len(piece) == 0 {
		return
	}
	bo.pieces = append(bo.pieces, piece)
	bo.length += int64(len(piece))
}

// Len returns the length in bytes.
func (bo *Body) Len() int64 { return bo.length }

// NewReader returns a reader of the whole body. Several may be in use at once.
func (bo *Body) NewReader() io.Reader {
	readers := make([]io.Reader, 0, len(bo.pieces))
	for _, piece := range bo.pieces {
		readers = append(readers, bytes.NewReader(piece))
	}
	return io.MultiReader(readers...)
}

// Bytes returns the body as one slice, which is a copy if there are several pieces.
func (bo *Body) Bytes() []byte {
	if len(bo.pieces) == 1 {
		return bo.pieces[0]
	}
	return bytes.Join(bo.pieces, nil)
}
