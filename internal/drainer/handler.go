package drainer

import "net/http"

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
		tracked.Body = &trackedBody{ReadCloser: r.Body, conn: c, announced: r.ContentLength}
	}
	defer c.releaseReceiveBuffer() // the rest of a refused body is not needed
	h.Handler.ServeHTTP(w, &tracked)
}
