package messenger

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

const peerName = "entry.wasabibank.test"

// authority signs certificates in tests.
type authority struct {
	certificate *x509.Certificate
	der         []byte
	key         ed25519.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	is := is.New(t)
	public, key, err := ed25519.GenerateKey(rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, key)
	is.NoErr(err)
	certificate, err := x509.ParseCertificate(der)
	is.NoErr(err)
	return authority{certificate: certificate, der: der, key: key}
}

// write writes a new certificate for name, its key and the authority into dir.
func (a authority) write(t *testing.T, dir, name string) CredentialFiles {
	t.Helper()
	is := is.New(t)
	public, key, err := ed25519.GenerateKey(rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{name},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, public, a.key)
	is.NoErr(err)
	keyBytes, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	files := CredentialFiles{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
		PeerName:    peerName,
	}
	writePEM(t, files.Certificate, "CERTIFICATE", der)
	writePEM(t, files.Key, "PRIVATE KEY", keyBytes)
	writePEM(t, files.Authority, "CERTIFICATE", a.der)
	return files
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	is := is.New(t)
	is.NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func newTestCredentials(t *testing.T, files CredentialFiles) *Credentials {
	t.Helper()
	is := is.New(t)
	credentials, err := NewCredentials(files)
	is.NoErr(err)
	return credentials
}

// startTLS serves handler with the server settings of credentials and without httptest's own certificate.
func startTLS(handler http.Handler, credentials *Credentials) *httptest.Server {
	server := httptest.NewUnstartedServer(handler)
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Listener = tls.NewListener(server.Listener, credentials.ServerConfig())
	server.Start()
	return server
}

// exchangeOver makes one exchange from a client to a server with these credentials.
func exchangeOver(t *testing.T, client, server *Credentials) error {
	t.Helper()
	responder := &responderFunc{respond: func(*ExchangeRequest) (*ExchangeReply, error) {
		return &ExchangeReply{Instance: "b"}, nil
	}}
	listener := startTLS(NewServer(responder).Handler(), server)
	defer listener.Close()
	clients := NewClients(callTimeout, client.ClientConfig())
	defer clients.Close()
	_, err := clients.Exchange(t.Context(), addressOf(listener), &ExchangeRequest{Instance: "a"})
	return err
}

func TestPeersAuthenticateEachOther(t *testing.T) {
	ours := newAuthority(t)
	theirs := newAuthority(t)
	good := newTestCredentials(t, ours.write(t, t.TempDir(), peerName))
	foreign := newTestCredentials(t, theirs.write(t, t.TempDir(), peerName))
	misnamed := newTestCredentials(t, ours.write(t, t.TempDir(), "other.wasabibank.test"))
	tests := map[string]struct {
		client, server *Credentials
		ok             bool
	}{
		"both good":       {client: good, server: good, ok: true},
		"foreign client":  {client: foreign, server: good},
		"foreign server":  {client: good, server: foreign},
		"misnamed client": {client: misnamed, server: good},
		"misnamed server": {client: good, server: misnamed},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(exchangeOver(t, tc.client, tc.server) == nil, tc.ok)
		})
	}
}

func TestPlainClientIsRefusedByMutualTLS(t *testing.T) {
	is := is.New(t)
	good := newTestCredentials(t, newAuthority(t).write(t, t.TempDir(), peerName))
	listener := startTLS(NewServer(&responderFunc{}).Handler(), good)
	defer listener.Close()
	clients := NewClients(callTimeout, nil)
	defer clients.Close()
	_, err := clients.Exchange(t.Context(), addressOf(listener), &ExchangeRequest{Instance: "a"})
	is.True(err != nil)
}

func TestCredentialsFollowTheirFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	old := newAuthority(t)
	files := old.write(t, dir, peerName)
	rotating := newTestCredentials(t, files)
	fresh := newAuthority(t)
	others := newTestCredentials(t, fresh.write(t, t.TempDir(), peerName))
	is.True(exchangeOver(t, rotating, others) != nil)

	later := time.Now().Add(time.Minute)
	is.NoErr(os.WriteFile(files.Key, []byte("half written"), 0o600))
	is.NoErr(os.Chtimes(files.Key, later, later))
	is.NoErr(exchangeOver(t, rotating, newTestCredentials(t, old.write(t, t.TempDir(), peerName))))

	fresh.write(t, dir, peerName)
	later = later.Add(time.Minute)
	is.NoErr(os.Chtimes(files.Key, later, later))
	is.NoErr(exchangeOver(t, rotating, others))
	is.NoErr(exchangeOver(t, others, rotating))
}

func TestNewCredentialsReportsBadFiles(t *testing.T) {
	tests := map[string]func(t *testing.T, files *CredentialFiles){
		"no such file": func(_ *testing.T, files *CredentialFiles) { files.Key += ".missing" },
		"no authority": func(_ *testing.T, files *CredentialFiles) { files.Authority = files.Key },
		"key of others": func(t *testing.T, files *CredentialFiles) {
			files.Key = newAuthority(t).write(t, t.TempDir(), peerName).Key
		},
	}
	for name, spoil := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			files := newAuthority(t).write(t, t.TempDir(), peerName)
			spoil(t, &files)
			_, err := NewCredentials(files)
			is.True(err != nil)
		})
	}
}
