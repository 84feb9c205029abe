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

const patience = 30 * time.Second

// paths are those of one node's files.
type paths struct {
	certificate, key, authority string
}

func writeIdentity(t *testing.T, a *kqtrust.Authority, nodeID string) paths {
	t.Helper()
	directory := t.TempDir()
	p := paths{filepath.Join(directory, "node.crt"), filepath.Join(directory, "node.key"), filepath.Join(directory, "fleet.crt")}
	if err := a.Write(nodeID, p.certificate, p.key, p.authority); err != nil {
		t.Fatal(err)
	}
	return p
}

func newAuthority(t *testing.T) *kqtrust.Authority {
	t.Helper()
	a, err := kqtrust.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func load(t *testing.T, p paths) *kqtrust.Identity {
	t.Helper()
	i, err := kqtrust.Load(p.certificate, p.key, p.authority)
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

// serve answers messages with the name of who sent them.
func serve(t *testing.T, i *kqtrust.Identity) string {
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

// ask opens a link of its own and gives both ends' names.
func ask(t *testing.T, i *kqtrust.Identity, address string) (server, client string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	dialer := kqlink.NewDialer(i)
	defer dialer.Close()
	server, reply, err := dialer.Exchange(ctx, address, []byte("hello"))
	return server, string(reply), err
}

func TestBothEndsLearnTheOthersName(t *testing.T) {
	a := newAuthority(t)
	address := serve(t, issue(t, a, "node-1"))
	server, client, err := ask(t, issue(t, a, "node-2"), address)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := server+" "+client, "node-1 node-2"; got != want {
		t.Errorf("names: got %q, want %q", got, want)
	}
}

func TestPeerOutsideTheAuthorityIsRefusedAndTold(t *testing.T) {
	inside, outside := newAuthority(t), newAuthority(t)
	identity := issue(t, inside, "node-1")
	told := make(chan error, 8)
	identity.OnRefusal(func(_ string, err error) { told <- err })
	address := serve(t, identity)
	// The stranger trusts the server, but shows a certificate of its own.
	stranger := load(t, mixed(t, inside, outside))
	if _, _, err := ask(t, stranger, address); err == nil {
		t.Fatal("a peer outside the authority was taken")
	}
	select {
	case err := <-told:
		if !errors.Is(err, kqtrust.ErrTrust) {
			t.Errorf("refusal: got %v, want one of trust", err)
		}
	case <-time.After(patience):
		t.Error("the refusal was not told")
	}
	if _, _, err := ask(t, issue(t, outside, "node-3"), address); err == nil {
		t.Error("a node took a server outside its authority")
	}
}

// mixed writes a certificate of one authority beside another authority.
func mixed(t *testing.T, trusted, issuer *kqtrust.Authority) paths {
	t.Helper()
	p := writeIdentity(t, issuer, "node-2")
	p.authority = writeIdentity(t, trusted, "node-2").authority
	return p
}

func TestRotationNeedsNoRestart(t *testing.T) {
	before, after := newAuthority(t), newAuthority(t)
	p := writeIdentity(t, before, "node-1")
	identity := load(t, p)
	address := serve(t, identity)
	if changed, err := identity.Refresh(); changed || err != nil {
		t.Errorf("refresh of unchanged files: got %v %v, want false and no error", changed, err)
	}
	// First both authorities are trusted, then the certificate is replaced.
	both := append(read(t, p.authority), read(t, writeIdentity(t, after, "node-1").authority)...)
	write(t, p.authority, both)
	refresh(t, identity)
	if _, _, err := ask(t, load(t, mixed(t, before, after)), address); err != nil {
		t.Errorf("peer of the next authority: %v", err)
	}
	if err := after.Write("node-1", p.certificate, p.key, p.authority); err != nil {
		t.Fatal(err)
	}
	refresh(t, identity)
	if _, _, err := ask(t, issue(t, after, "node-2"), address); err != nil {
		t.Errorf("peer of the new authority: %v", err)
	}
	if _, _, err := ask(t, issue(t, before, "node-2"), address); err == nil {
		t.Error("a peer of the old authority was taken after the rotation")
	}
}

func TestUnusableFilesLeaveTheIdentity(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	p := writeIdentity(t, a, "node-1")
	identity := load(t, p)
	address := serve(t, identity)
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
		t.Errorf("another name: got changed %v and error %v, want an error", changed, err)
	}
	if _, _, err := ask(t, issue(t, a, "node-2"), address); err != nil {
		t.Errorf("after unusable files: %v", err)
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

// BenchmarkVerifyRecord is what checking a signature of each record would
// cost; see docs/design/trust.md.
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
			b.Fatal("signature does not hold")
		}
	}
}

func TestDialerRefusesAnotherNodeThanWasMeant(t *testing.T) {
	a := newAuthority(t)
	address := serve(t, issue(t, a, "node-1"))
	for _, meant := range []string{"node-1", "node-2"} {
		dialer := kqlink.NewDialer(issue(t, a, "node-3"), kqlink.WithPeerCheck(func(_, peer string) bool { return peer == meant }))
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		_, _, err := dialer.Exchange(ctx, address, []byte("hello"))
		if got, want := errors.Is(err, kqlink.ErrUnexpectedNode), meant != "node-1"; got != want {
			t.Errorf("meant %s: refused %v, want %v (%v)", meant, got, want, err)
		}
		if err != nil && !errors.Is(err, kqlink.ErrNotSent) {
			t.Errorf("meant %s: error %v does not prove that nothing was sent", meant, err)
		}
		cancel()
		dialer.Close()
	}
}
