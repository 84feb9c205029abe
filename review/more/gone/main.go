// Command gone sends several idempotent requests on each connection before the first one is
// answered, and leaves.
package main

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"kumquatlink/review/rig2"
)

const (
	callers  = 12
	requests = 3
	work     = 1500 * time.Millisecond
	// staysFor is how long a caller stays that leaves before its deadline.
	staysFor = 300 * time.Millisecond
	// leftTime is the time of the rule.
	leftTime = 500 * time.Millisecond
	// few is more than a few.
	few = 3
)

func main() {
	record := rig2.NewRecord(os.Args[1])
	f := rig2.NewFleet(record)
	n := f.Add("catalog", "zone-a", "region-a", 284)
	s := rig2.NewServer(n, "i-catalog-1")
	s.Work, s.Answer = work, func(c net.Conn, r *http.Request, run *rig2.Run) { workWhileOpen(f, s, c, run) }
	f.Store.Put("config", "main", rig2.Configuration(7, []rig2.Route{
		{Host: "shop.example", Prefix: "/voices/", Kind: "idempotent", Service: "catalog"},
	}, "catalog"))
	n.Start(true)
	f.AwaitReady(10 * time.Second)
	time.Sleep(4 * time.Second)
	left := map[string]time.Time{}
	var mutex sync.Mutex
	var calling sync.WaitGroup
	for range callers {
		calling.Go(func() {
			ids, at := call(f, n)
			mutex.Lock()
			defer mutex.Unlock()
			for _, id := range ids {
				left[id] = at
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	calling.Wait()
	time.Sleep(2 * requests * work)
	late, working, lasting := 0, 0, 0
	for _, r := range s.Runs() {
		at, sent := left[r.ID]
		if !sent {
			continue
		}
		if r.At.Sub(at) > leftTime {
			late++
			record.Printf("%s reached the server %s after its caller had left", r.ID, r.At.Sub(at).Round(time.Millisecond))
			continue
		}
		if r.At.Add(work).Sub(at) < leftTime {
			continue
		}
		lasting++
		if r.Ended.Sub(at) > leftTime {
			working++
			record.Printf("%s: the server worked on it until %s after its caller had left", r.ID, r.Ended.Sub(at).Round(time.Millisecond))
		}
	}
	f.End(late > few || 4*working > lasting, "%d requests reached the server over %s after their callers had left; it worked on %d of %d for so long", late, leftTime, working, lasting)
}

// call sends requests on one connection, and returns their IDs and when it has closed the
// connection.
func call(f *rig2.Fleet, n *rig2.Node) ([]string, time.Time) {
	c, err := net.Dial("tcp", n.Outbound())
	if err != nil {
		f.Abort("%v", err)
	}
	var ids []string
	for range requests {
		id := rig2.NewID()
		ids = append(ids, id)
		_, _ = io.WriteString(c, strings.Join([]string{
			"POST /voices/search HTTP/1.1", "Host: shop.example", rig2.Name("request") + ": " + id, rig2.Name("deadline") + ": 5000", "Content-Length: 4", "", "word",
		}, "\r\n"))
	}
	f.Record.Printf("caller sends %s", strings.Join(ids, ", "))
	if rig2.Trouble() {
		time.Sleep(staysFor)
	} else {
		_ = c.SetReadDeadline(time.Now().Add(2 * requests * work))
		buffer := make([]byte, 64<<10)
		for got := 0; got < requests; {
			n, err := c.Read(buffer)
			got += strings.Count(string(buffer[:n]), "HTTP/1.1 200")
			if err != nil {
				break
			}
		}
	}
	_ = c.Close()
	f.Record.Printf("caller of %s closes its connection", strings.Join(ids, ", "))
	return ids, time.Now()
}

// workWhileOpen works until the time is over or the connection is closed, and answers.
func workWhileOpen(f *rig2.Fleet, s *rig2.Server, c net.Conn, run *rig2.Run) {
	_ = c.SetReadDeadline(time.Now().Add(work))
	_, err := c.Read(make([]byte, 1))
	_ = c.SetReadDeadline(time.Time{})
	if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
		f.Record.Printf("server drops %s: its connection was closed", run.ID)
		_ = c.Close()
		return
	}
	_, _ = c.Write(s.Bytes(run.ID, 1000))
}
