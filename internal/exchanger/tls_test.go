package exchanger

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

func newSecure(t *testing.T, serve http.HandlerFunc) (*httptest.Server, *Pool) {
	s := httptest.NewTLSServer(serve)
	t.Cleanup(s.Close)
	roots := x509.NewCertPool()
	roots.AddCert(s.Certificate())
	return s, New(Options{Address: s.Listener.Addr().String(), TLS: &tls.Config{RootCAs: roots}})
}

func TestSecureConnectionIsKept(t *testing.T) {
	is := is.New(t)
	_, p := newSecure(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	for range 3 {
		r, err := do(p, newRequest("POST", "order"))
		is.NoErr(err)
		body, err := finish(r)
		is.NoErr(err)
		is.Equal(body, "order")
		is.Equal(p.Open(), 1)
	}
	p.Close()
	is.Equal(p.Open(), 0)
}

func TestSecureBreakMayHaveRun(t *testing.T) {
	is := is.New(t)
	_, p := newSecure(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	_, err := do(p, newRequest("POST", "order"))
	is.True(IsErrMaybeSent(err))
	is.Equal(p.Open(), 0)
}

func TestWrongNameIsNotSent(t *testing.T) {
	is := is.New(t)
	executed := false
	_, p := newSecure(t, func(http.ResponseWriter, *http.Request) { executed = true })
	p.options.TLS.ServerName = "elsewhere.test"
	_, err := do(p, newRequest("POST", "order"))
	is.True(IsErrNotSent(err))
	is.True(!executed)
}
