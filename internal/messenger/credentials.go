package messenger

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// CredentialFiles names the PEM files with which an instance proves itself to its peers.
type CredentialFiles struct {
	// Certificate is the path of this instance's certificate chain.
	Certificate string
	// Key is the path of the certificate's private key.
	Key string
	// Authority is the path of the certificates of those who may sign peers' certificates.
	Authority string
	// PeerName is the DNS name that each peer's certificate carries. Instances come and go at new addresses, so all of
	// them share one name. An empty PeerName accepts every certificate that the authority signed.
	PeerName string
}

// Credentials holds what CredentialFiles name and reads it again when a file changes, so that keys are replaced
// without a restart. While the files can't be read or don't fit each other, the last good ones stay in use.
type Credentials struct {
	files CredentialFiles

	mu     sync.Mutex
	stamps [3]fileStamp
	pair   *tls.Certificate
	pool   *x509.CertPool
	failed bool
}

// fileStamp tells whether a file was written again.
type fileStamp struct {
	modified time.Time
	size     int64
}

// NewCredentials reads files. The error tells which file can't be read or doesn't fit.
func NewCredentials(files CredentialFiles) (*Credentials, error) {
	c := &Credentials{files: files}
	stamps, err := c.readStamps()
	if err != nil {
		return nil, err
	}
	if err := c.load(); err != nil {
		return nil, err
	}
	c.stamps = stamps
	return c, nil
}

// ServerConfig returns the TLS settings of a peer port: clients must present a certificate of the authority.
func (c *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _ := c.current()
			return pair, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return c.verify(state, x509.ExtKeyUsageClientAuth)
		},
	}
}

// ClientConfig returns the TLS settings of calls to peers: the server's certificate is checked against the authority
// and PeerName.
func (c *Credentials) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection does the whole check, against an authority that may change while the process runs.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := c.current()
			return pair, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return c.verify(state, x509.ExtKeyUsageServerAuth)
		},
	}
}

func (c *Credentials) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	_, pool := c.current()
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       c.files.PeerName,
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return errors.Wrap(err, "peer's certificate")
}

// current returns the newest good key pair and authority.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stamps, err := c.readStamps()
	if err == nil && stamps == c.stamps {
		return c.pair, c.pool
	}
	if err == nil {
		err = c.load()
	}
	if err == nil {
		c.stamps = stamps
	}
	c.logChange(err)
	return c.pair, c.pool
}

// logChange writes a line when reading starts to fail and when it works again.
func (c *Credentials) logChange(err error) {
	failed := err != nil
	if failed && !c.failed {
		klog.Warningf("peer credentials: the last good ones stay in use: %v", err)
	}
	if !failed {
		klog.Info("peer credentials: read again")
	}
	c.failed = failed
}

func (c *Credentials) readStamps() ([3]fileStamp, error) {
	var stamps [3]fileStamp
	for i, path := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		info, err := os.Stat(path)
		if err != nil {
			return stamps, errors.WithStack(err)
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

// load reads the files and replaces the key pair and the authority when all of them are good.
func (c *Credentials) load() error {
	pair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return errors.Wrapf(err, "certificate %s with key %s", c.files.Certificate, c.files.Key)
	}
	pem, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return errors.Wrap(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Errorf("authority %s holds no certificate", c.files.Authority)
	}
	c.pair = &pair
	c.pool = pool
	return nil
}
