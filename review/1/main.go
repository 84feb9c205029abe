// Case 1: bytes of a faulty server that are no answer reach a client as a success.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"kumquatlink/review/rig"
)

const (
	clients  = 10
	requests = 60
	// One of the two servers spoils one of spoiledOf answers.
	spoiledOf = 40
	deadline  = 5 * time.Second
	junk      = "\x01\x02 not an answer"
)

func main() { rig.Run(play) }

func play(f *rig.Fleet) (int, string, error) {
	front, err := f.AddMachine("a", "front")
	if err != nil {
		return 0, "", err
	}
	first, err := f.AddMachine("a", "orders")
	if err != nil {
		return 0, "", err
	}
	second, err := f.AddMachine("a", "orders")
	if err != nil {
		return 0, "", err
	}
	if err := f.Configure(
		rig.Route{Host: "shop.example", Prefix: "/order/", Kind: rig.NonIdempotent, Service: "orders", Timeout: deadline, Attempts: 2},
		rig.Route{Host: "shop.example", Prefix: "/list/", Kind: rig.Idempotent, Service: "orders", Timeout: deadline, Attempts: 2},
	); err != nil {
		return 0, "", err
	}
	var answered, spoiled atomic.Int64
	sound := func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("answer to " + r.Header.Get(rig.Wire().RequestID)))
	}
	faulty := func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(rig.Wire().RequestID)
		if !rig.Trouble() || answered.Add(1)%spoiledOf != 0 {
			sound(w, r)
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		text := fmt.Sprintf("HTTP/1.1 000 \r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", rig.Wire().RequestID, id, len(junk), junk)
		_, _ = c.Write([]byte(text))
		spoiled.Add(1)
		f.Record.Printf("server spoils its answer to %s %s, request %s: %q", r.Method, r.URL.Path, id, text)
	}
	for _, s := range []struct {
		machine *rig.Machine
		id      string
		run     http.HandlerFunc
	}{{front, "i-front", sound}, {first, "i-orders-1", sound}, {second, "i-orders-2", faulty}} {
		if _, err := f.NewServer(s.machine, s.id, 36, s.run); err != nil {
			return 0, "", err
		}
		if err := f.Start(s.machine, true); err != nil {
			return 0, "", err
		}
	}
	if err := f.AwaitReady(); err != nil {
		return 0, "", err
	}
	time.Sleep(5 * time.Second)

	var successes, mixed atomic.Int64
	statuses := map[int]int{}
	var mutex sync.Mutex
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			c, err := rig.Dial(front.Outbound)
			if err != nil {
				return
			}
			defer c.Close()
			for i := range requests {
				r := rig.Request{ID: rig.NewID(), Method: http.MethodGet, Host: "shop.example", Path: "/list/all", Deadline: deadline}
				if i%3 == 0 {
					r.Method, r.Path, r.Body = http.MethodPost, "/order/new", []byte("one voice")
				}
				var a rig.Answer
				err := c.Send(r)
				if err == nil {
					a, err = c.Read(r.Method)
				}
				if err != nil {
					f.Record.Printf("client of %s %s, request %s: %v", r.Method, r.Path, r.ID, err)
					return
				}
				mutex.Lock()
				statuses[a.Status]++
				mutex.Unlock()
				if a.Status/100 != 2 {
					f.Record.Printf("client of %s %s, request %s: status %d", r.Method, r.Path, r.ID, a.Status)
				} else if successes.Add(1); a.Stamp == "" || string(a.Body) != "answer to "+r.ID {
					mixed.Add(1)
					f.Record.Printf("client of %s %s, request %s: status %d, no success of the server: stamp %q, body %q", r.Method, r.Path, r.ID, a.Status, a.Stamp, a.Body)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	all.Wait()
	verdict := fmt.Sprintf("%d successes, %d of them without the server's stamp and body; %d spoiled answers; statuses %v", successes.Load(), mixed.Load(), spoiled.Load(), statuses)
	if mixed.Load() > 0 {
		return rig.Broken, "MIXED is broken: " + verdict, nil
	}
	if spoiled.Load() == 0 && rig.Trouble() {
		return rig.NotRun, "no answer was spoiled: " + verdict, nil
	}
	return rig.Held, "MIXED held: " + verdict, nil
}
