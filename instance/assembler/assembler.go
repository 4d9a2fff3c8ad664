// Package assembler holds the body of a request or an answer in pieces, so that a body of
// unknown length grows without being copied.
//
// # Usage
//
//	bo := &assembler.Body{}
//	bo.Append(piece)
//	request.Body = io.NopCloser(bo.NewReader())
//
//	bo, err := assembler.Read(request.Body, request.ContentLength, hold.Take)
package assembler

import (
	"bytes"
	"errors"
	"io"
)

// ErrNoRoom says that there was no room for a body.
var ErrNoRoom = errors.New("assembler: no room for the body")

const (
	// firstPiece and maxPiece bound the pieces of a body of unknown length, in bytes. Each
	// is as long as all before it, up to the maximum.
	firstPiece = 4 << 10
	maxPiece   = 64 << 10
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

// Read reads a body of a length, -1 if it isn't known. It calls take with the size of each
// piece before it allocates it, and returns ErrNoRoom if take returns false. A body of known
// length is one piece.
func Read(re io.Reader, length int64, take func(bytes int64) bool) (*Body, error) {
	bo := &Body{}
	if length >= 0 {
		if length > 0 && !take(length) {
			return nil, ErrNoRoom
		}
		piece := make([]byte, length)
		if _, err := io.ReadFull(re, piece); err != nil {
			return nil, err
		}
		bo.Append(piece)
		return bo, nil
	}
	for size := int64(firstPiece); ; size = min(max(size, bo.length), maxPiece) {
		if !take(size) {
			return nil, ErrNoRoom
		}
		piece := make([]byte, size)
		count, err := fill(re, piece)
		bo.Append(piece[:count])
		switch {
		case errors.Is(err, io.EOF):
			return bo, nil
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until the piece is full. Unlike io.ReadFull it returns io.EOF at the end of the
// reader, and io.ErrUnexpectedEOF only if the reader does.
func fill(re io.Reader, piece []byte) (int, error) {
	count := 0
	for count < len(piece) {
		more, err := re.Read(piece[count:])
		count += more
		if err != nil {
			return count, err
		}
	}
	return count, nil
}

// Release drops the pieces, so that their memory is free once no reader uses them.
func (bo *Body) Release() { bo.pieces, bo.length = nil, 0 }

// Pieces returns the number of pieces.
func (bo *Body) Pieces() int { return len(bo.pieces) }

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

// Bytes returns the body as one slice, which is a copy if there are several pieces. It is nil
// for a nil body.
func (bo *Body) Bytes() []byte {
	if bo == nil {
		return nil
	}
	if len(bo.pieces) == 1 {
		return bo.pieces[0]
	}
	return bytes.Join(bo.pieces, nil)
}
