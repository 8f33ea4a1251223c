package exchanger

import "io"

// StreamedBody is a request body that can be read once and whose failures are told apart from those of the
// connection: a failed read returns an ErrBody.
type StreamedBody struct {
	reader io.Reader
	stop   func()
	err    error
}

// NewStreamedBody returns a StreamedBody that reads from reader and leaves closing to the owner of reader.
// stop makes a read under way return; it may be nil where reads never block.
func NewStreamedBody(reader io.Reader, stop func()) *StreamedBody {
	return &StreamedBody{reader: reader, stop: stop}
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

// Close implements io.Closer.
func (b *StreamedBody) Close() error { return nil }

// interrupt makes a read under way return.
func (b *StreamedBody) interrupt() {
	if b.stop != nil {
		b.stop()
	}
}
