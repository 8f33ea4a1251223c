package exchanger

import "io"

// StreamedBody is a request body that can be read once. Its read errors are wrapped in ErrBody, which tells them apart
// from errors of the connection.
type StreamedBody struct {
	reader  io.Reader
	unblock func()
	err     error
}

// NewStreamedBody returns a StreamedBody that reads from reader. It does not close reader, which stays with its owner.
// unblock makes a blocked read return; it may be nil if reads never block.
func NewStreamedBody(reader io.Reader, unblock func()) *StreamedBody {
	return &StreamedBody{reader: reader, unblock: unblock}
}

// Read implements io.Reader.
func (b *StreamedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != nil && err != io.EOF {
		b.err = ErrBody{cause: err}
		return n, b.err
	}
	return n, err
}

// Close implements io.Closer. It does nothing.
func (b *StreamedBody) Close() error { return nil }

// interrupt makes a blocked Read return.
func (b *StreamedBody) interrupt() {
	if b.unblock != nil {
		b.unblock()
	}
}
