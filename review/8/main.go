// Command 8 has all processes killed at once, as the final fault of a day, in a small
// deployment in which the servers of one service stand in one region and its callers in
// another.
package main

import (
	"net/http"
	"os"
	"sync"
	"time"

	"kumquatlink/review/rig2"
)

const (
	entries  = 3
	servers  = 3
	callers  = 6
	recovery = 15 * time.Second
	// down is how long the processes are away, and apart how long after the first ones the
	// others start: all machines start within 0.3 s of each other, in any order.
	down  = 500 * time.Millisecond
	apart = 280 * time.Millisecond
	// before and after are how long the requests are counted.
	before = 6 * time.Second
	after  = 10 * time.Second
	// leastShare is the share of requests that has to be served.
	leastShare = 0.25
)

type result struct {
	sent   time.Time
	served bool
}

func main() {
	record := rig2.NewRecord(os.Args[1])
	f := rig2.NewFleet(record)
	var near, far []*rig2.Node
	for i := range entries {
		n := f.Add("orders", []string{"east-a", "east-b"}[i%2], "east", 284)
		rig2.NewServer(n, "i-orders-"+string(rune('1'+i)))
		near = append(near, n)
	}
	for i := range servers {
		n := f.Add("catalog", []string{"west-a", "west-b"}[i%2], "west", 284)
		rig2.NewServer(n, "i-catalog-"+string(rune('1'+i)))
		far = append(far, n)
	}
	routes := []rig2.Route{{Host: "shop.example", Prefix: "/voices/", Kind: "idempotent", Service: "catalog"}}
	f.Store.Put("config", "main", rig2.Configuration(7, routes, "catalog", "orders"))
	for _, n := range f.Nodes {
		n.Start(true)
	}
	f.AwaitReady(10 * time.Second)
	time.Sleep(5 * time.Second)
	var mutex sync.Mutex
	var results []result
	var calling sync.WaitGroup
	stop := make(chan struct{})
	for i := range callers {
		calling.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
				n := near[i%len(near)]
				q := rig2.Request{Method: http.MethodGet, Host: "shop.example", Path: "/voices/list", ID: rig2.NewID(), Deadline: "5000"}
				sent := time.Now()
				status, _, _ := n.Send(q, 6*time.Second)
				record.Printf("caller at %s gets %d for %s", n.Name, status, q.ID)
				mutex.Lock()
				results = append(results, result{sent, status == http.StatusOK})
				mutex.Unlock()
			}
		})
	}
	share := func(from, to time.Time) (float64, int) {
		mutex.Lock()
		defer mutex.Unlock()
		count, served := 0, 0
		for _, r := range results {
			if r.sent.Before(from) || !r.sent.Before(to) {
				continue
			}
			count++
			if r.served {
				served++
			}
		}
		return float64(served) / float64(max(count, 1)), count
	}
	begun := time.Now()
	time.Sleep(before)
	f.Store.Put("config", "main", rig2.Configuration(12, routes, "catalog", "orders"))
	fault := time.Now()
	if rig2.Trouble() {
		for _, n := range f.Nodes {
			n.Kill()
		}
		time.Sleep(down)
		for _, n := range near {
			n.Start(false)
		}
		time.Sleep(apart)
		for _, n := range far {
			n.Start(false)
		}
	}
	back := time.Now()
	time.Sleep(recovery + after)
	close(stop)
	calling.Wait()
	was, wasCount := share(begun, fault)
	is, isCount := share(back.Add(recovery), back.Add(recovery+after))
	f.End(was >= leastShare && is < leastShare, "%.2f of %d requests served before the fault, %.2f of %d later than %s after the machines were back", was, wasCount, is, isCount, recovery)
}
