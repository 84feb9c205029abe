// Command 7 has a server leave while the store is away, and all nodes killed after that.
package main

import (
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"kumquatlink/review/rig2"
)

const (
	nodes = 5
	// drain and contact are bounds of the settings.
	drain   = 2500 * time.Millisecond
	contact = 3 * time.Second
	// away is how long the store is silent. The server leaves, and all processes are
	// killed and started again, within that time.
	away     = 4500 * time.Millisecond
	leavesAt = 600 * time.Millisecond
	killedAt = 1300 * time.Millisecond
	downFor  = 500 * time.Millisecond
	// lateBy is how late the last heartbeat of the server arrives.
	lateBy = 3500 * time.Millisecond
	// serves is how long the server goes on after its leaving was acknowledged.
	serves = 14 * time.Second
)

func main() {
	record := rig2.NewRecord(os.Args[1])
	f := rig2.NewFleet(record)
	var isAway atomic.Bool
	f.Decide = func(*rig2.Node, *http.Request) rig2.Verdict {
		if isAway.Load() {
			return rig2.Silent
		}
		return rig2.Serve
	}
	var servers []*rig2.Server
	for i := range nodes {
		n := f.Add([]string{"orders", "orders", "catalog", "catalog", "orders"}[i], []string{"zone-a", "zone-b"}[i%2], "region-a", 284)
		servers = append(servers, rig2.NewServer(n, "i-"+n.Service+"-"+string(rune('1'+i))))
	}
	leaver := servers[2]
	f.Store.Put("config", "main", rig2.Configuration(7, []rig2.Route{
		{Host: "shop.example", Prefix: "/voices/", Kind: "non_idempotent", Service: "catalog", Timeout: "3000ms"},
	}, "catalog", "orders"))
	for _, n := range f.Nodes {
		n.Start(true)
	}
	f.AwaitReady(10 * time.Second)
	time.Sleep(5 * time.Second)

	type request struct {
		id   string
		at   time.Time
		node int
	}
	var mutex sync.Mutex
	var sent []request
	stop := make(chan struct{})
	var calling sync.WaitGroup
	for i := range 10 {
		calling.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				r := request{rig2.NewID(), time.Now(), i % nodes}
				mutex.Lock()
				sent = append(sent, r)
				mutex.Unlock()
				status, _, _ := f.Nodes[r.node].Send(rig2.Request{Method: http.MethodPost, Host: "shop.example", Path: "/voices/order", ID: r.id, Deadline: "3000", Body: "one"}, 4*time.Second)
				record.Printf("caller at %s gets %d for %s", f.Nodes[r.node].Name, status, r.id)
			}
		})
	}
	time.Sleep(2 * time.Second)
	begun := time.Now()
	until := func(at time.Duration) { time.Sleep(time.Until(begun.Add(at))) }
	if rig2.Trouble() {
		isAway.Store(true)
		record.Printf("the store is silent")
	}
	until(leavesAt - 100*time.Millisecond)
	late := leaver.MakeBeat()
	leaver.Mute()
	leaver.SetHealth(false)
	until(leavesAt)
	status := 0
	for status != http.StatusOK && time.Since(begun) < killedAt {
		status = leaver.Leave()
	}
	acknowledged := time.Now()
	record.Printf("server %s says that it leaves: answer %d", leaver.ID, status)
	if status != http.StatusOK {
		f.Abort("the leaving was not acknowledged")
	}
	if rig2.Trouble() {
		until(killedAt)
		for _, n := range f.Nodes {
			n.Kill()
		}
		until(killedAt + downFor)
		for _, n := range f.Nodes {
			n.Start(false)
		}
	}
	until(leavesAt - 100*time.Millisecond + lateBy)
	record.Printf("a heartbeat that was made before arrives: answer %d", late())
	until(away)
	isAway.Store(false)
	back := time.Now()
	record.Printf("the store is back")
	time.Sleep(time.Until(acknowledged.Add(serves)))
	leaver.Stop()
	record.Printf("server %s ends", leaver.ID)
	time.Sleep(time.Second)
	close(stop)
	calling.Wait()
	times := map[string]time.Time{}
	for _, r := range sent {
		times[r.id] = r.at
	}
	reached := 0
	for _, r := range leaver.Runs() {
		// All machines are in touch.
		if at := times[r.ID]; at.Sub(back) > contact && at.Sub(acknowledged) > drain {
			reached++
		}
	}
	f.End(reached > 0, "%d requests, sent later than %s after the store's return, reached the server later than %s after its leaving was acknowledged", reached, contact, drain)
}
