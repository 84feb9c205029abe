package kqsoak

import (
	"math/rand/v2"
	"testing"
)

// TestTwoSoaksChooseTheSameAddress has two allocators try the same addresses. The later
// one must choose others, although nobody listens yet at those of the first, until that
// one is closed.
func TestTwoSoaksChooseTheSameAddress(t *testing.T) {
	const addresses = 20
	newAllocator := func() *addressAllocator {
		a := newAddressAllocator()
		a.random = rand.New(rand.NewPCG(1, 2))
		return a
	}
	allocate := func(a *addressAllocator) map[string]bool {
		t.Helper()
		chosen := map[string]bool{}
		for range addresses {
			address, err := a.allocate()
			if err != nil {
				t.Fatal(err)
			}
			chosen[address] = true
		}
		return chosen
	}
	first, second := newAllocator(), newAllocator()
	t.Cleanup(second.close)
	chosen := allocate(first)
	if len(chosen) != addresses {
		t.Errorf("addresses of one soak: got %d different ones, want %d", len(chosen), addresses)
	}
	for address := range allocate(second) {
		if chosen[address] {
			t.Errorf("address of another soak: got %s, which the first one has too, want another one", address)
		}
	}
	first.close()
	third := newAllocator()
	t.Cleanup(third.close)
	shared := 0
	for address := range allocate(third) {
		if chosen[address] {
			shared++
		}
	}
	if shared == 0 {
		t.Error("addresses of a soak that is over: got none used again, want some")
	}
}
