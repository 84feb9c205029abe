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

// files name the PEM files of an identity.
type files struct {
	certificate, key, authority string
}

// material is what an identity consists of at one time.
type material struct {
	// pem is what the files held, in the order of files.
	pem         [3][]byte
	certificate tls.Certificate
	roots       *x509.CertPool
}

// Identity is a node's certificate and the authority it trusts. It is safe for
// concurrent use.
type Identity struct {
	files   files
	current atomic.Pointer[material]
	refused atomic.Pointer[func(address string, err error)]
}

// Load reads an identity from PEM files. The authority's file may hold several
// certificates, all of which are trusted.
func Load(certificateFile, keyFile, authorityFile string) (*Identity, error) {
	i := &Identity{files: files{certificate: certificateFile, key: keyFile, authority: authorityFile}}
	m, err := i.files.read()
	if err != nil {
		return nil, err
	}
	i.current.Store(m)
	return i, nil
}

func newIdentity(certificate tls.Certificate, roots *x509.CertPool) *Identity {
	i := &Identity{}
	i.current.Store(&material{certificate: certificate, roots: roots})
	return i
}

func (f files) read() (*material, error) {
	m := &material{roots: x509.NewCertPool()}
	for i, path := range []string{f.certificate, f.key, f.authority} {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "read identity"), ErrTrust)
		}
		m.pem[i] = data
	}
	var err error
	if m.certificate, err = tls.X509KeyPair(m.pem[0], m.pem[1]); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "load certificate"), ErrTrust)
	}
	if !m.roots.AppendCertsFromPEM(m.pem[2]) {
		return nil, errors.Mark(errors.Newf("%s holds no certificate", f.authority), ErrTrust)
	}
	return m, nil
}

// Refresh reads the files again and says whether they had changed. What can't
// be used, such as a certificate whose key has not been written yet, that its
// own authority does not vouch for, or that names another node, leaves the
// identity as it was.
func (i *Identity) Refresh() (bool, error) {
	if i.files == (files{}) {
		return false, nil
	}
	next, err := i.files.read()
	if err != nil {
		return false, err
	}
	held := i.current.Load()
	same := true
	for part := range next.pem {
		same = same && bytes.Equal(next.pem[part], held.pem[part])
	}
	if same {
		return false, nil
	}
	if got, want := next.certificate.Leaf.Subject.CommonName, held.certificate.Leaf.Subject.CommonName; got != want {
		return false, errors.Mark(errors.Newf("new certificate names %q, this node is %q", got, want), ErrTrust)
	}
	if err := next.verify(next.certificate.Leaf, nil, x509.ExtKeyUsageServerAuth); err != nil {
		return false, errors.Mark(errors.Wrap(err, "new certificate"), ErrTrust)
	}
	i.current.Store(next)
	return true, nil
}

// Expires is when the certificate shown ends.
func (i *Identity) Expires() time.Time {
	return i.current.Load().certificate.Leaf.NotAfter
}

// OnRefusal sets what is told of each peer that was refused, by its address.
func (i *Identity) OnRefusal(tell func(address string, err error)) {
	i.refused.Store(&tell)
}

// ServerTLS gives the settings for taking links from peers.
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

// serverTLS asks for a certificate and checks it itself, so that a refusal can
// be told with the peer's address.
func (i *Identity) serverTLS(address string) *tls.Config {
	m := i.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		ClientAuth:   tls.RequestClientCert,
		NextProtos:   []string{Protocol},
		VerifyConnection: func(s tls.ConnectionState) error {
			err := m.verifyPeer(s.PeerCertificates)
			if tell := i.refused.Load(); err != nil && tell != nil {
				(*tell)(address, err)
			}
			return err
		},
	}
}

// ClientTLS gives the settings for a link to a peer.
func (i *Identity) ClientTLS() *tls.Config {
	m := i.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.roots,
		ServerName:   fleetName,
		NextProtos:   []string{Protocol},
	}
}

// verifyPeer checks what a peer that opened a link showed.
func (m *material) verifyPeer(shown []*x509.Certificate) error {
	if len(shown) == 0 {
		return errors.Mark(errors.New("peer shows no certificate"), ErrTrust)
	}
	between := x509.NewCertPool()
	for _, c := range shown[1:] {
		between.AddCert(c)
	}
	return errors.Mark(m.verify(shown[0], between, x509.ExtKeyUsageClientAuth), ErrTrust)
}

func (m *material) verify(c *x509.Certificate, between *x509.CertPool, usage x509.ExtKeyUsage) error {
	_, err := c.Verify(x509.VerifyOptions{
		Roots: m.roots, Intermediates: between, DNSName: fleetName, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	return errors.Wrap(err, "verify certificate")
}
