package exchanger

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// newTLSPool starts a TLS server and returns it with a Pool that trusts its certificate.
func newTLSPool(t *testing.T, handler http.HandlerFunc) (*httptest.Server, *Pool) {
	s := httptest.NewTLSServer(handler)
	t.Cleanup(s.Close)
	roots := x509.NewCertPool()
	roots.AddCert(s.Certificate())
	return s, New(Options{Address: s.Listener.Addr().String(), TLS: &tls.Config{RootCAs: roots}})
}

// TestTLSConnectionIsReused guards against a handshake for each request, and against connections that Close leaves open.
func TestTLSConnectionIsReused(t *testing.T) {
	is := is.New(t)
	_, p := newTLSPool(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	for range 3 {
		r, err := do(p, newRequest("POST", "body"))
		is.NoErr(err)
		body, err := readAndClose(r)
		is.NoErr(err)
		is.Equal(body, "body")
		is.Equal(p.Open(), 1)
	}
	p.Close()
	is.Equal(p.Open(), 0)
}

// TestTLSAbortIsErrMaybeSent guards against an ErrNotSent for a request that the server may have executed before it closed
// the TLS connection.
func TestTLSAbortIsErrMaybeSent(t *testing.T) {
	is := is.New(t)
	_, p := newTLSPool(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	_, err := do(p, newRequest("POST", "body"))
	is.True(IsErrMaybeSent(err))
	is.Equal(p.Open(), 0)
}

// TestWrongServerNameIsErrNotSent guards against a request that is sent to a server whose certificate has another name.
func TestWrongServerNameIsErrNotSent(t *testing.T) {
	is := is.New(t)
	var executed atomic.Bool
	_, p := newTLSPool(t, func(http.ResponseWriter, *http.Request) { executed.Store(true) })
	p.options.TLS.ServerName = "elsewhere.test"
	_, err := do(p, newRequest("POST", "body"))
	is.True(IsErrNotSent(err))
	is.True(!executed.Load())
}
