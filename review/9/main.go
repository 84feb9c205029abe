// Command 9 has a request of one tenant crash each server that runs it, while another
// tenant sends requests for the same path.
package main

import (
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"kumquatlink/review/rig2"
)

const (
	upstreams = 5
	// contact is the bound of the settings, and mayReach how many retries may reach
	// servers later than that after the third crash.
	contact   = 4 * time.Second
	mayReach  = 3
	down      = 2 * time.Second
	lasts     = 45 * time.Second
	path      = "/maps/zagreb"
	deadlyAt  = 2 * time.Second
	usualAt   = 40 * time.Millisecond
	deadlyKey = "key-of-osijek"
	usualKey  = "key-of-split"
)

func main() {
	record := rig2.NewRecord(os.Args[1])
	f := rig2.NewFleet(record)
	f.Bounds["contact"] = "4000ms"
	entry := f.Add("tracker", "zone-a", "region-a", 284)
	rig2.NewServer(entry, "i-tracker-1")
	var servers []*rig2.Server
	var crashes atomic.Int64
	for i := range upstreams {
		n := f.Add("mapper", []string{"zone-a", "zone-b"}[i%2], "region-a", 284)
		s := rig2.NewServer(n, "i-mapper-"+string(rune('1'+i)))
		s.Answer = func(c net.Conn, r *http.Request, run *rig2.Run) {
			if run.Team == "osijek" && rig2.Trouble() {
				time.Sleep(5 * time.Millisecond)
				crashes.Add(1)
				s.Crash(down)
				return
			}
			time.Sleep(20 * time.Millisecond)
			_, _ = c.Write(s.Bytes(run.ID, 2000))
		}
		servers = append(servers, s)
	}
	f.Store.Put("config", "main", rig2.WithTeams(rig2.Configuration(7, []rig2.Route{
		{Host: "maps.example", Prefix: "/maps/", Kind: "download", Service: "mapper", Timeout: "3000ms"},
	}, "mapper", "tracker"), rig2.Team{Name: "osijek", Key: deadlyKey}, rig2.Team{Name: "split", Key: usualKey}))
	for _, n := range f.Nodes {
		n.Start(true)
	}
	f.AwaitReady(10 * time.Second)
	time.Sleep(5 * time.Second)
	var calling sync.WaitGroup
	started := time.Now()
	send := func(key string, every time.Duration) {
		for time.Since(started) < lasts {
			id := rig2.NewID()
			calling.Go(func() {
				status, _, _ := entry.Send(rig2.Request{Method: http.MethodGet, Host: "maps.example", Path: path, Key: key, ID: id, Deadline: "3000"}, 3500*time.Millisecond)
				record.Printf("caller with %s gets %d for %s", key, status, id)
			})
			time.Sleep(every)
		}
	}
	// With ALONE=1 the other tenant is silent.
	if os.Getenv("ALONE") == "" {
		calling.Go(func() { send(usualKey, usualAt) })
	}
	calling.Go(func() { send(deadlyKey, deadlyAt) })
	calling.Wait()
	var deadly []rig2.Run
	for _, s := range servers {
		for _, r := range s.Runs() {
			if r.Team == "osijek" {
				deadly = append(deadly, r)
			}
		}
	}
	reached := 0
	if third, found := thirdCrash(deadly); found && rig2.Trouble() {
		for _, r := range deadly {
			if r.At.Sub(third) > contact {
				reached++
			}
		}
	}
	f.End(reached > mayReach, "the request reached servers %d times later than %s after its third crash; %d crashes", reached, contact, crashes.Load())
}

// thirdCrash returns when the request had crashed the third server.
func thirdCrash(runs []rig2.Run) (time.Time, bool) {
	var times []time.Time
	for _, r := range runs {
		times = append(times, r.Ended)
	}
	if len(times) < 3 {
		return time.Time{}, false
	}
	for i := range times {
		for j := i + 1; j < len(times); j++ {
			if times[j].Before(times[i]) {
				times[i], times[j] = times[j], times[i]
			}
		}
	}
	return times[2], true
}
