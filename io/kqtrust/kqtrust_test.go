package kqtrust_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqlink"
	"kumquatlink/io/kqtrust"
)

// testTimeout ends a test that hangs.
const testTimeout = 30 * time.Second

// identityFiles holds the paths of the PEM files of one node.
type identityFiles struct {
	certificate, key, authority string
}

func writeIdentity(t *testing.T, a *kqtrust.Authority, nodeID string) identityFiles {
	t.Helper()
	directory := t.TempDir()
	f := identityFiles{filepath.Join(directory, "node.crt"), filepath.Join(directory, "node.key"), filepath.Join(directory, "fleet.crt")}
	if err := a.Write(nodeID, f.certificate, f.key, f.authority); err != nil {
		t.Fatal(err)
	}
	return f
}

func newAuthority(t *testing.T) *kqtrust.Authority {
	t.Helper()
	a, err := kqtrust.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func load(t *testing.T, f identityFiles) *kqtrust.Identity {
	t.Helper()
	i, err := kqtrust.Load(f.certificate, f.key, f.authority)
	if err != nil {
		t.Fatal(err)
	}
	return i
}

func issue(t *testing.T, a *kqtrust.Authority, nodeID string) *kqtrust.Identity {
	t.Helper()
	i, err := a.Issue(nodeID)
	if err != nil {
		t.Fatal(err)
	}
	return i
}

// startServer starts a server that answers each message with the name of the node
// that sent it, and returns the server's address.
func startServer(t *testing.T, i *kqtrust.Identity) string {
	t.Helper()
	server, err := kqlink.Listen("127.0.0.1:0", i, kqlink.Handlers{
		Message: func(_ context.Context, peer string, _ []byte) ([]byte, error) { return []byte(peer), nil },
		Submit:  func(task func()) error { go task(); return nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return server.Address()
}

// exchangeNames opens a connection to the address and returns the names under
// which the two ends know each other.
func exchangeNames(t *testing.T, i *kqtrust.Identity, address string) (server, client string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	dialer := kqlink.NewDialer(i)
	defer dialer.Close()
	server, reply, err := dialer.Exchange(ctx, address, []byte("hello"))
	return server, string(reply), err
}

func TestBothEndsLearnPeerName(t *testing.T) {
	a := newAuthority(t)
	address := startServer(t, issue(t, a, "node-1"))
	server, client, err := exchangeNames(t, issue(t, a, "node-2"), address)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := server+" "+client, "node-1 node-2"; got != want {
		t.Errorf("names: got %q, want %q", got, want)
	}
}

func TestPeerOfOtherAuthorityIsRefusedAndReported(t *testing.T) {
	trusted, untrusted := newAuthority(t), newAuthority(t)
	identity := issue(t, trusted, "node-1")
	reported := make(chan error, 8)
	identity.OnRefusal(func(_ string, err error) { reported <- err })
	address := startServer(t, identity)
	// This peer trusts the server, but its certificate is of another authority.
	peer := load(t, writeMixedIdentity(t, trusted, untrusted))
	if _, _, err := exchangeNames(t, peer, address); err == nil {
		t.Fatal("server accepted a peer with a certificate of another authority")
	}
	select {
	case err := <-reported:
		if !errors.Is(err, kqtrust.ErrTrust) {
			t.Errorf("reported refusal: got %v, want an error marked ErrTrust", err)
		}
	case <-time.After(testTimeout):
		t.Error("the refusal was not reported")
	}
	if _, _, err := exchangeNames(t, issue(t, untrusted, "node-3"), address); err == nil {
		t.Error("dialer accepted a server with a certificate of another authority")
	}
}

// writeMixedIdentity writes an identity whose certificate is of issuer, and which
// trusts the authority trusted.
func writeMixedIdentity(t *testing.T, trusted, issuer *kqtrust.Authority) identityFiles {
	t.Helper()
	f := writeIdentity(t, issuer, "node-2")
	f.authority = writeIdentity(t, trusted, "node-2").authority
	return f
}

func TestRefreshRotatesAuthorityAndCertificate(t *testing.T) {
	before, after := newAuthority(t), newAuthority(t)
	p := writeIdentity(t, before, "node-1")
	identity := load(t, p)
	address := startServer(t, identity)
	if changed, err := identity.Refresh(); changed || err != nil {
		t.Errorf("refresh of unchanged files: got %v %v, want false and no error", changed, err)
	}
	// As in a fleet, the node first trusts both authorities, and then gets a
	// certificate of the new one.
	both := append(read(t, p.authority), read(t, writeIdentity(t, after, "node-1").authority)...)
	write(t, p.authority, both)
	refresh(t, identity)
	if _, _, err := exchangeNames(t, load(t, writeMixedIdentity(t, before, after)), address); err != nil {
		t.Errorf("peer of the new authority, while both are trusted: %v", err)
	}
	if err := after.Write("node-1", p.certificate, p.key, p.authority); err != nil {
		t.Fatal(err)
	}
	refresh(t, identity)
	if _, _, err := exchangeNames(t, issue(t, after, "node-2"), address); err != nil {
		t.Errorf("peer of the new authority, after the rotation: %v", err)
	}
	if _, _, err := exchangeNames(t, issue(t, before, "node-2"), address); err == nil {
		t.Error("server accepted a peer of the old authority after the rotation")
	}
}

func TestRefreshKeepsIdentityWhenFilesAreUnusable(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	p := writeIdentity(t, a, "node-1")
	identity := load(t, p)
	address := startServer(t, identity)
	held := read(t, p.certificate)
	for name, data := range map[string][]byte{
		"half written":   held[:len(held)/2],
		"another key":    read(t, writeIdentity(t, a, "node-1").certificate),
		"another issuer": read(t, writeIdentity(t, other, "node-1").certificate),
	} {
		write(t, p.certificate, data)
		if changed, err := identity.Refresh(); changed || err == nil {
			t.Errorf("%s: got changed %v and error %v, want an error", name, changed, err)
		}
	}
	if err := a.Write("node-9", p.certificate, p.key, p.authority); err != nil {
		t.Fatal(err)
	}
	if changed, err := identity.Refresh(); changed || err == nil {
		t.Errorf("certificate of another node: got changed %v and error %v, want an error", changed, err)
	}
	if _, _, err := exchangeNames(t, issue(t, a, "node-2"), address); err != nil {
		t.Errorf("exchange after refreshes with unusable files: %v", err)
	}
}

func refresh(t *testing.T, i *kqtrust.Identity) {
	t.Helper()
	if changed, err := i.Refresh(); !changed || err != nil {
		t.Fatalf("refresh: got %v %v, want true and no error", changed, err)
	}
}

func read(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func write(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// BenchmarkVerifyRecord measures the cost of a signature check, which each
// membership record would need if records were signed; see docs/design/trust.md.
func BenchmarkVerifyRecord(b *testing.B) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		b.Fatal(err)
	}
	digest := sha256.Sum256(make([]byte, 100))
	signature, err := ecdsa.SignASN1(rand.Reader, key, digest[:])
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if !ecdsa.VerifyASN1(&key.PublicKey, digest[:], signature) {
			b.Fatal("signature is invalid")
		}
	}
}

func TestDialerRefusesUnexpectedNode(t *testing.T) {
	a := newAuthority(t)
	address := startServer(t, issue(t, a, "node-1"))
	for _, expected := range []string{"node-1", "node-2"} {
		dialer := kqlink.NewDialer(issue(t, a, "node-3"), kqlink.WithPeerCheck(func(_, peer string) bool { return peer == expected }))
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		_, _, err := dialer.Exchange(ctx, address, []byte("hello"))
		if got, want := errors.Is(err, kqlink.ErrUnexpectedNode), expected != "node-1"; got != want {
			t.Errorf("dialer that expects %s: refused %v, want %v (%v)", expected, got, want, err)
		}
		if err != nil && !errors.Is(err, kqlink.ErrNotSent) {
			t.Errorf("dialer that expects %s: got error %v, want it marked ErrNotSent", expected, err)
		}
		cancel()
		dialer.Close()
	}
}
