package kqtrust

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// pemFiles holds the paths of the PEM files of an identity.
type pemFiles struct {
	certificate, key, authority string
}

// credentials holds a certificate with its key and the trusted authorities.
type credentials struct {
	// pem holds the contents of the files, in the order of the fields of
	// pemFiles; empty if the credentials don't come from files.
	pem         [3][]byte
	certificate tls.Certificate
	roots       *x509.CertPool
}

// Identity holds the certificate and key of a node, and the authorities that it
// trusts. It is safe for concurrent use.
type Identity struct {
	files   pemFiles
	current atomic.Pointer[credentials]
	// refused is called for each peer that was refused; see OnRefusal.
	refused atomic.Pointer[func(address string, err error)]
}

// Load reads an identity from PEM files. The authority's file may hold several
// certificates; all of them are trusted.
func Load(certificateFile, keyFile, authorityFile string) (*Identity, error) {
	i := &Identity{files: pemFiles{certificate: certificateFile, key: keyFile, authority: authorityFile}}
	c, err := i.files.read()
	if err != nil {
		return nil, err
	}
	i.current.Store(c)
	return i, nil
}

func newIdentity(certificate tls.Certificate, roots *x509.CertPool) *Identity {
	i := &Identity{}
	i.current.Store(&credentials{certificate: certificate, roots: roots})
	return i
}

func (f pemFiles) read() (*credentials, error) {
	c := &credentials{roots: x509.NewCertPool()}
	for i, path := range []string{f.certificate, f.key, f.authority} {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "read file of identity"), ErrTrust)
		}
		c.pem[i] = data
	}
	var err error
	if c.certificate, err = tls.X509KeyPair(c.pem[0], c.pem[1]); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "load certificate and key"), ErrTrust)
	}
	if !c.roots.AppendCertsFromPEM(c.pem[2]) {
		return nil, errors.Mark(errors.Newf("authority file %s contains no certificate", f.authority), ErrTrust)
	}
	return c, nil
}

// Refresh reads the files again and reports whether the identity changed. If the
// files are not usable, it returns an error and the identity stays as it was. That
// is so if the key does not belong to the certificate, for example because it has
// not been written yet, if the new authority has not issued the certificate, or if
// the certificate is that of another node. An identity without files does not
// change.
func (i *Identity) Refresh() (bool, error) {
	if i.files == (pemFiles{}) {
		return false, nil
	}
	next, err := i.files.read()
	if err != nil {
		return false, err
	}
	current := i.current.Load()
	same := true
	for part := range next.pem {
		same = same && bytes.Equal(next.pem[part], current.pem[part])
	}
	if same {
		return false, nil
	}
	if got, want := next.certificate.Leaf.Subject.CommonName, current.certificate.Leaf.Subject.CommonName; got != want {
		return false, errors.Mark(errors.Newf("new certificate is issued to node %q, but this node is %q", got, want), ErrTrust)
	}
	if err := next.verify(next.certificate.Leaf, nil, x509.ExtKeyUsageServerAuth); err != nil {
		return false, errors.Mark(errors.Wrap(err, "check new certificate"), ErrTrust)
	}
	i.current.Store(next)
	return true, nil
}

// Expires returns the time at which the current certificate expires.
func (i *Identity) Expires() time.Time {
	return i.current.Load().certificate.Leaf.NotAfter
}

// OnRefusal sets the function that is called for each connecting peer that was
// refused, with the peer's address and the reason.
func (i *Identity) OnRefusal(handle func(address string, err error)) {
	i.refused.Store(&handle)
}

// ServerTLS returns the configuration for accepting connections from peers. Each
// connection uses the certificate and the authorities that are current when it is
// opened.
func (i *Identity) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			address := ""
			if hello.Conn != nil && hello.Conn.RemoteAddr() != nil {
				address = hello.Conn.RemoteAddr().String()
			}
			return i.serverTLS(address), nil
		},
	}
}

// serverTLS returns the configuration for a connection from the address. It
// verifies the peer's certificate itself instead of leaving that to crypto/tls, so
// that a refusal can be reported with the peer's address.
func (i *Identity) serverTLS(address string) *tls.Config {
	c := i.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.certificate},
		ClientAuth:   tls.RequestClientCert,
		NextProtos:   []string{Protocol},
		VerifyConnection: func(s tls.ConnectionState) error {
			err := c.verifyPeer(s.PeerCertificates)
			if handle := i.refused.Load(); err != nil && handle != nil {
				(*handle)(address, err)
			}
			return err
		},
	}
}

// ClientTLS returns the configuration for a connection to a peer.
func (i *Identity) ClientTLS() *tls.Config {
	c := i.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.certificate},
		RootCAs:      c.roots,
		ServerName:   fleetName,
		NextProtos:   []string{Protocol},
	}
}

// verifyPeer verifies the certificate chain of a connecting peer. The chain starts
// with the peer's own certificate.
func (c *credentials) verifyPeer(chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return errors.Mark(errors.New("peer presented no certificate"), ErrTrust)
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	return errors.Mark(c.verify(chain[0], intermediates, x509.ExtKeyUsageClientAuth), ErrTrust)
}

// verify checks that a trusted authority has issued the certificate for the usage
// and with the fleet's DNS name.
func (c *credentials) verify(certificate *x509.Certificate, intermediates *x509.CertPool, usage x509.ExtKeyUsage) error {
	_, err := certificate.Verify(x509.VerifyOptions{
		Roots: c.roots, Intermediates: intermediates, DNSName: fleetName, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	return errors.Wrap(err, "verify certificate")
}
