// Package kqtrust provides the TLS configuration with which the nodes of a fleet
// authenticate each other. Every node presents a certificate that the fleet's
// certificate authority has issued to the ID of the node, and refuses peers
// without such a certificate.
//
// # Usage
//
// In production the certificate, the key and the authority's certificates come
// from PEM files that are named in the settings:
//
//	identity, err := kqtrust.Load("node.crt", "node.key", "fleet.crt")
//	changed, err := identity.Refresh()
//
//	config := identity.ServerTLS()
//
// Refresh reads the files again, so that certificates and the authority are
// rotated without a restart. Connections that are open stay open; new ones use
// the new certificate. To replace the authority, first put the certificates of
// the old and the new one into the authority's file, then replace the nodes'
// certificates, and at last remove the old authority.
//
// Trial fleets and tests create an authority of their own:
//
//	authority, err := kqtrust.NewAuthority()
//	identity, err := authority.Issue("node-1")
//
// All errors are marked [ErrTrust].
package kqtrust

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Protocol is the ALPN name of the protocol between nodes.
const Protocol = "kumquatlink/1"

// fleetName is the DNS name in the certificate of every node. All nodes share
// it, since peers are dialed by IP address and have no DNS names of their own.
const fleetName = "fleet.kumquatlink.internal"

// validity is the lifetime of the certificates that an Authority issues, and of
// its own.
const validity = 30 * 24 * time.Hour

// ErrTrust marks all errors of this package.
var ErrTrust = errors.New("trust settings are invalid")

// Authority is a certificate authority for trial fleets and tests.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates an authority with a new key and a self-signed
// certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "generate key of authority"), ErrTrust)
	}
	template := newTemplate("kumquatlink fleet")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "sign certificate of authority"), ErrTrust)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "parse certificate of authority"), ErrTrust)
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Issue creates a key and a certificate for the node, and returns them as an
// identity that trusts this authority.
func (a *Authority) Issue(nodeID string) (*Identity, error) {
	key, der, err := a.issue(nodeID)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	roots.AddCert(a.certificate)
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "parse certificate"), ErrTrust)
	}
	return newIdentity(tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}, roots), nil
}

// Write creates a key and a certificate for the node, and writes them and the
// authority's certificate as the PEM files that [Load] reads.
func (a *Authority) Write(nodeID, certificateFile, keyFile, authorityFile string) error {
	key, der, err := a.issue(nodeID)
	if err != nil {
		return err
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "encode key"), ErrTrust)
	}
	for _, f := range []struct {
		path, kind string
		data       []byte
	}{
		{certificateFile, "CERTIFICATE", der},
		{keyFile, "EC PRIVATE KEY", private},
		{authorityFile, "CERTIFICATE", a.certificate.Raw},
	} {
		block := pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.data})
		if err := os.WriteFile(f.path, block, 0o600); err != nil {
			return errors.Mark(errors.Wrap(err, "write identity"), ErrTrust)
		}
	}
	return nil
}

// issue creates a key and a certificate in DER encoding, valid for both ends of
// a connection.
func (a *Authority) issue(nodeID string) (*ecdsa.PrivateKey, []byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Mark(errors.Wrap(err, "generate key"), ErrTrust)
	}
	template := newTemplate(nodeID)
	template.DNSNames = []string{fleetName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return nil, nil, errors.Mark(errors.Wrap(err, "sign certificate"), ErrTrust)
	}
	return key, der, nil
}

func newTemplate(name string) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		serial = big.NewInt(time.Now().UnixNano())
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(validity),
	}
}
