// Command 10 has the operator move a route, and add one that is less important than all
// others.
package main

import (
	"net/http"
	"os"
	"time"

	"kumquatlink/review/rig2"
)

const (
	// apply is the bound of the settings, and slack what is left to the requests under way.
	apply = 2500 * time.Millisecond
	slack = 500 * time.Millisecond
	// usual and least are the priorities of the new route.
	usual = 200
	least = 300
	// lasts is how long requests are sent after the change.
	lasts = 15 * time.Second
	every = 100 * time.Millisecond
)

func main() {
	record := rig2.NewRecord(os.Args[1])
	f := rig2.NewFleet(record)
	entry := f.Add("orders", "zone-a", "region-a", 284)
	rig2.NewServer(entry, "i-orders-1")
	former := rig2.NewServer(f.Add("catalog", "zone-a", "region-a", 284), "i-catalog-1")
	later := rig2.NewServer(f.Add("packs", "zone-b", "region-a", 284), "i-packs-1")
	services := []string{"orders", "catalog", "packs"}
	shop := rig2.Route{Host: "shop.example", Prefix: "/voices/", Kind: "idempotent", Service: "catalog", Priority: 2}
	f.Store.Put("config", "main", rig2.Configuration(7, []rig2.Route{shop}, services...))
	for _, n := range f.Nodes {
		n.Start(true)
	}
	f.AwaitReady(10 * time.Second)
	time.Sleep(4 * time.Second)
	shop.Service = "packs"
	archive := rig2.Route{Host: "archive.example", Prefix: "/old/", Kind: "idempotent", Service: "catalog", Priority: usual}
	if rig2.Trouble() {
		archive.Priority = least
	}
	f.Store.Put("config", "main", rig2.Configuration(12, []rig2.Route{shop, archive}, services...))
	changed := time.Now()
	record.Printf("the store takes version 12: /voices/ goes to packs, /old/ is added with priority %d", archive.Priority)
	sent := map[string]bool{}
	count, refused := 0, 0
	for time.Since(changed) < lasts {
		isLate := time.Since(changed) > apply+slack
		voices := rig2.Request{Method: http.MethodGet, Host: "shop.example", Path: "/voices/list", ID: rig2.NewID(), Deadline: "3000"}
		old := rig2.Request{Method: http.MethodGet, Host: "archive.example", Path: "/old/list", ID: rig2.NewID(), Deadline: "3000"}
		status, _, _ := entry.Send(voices, 4*time.Second)
		oldStatus, _, _ := entry.Send(old, 4*time.Second)
		record.Printf("caller gets %d for %s on /voices/ and %d for %s on /old/", status, voices.ID, oldStatus, old.ID)
		if isLate {
			count++
			sent[voices.ID] = true
			if oldStatus == http.StatusNotFound {
				refused++
			}
		}
		time.Sleep(every)
	}
	byFormer, byLater := 0, 0
	for _, r := range former.Runs() {
		if sent[r.ID] {
			byFormer++
		}
	}
	for _, r := range later.Runs() {
		if sent[r.ID] {
			byLater++
		}
	}
	f.End(byFormer > 0 || refused > 0, "of %d requests sent later than %s after the change, %d were run by the former service and %d by the new one; %d on the new route got 404", count, apply+slack, byFormer, byLater, refused)
}
