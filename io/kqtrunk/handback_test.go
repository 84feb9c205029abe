package kqtrunk

import (
	"reflect"
	"testing"
)

// received returns the head as a peer of the version decodes it.
func received(h CallHead, version uint64) CallHead {
	h = h.forVersion(version)
	// These fields are not on the wire themselves.
	h.Order, h.HandBack = 0, false
	return h.decoded()
}

// TestHandBackIsForNewerPeers sends heads to peers of two versions.
func TestHandBackIsForNewerPeers(t *testing.T) {
	for _, head := range []CallHead{
		{HandBack: true, Headers: []Header{{Name: "A", Value: "1"}}},
		{HandBack: true, Order: 46_655, Headers: []Header{}},
		{Order: 46_655, Headers: []Header{}},
	} {
		if got := received(head, versionHandBack); !reflect.DeepEqual(got, head) {
			t.Errorf("version %d: got %+v, want %+v", versionHandBack, got, head)
		}
		want := head
		want.HandBack = false
		if got := received(head, versionOrder); !reflect.DeepEqual(got, want) {
			t.Errorf("version %d: got %+v, want %+v", versionOrder, got, want)
		}
	}
}
