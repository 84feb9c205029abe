package kqmesh

import (
	"testing"

	"github.com/cockroachdb/errors"

	"kumquatlink/io/kqstore"
)

// TestOddRecordIsUsed decodes records that another writer may have left.
func TestOddRecordIsUsed(t *testing.T) {
	for _, text := range []string{
		`{"NodeID":"n-1","Address":""}`,
		`{"NodeID":"n-1","Address":"10.0.0.1"}`,
		`{"NodeID":"n-1","Address":"10.0.0.1:0x1"}`,
		`{"NodeID":"n-1","Address":"10.0.0.1:65536"}`,
		`{"NodeID":"n-1","Address":"10.0.0.1:-1"}`,
		`{"NodeID":"n-2","Address":"10.0.0.1:80"}`,
		`{"NodeID":"n-1","Address":"10.0.0.1:80","Incarnation":1e999}`,
		`{"NodeID":"n-1","Address":"10.0.0.1:80","Slots":"many"}`,
		`[]`, `null`, ``,
	} {
		if _, err := decodeHost(kqstore.Object{Name: "n-1", Value: []byte(text)}); !errors.Is(err, ErrNode) {
			t.Errorf("record %s: got %v, want ErrNode", text, err)
		}
	}
	got, err := decodeHost(kqstore.Object{Name: "n-1", Value: []byte(`{"NodeID":"n-1","Address":"10.0.0.1:80"}`)})
	if err != nil || got.Address != "10.0.0.1:80" {
		t.Errorf("record with an address: got %+v, %v, want it decoded", got, err)
	}
}
