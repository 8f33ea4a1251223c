package exchanger

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders are the headers that apply to a single connection, in canonical form.
var hopByHopHeaders = [...]string{
	"Connection",
	"Expect",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// RemoveHopByHop deletes from h the headers that apply to a single connection, and those that the Connection header lists.
func RemoveHopByHop(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}
