package kqnode_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"kumquatlink/core/kqhome"
	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqstore"
)

// storedTable returns the table of key homes in the store, or an empty one.
func (f *keyFleet) storedTable(t *testing.T) kqhome.Table {
	t.Helper()
	var table kqhome.Table
	o, err := f.Client.Get(t.Context(), kqstore.KindLedger, "orders")
	if err != nil {
		return table
	}
	if err := json.Unmarshal(o.Value, &table); err != nil {
		t.Fatal(err)
	}
	return table
}

// TestMemberOfKeyHomesIsNotRegisteredAgainAfterARestore restores the store from a
// copy that was taken before two of the members registered.
func TestMemberOfKeyHomesIsNotRegisteredAgainAfterARestore(t *testing.T) {
	ctx := testContext(t)
	f := startKeyFleet(ctx, t, 2, kqbackend.Settings{})
	backup := f.Store.Backup()
	f.addOrders(t, 2)
	f.awaitKeyHomes(ctx, t, 4)
	keys := make([]string, faultTestKeys)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-%d", i)
		call(t, f.entries[0].Node.CallerAddress(), purchase(keys[i], ""))
	}
	f.Store.Restore(backup)
	eventually(ctx, t, "all members are in the stored table", func() bool { return len(f.storedTable(t).Members) == 4 })
	f.awaitKeyHomes(ctx, t, 4)
	for _, key := range keys {
		call(t, f.entries[1].Node.CallerAddress(), purchase(key, ""))
	}
	f.checkRunCounts(t)
}

// TestKeysRunAgainWhenTheirTableIsLost restores the store from a copy that was
// taken before the table was created, and lets a node join that has to register.
func TestKeysRunAgainWhenTheirTableIsLost(t *testing.T) {
	ctx := testContext(t)
	f := startKeyFleet(ctx, t, 0, kqbackend.Settings{})
	backup := f.Store.Backup()
	f.addOrders(t, 3)
	f.awaitKeyHomes(ctx, t, 3)
	for i := range faultTestKeys {
		call(t, f.entries[0].Node.CallerAddress(), purchase(fmt.Sprintf("key-%d", i), ""))
	}
	f.Store.Restore(backup)
	f.addOrders(t, 1)
	late := f.orders[len(f.orders)-1].Node
	i := 0
	eventually(ctx, t, "all members are in the stored table", func() bool {
		for _, address := range []string{late.CallerAddress(), f.entries[1].Node.CallerAddress()} {
			call(t, address, purchase(fmt.Sprintf("key-%d", i%faultTestKeys), ""))
		}
		i++
		return len(f.storedTable(t).Members) == 4
	})
	f.awaitKeyHomes(ctx, t, 4)
	for i := range faultTestKeys {
		call(t, f.entries[1].Node.CallerAddress(), purchase(fmt.Sprintf("key-%d", i), ""))
	}
	f.checkRunCounts(t)
}
