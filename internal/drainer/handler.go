package drainer

import (
	"io"
	"net/http"
	"sync/atomic"
)

// trackedBody is the body of a request. It records whether the body was read completely.
type trackedBody struct {
	io.ReadCloser
	complete *atomic.Bool
}

// Read implements io.Reader.
func (b trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.complete.Store(true)
	}
	return n, err
}

// handler tells the connections of requests about their progress. The server reads a pipelined request together with the one before, and
// then neither calls Read for it nor reports that the connection is active.
type handler struct{ http.Handler }

// ServeHTTP implements http.Handler.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		h.Handler.ServeHTTP(w, r)
		return
	}
	_ = c.markBusy() // fails only on a closed connection
	c.answering.Store(true)
	c.endHeader()
	c.bodyRead.Store(r.Body == nil || r.Body == http.NoBody)
	tracked := *r // the server recognises its own type of body
	if !c.bodyRead.Load() {
		tracked.Body = trackedBody{ReadCloser: r.Body, complete: &c.bodyRead}
	}
	h.Handler.ServeHTTP(w, &tracked)
}
