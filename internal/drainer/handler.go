package drainer

import (
	"net/http"
	"time"
)

// unreadTimeout bounds the time for the rest of a body that the handler has not read: the server reads it before it answers.
const unreadTimeout = time.Second

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
	c.beginRequest()
	defer c.endHeader()
	c.bodyRead.Store(r.Body == nil || r.Body == http.NoBody)
	tracked := *r // the server recognises its own type of body
	if !c.bodyRead.Load() {
		tracked.Body = &trackedBody{ReadCloser: r.Body, conn: c, announced: r.ContentLength}
	}
	defer c.releaseReceiveBuffer() // the rest of a refused body is not needed
	h.Handler.ServeHTTP(w, &tracked)
	if !c.bodyRead.Load() {
		c.limitUnread(time.Now().Add(unreadTimeout))
	}
}

// limitUnread sets the read deadline, unless the handler has set one. The server sets its own before it reads the next request.
func (c *conn) limitUnread(deadline time.Time) {
	c.mu.Lock()
	unlimited := c.serverDeadline.IsZero()
	c.mu.Unlock()
	if unlimited {
		_ = c.SetReadDeadline(deadline) // fails only on a closed connection
	}
}
