package forwarder

import (
	"bytes"
	"io"
)

const (
	// minPieceBytes is the size of the first piece of a body whose length is unknown.
	minPieceBytes = 4 << 10
	// maxPieceBytes bounds a piece, and so the memory that a body has beyond its length.
	maxPieceBytes = 256 << 10
)

// payload is the body of a request or of an answer in memory. It is in pieces, so that it grows without being copied. The zero payload
// is empty.
type payload struct {
	pieces [][]byte
	size   int64 // bytes in all pieces
}

// reader returns a reader of the body.
func (p payload) reader() io.Reader {
	readers := make([]io.Reader, 0, len(p.pieces))
	for _, piece := range p.pieces {
		readers = append(readers, bytes.NewReader(piece))
	}
	return io.MultiReader(readers...)
}

// nextPieceBytes returns the size of the next piece: as large as the body so far, within the bounds of pieces, and at most remaining
// if that is not negative.
func (p payload) nextPieceBytes(remaining int64) int64 {
	size := min(max(p.size, minPieceBytes), maxPieceBytes)
	if remaining >= 0 {
		size = min(size, remaining)
	}
	return size
}

// readPiece adds a piece of at most size bytes to the body, and calls onRead with the size of the body after each read. It returns
// io.EOF at the end of reader.
func (p *payload) readPiece(reader io.Reader, size int64, onRead func(total int64)) error {
	piece := make([]byte, size)
	n := 0
	var err error
	for n < len(piece) && err == nil {
		var read int
		read, err = reader.Read(piece[n:])
		n += read
		if read > 0 {
			onRead(p.size + int64(n))
		}
	}
	if n > 0 {
		p.pieces = append(p.pieces, piece[:n])
		p.size += int64(n)
	}
	return err
}
