package kqstore_test

import (
	"net"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"kumquatlink/io/kqstore"
)

// TestOddObjectHidesTheOthers lists and watches objects of which another writer
// has left one that is nested too deeply for encoding/json.
func TestOddObjectHidesTheOthers(t *testing.T) {
	const depth = 10_001
	odd := `{"metadata":{"name":"odd","resourceVersion":"3"},"spec":` + strings.Repeat(`{"a":[`, depth) + strings.Repeat(`]}`, depth) + `}`
	const sound = `{"metadata":{"name":"n-1","resourceVersion":"2"},"spec":{"A":1}}`
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	server := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		switch {
		case c.QueryArgs().Has("watch"):
			c.SetBodyString(`{"type":"MODIFIED","object":` + odd + "}\n" + `{"type":7}` + "\n" + `{"type":"MODIFIED","object":` + sound + "}\n")
		case strings.HasSuffix(string(c.Path()), "/odd"):
			c.SetBodyString(odd)
		default:
			c.SetBodyString(`{"metadata":{"resourceVersion":"9"},"items":[` + odd + `,7,` + sound + `]}`)
		}
	}}
	go func() { _ = server.Serve(l) }()
	c := kqstore.NewHTTP(l.Addr().String())
	objects, version, err := c.List(t.Context(), "hosts")
	if err != nil || len(objects) != 2 || objects[1].Name != "n-1" || string(objects[1].Value) != `{"A":1}` || version != "9" {
		t.Errorf("list: got %d objects at version %s, %.200v, want n-1 as the second of 2, at version 9", len(objects), version, err)
	}
	enough := errors.New("change of n-1 received")
	err = c.Watch(t.Context(), "hosts", "", "1", func(o kqstore.Object) error {
		if o.Name == "n-1" && string(o.Value) == `{"A":1}` {
			return enough
		}
		return nil
	})
	if !errors.Is(err, enough) {
		t.Errorf("watch: got %.200v, want the change of n-1", err)
	}
	if o, err := c.Get(t.Context(), "hosts", "odd"); err != nil || o.Version != "3" {
		t.Errorf("odd object: got version %q, %.200v, want 3", o.Version, err)
	}
}
