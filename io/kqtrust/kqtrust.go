// Package kqtrust makes the TLS settings of the fleet: every node shows a
// certificate of the fleet's authority, and refuses peers that show none.
//
// # Usage
//
// In production the certificates come from files named in the settings:
//
//	identity, err := kqtrust.Load("node.crt", "node.key", "fleet.crt")
//	changed, err := identity.Refresh()
//
// Refresh reads the files again, so that certificates and the authority are
// rotated without a restart. Links in use go on; new ones show the new
// certificate.
//
// Stand-ins and tests make an authority of their own:
//
//	authority, err := kqtrust.NewAuthority()
//	identity, err := authority.Issue("node-1")
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

// fleetName is the name that every node's certificate holds, since peers are
// dialled by IP number.
const fleetName = "fleet.kumquatlink.internal"

// validity is how long certificates of a made authority last.
const validity = 30 * 24 * time.Hour

// ErrTrust marks all errors of this package.
var ErrTrust = errors.New("trust settings are faulty")

// Authority issues certificates for stand-ins and tests.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority makes an authority with a fresh key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "make authority key"), ErrTrust)
	}
	template := newTemplate("kumquatlink fleet")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "sign authority"), ErrTrust)
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "parse authority"), ErrTrust)
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Issue makes an identity for the node of that name.
func (a *Authority) Issue(nodeID string) (*Identity, error) {
	key, raw, err := a.issue(nodeID)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	roots.AddCert(a.certificate)
	leaf, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "parse certificate"), ErrTrust)
	}
	return newIdentity(tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: key, Leaf: leaf}, roots), nil
}

// Write issues an identity and writes it as the PEM files that [Load] reads.
func (a *Authority) Write(nodeID, certificateFile, keyFile, authorityFile string) error {
	key, raw, err := a.issue(nodeID)
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
		{certificateFile, "CERTIFICATE", raw},
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

func (a *Authority) issue(nodeID string) (*ecdsa.PrivateKey, []byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Mark(errors.Wrap(err, "make key"), ErrTrust)
	}
	template := newTemplate(nodeID)
	template.DNSNames = []string{fleetName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return nil, nil, errors.Mark(errors.Wrap(err, "sign certificate"), ErrTrust)
	}
	return key, raw, nil
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
