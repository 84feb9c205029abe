// Case 3: a node that was killed while the store was away forgets that the server
// beside it has left, and sends it work again.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"kumquatlink/review/rig"
)

// Figures of the settings and of the site.
const (
	drain   = 2500 * time.Millisecond
	contact = 3 * time.Second
	// away is how long the store answers nobody, and down how long a killed node is
	// away.
	away = 4500 * time.Millisecond
	down = 500 * time.Millisecond
	// late is how long after it was sent the last heartbeat arrives.
	late = 3500 * time.Millisecond
	// stays is how long the server serves after its leaving was acknowledged.
	stays    = 14 * time.Second
	deadline = 4 * time.Second
)

func main() { rig.Run(play) }

// ledger holds the times of what matters for the rule.
type ledger struct {
	mutex          sync.Mutex
	acknowledgedAt time.Time
	inTouchFrom    time.Time
	sentAt         map[string]time.Time
	late           int
	lateInTouch    int
}

func (l *ledger) send(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sentAt[id] = time.Now()
}

// arrive counts a request at the server that leaves, and reports whether that is
// later than allowed.
func (l *ledger) arrive(id string) (sinceAck time.Duration, tooLate bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.acknowledgedAt.IsZero() {
		return 0, false
	}
	since := time.Since(l.acknowledgedAt)
	if since <= drain {
		return since, false
	}
	l.late++
	if !l.inTouchFrom.IsZero() && l.sentAt[id].After(l.inTouchFrom) {
		l.lateInTouch++
	}
	return since, true
}

func play(f *rig.Fleet) (int, string, error) {
	var machines []*rig.Machine
	for _, service := range []string{"front", "orders", "orders", "orders"} {
		m, err := f.AddMachine("a", service)
		if err != nil {
			return 0, "", err
		}
		machines = append(machines, m)
	}
	front, gate := machines[0], machines[1]
	if err := f.Configure(rig.Route{Host: "shop.example", Prefix: "/list/", Kind: rig.Idempotent, Service: "orders", Timeout: deadline, Attempts: 2}); err != nil {
		return 0, "", err
	}
	l := &ledger{sentAt: map[string]time.Time{}}
	var leaver *rig.Server
	for i, m := range machines {
		s, err := f.NewServer(m, fmt.Sprintf("i-%s-%d", m.Service, i), 36, func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(rig.Wire().RequestID)
			if m == gate {
				if since, tooLate := l.arrive(id); tooLate {
					f.Record.Printf("server of %s gets request %s, %.2f s after the acknowledgement of its leaving", m.ID, id, since.Seconds())
				}
			}
			time.Sleep(20 * time.Millisecond)
			_, _ = w.Write([]byte("the list"))
		})
		if err != nil {
			return 0, "", err
		}
		if m == gate {
			leaver = s
		}
		if err := f.Start(m, true); err != nil {
			return 0, "", err
		}
	}
	if err := f.AwaitReady(); err != nil {
		return 0, "", err
	}
	time.Sleep(5 * time.Second)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mutex sync.Mutex
	statuses := map[int]int{}
	for range 8 {
		clients.Go(func() { ask(f, front, l, stop, &mutex, statuses) })
	}
	time.Sleep(2 * time.Second)

	back := func() {}
	if rig.Trouble() {
		f.Record.Printf("the store answers nobody")
		back = f.Store.Silence()
	}
	stoppedAt := time.Now()
	heartbeat, madeAt := leaver.Heartbeat("ready"), time.Now()
	f.Record.Printf("server of %s sends a heartbeat that arrives late", gate.ID)
	time.Sleep(500 * time.Millisecond)
	status := leaver.Leave()
	f.Record.Printf("server of %s has told that it leaves: status %d", gate.ID, status)
	if status/100 != 2 {
		return 0, "", fmt.Errorf("leaving was not acknowledged: status %d", status)
	}
	l.mutex.Lock()
	l.acknowledgedAt = time.Now()
	l.mutex.Unlock()
	if rig.Trouble() {
		time.Sleep(200 * time.Millisecond)
		f.Signal(gate, syscall.SIGKILL)
		<-gate.Ended()
		time.Sleep(down)
		if err := f.Start(gate, false); err != nil {
			return 0, "", err
		}
	}
	time.Sleep(time.Until(madeAt.Add(late)))
	f.Record.Printf("the late heartbeat of the server of %s arrives: status %d", gate.ID, heartbeat())
	time.Sleep(time.Until(stoppedAt.Add(away)))
	if rig.Trouble() {
		f.Record.Printf("the store answers again")
		back()
	}
	l.mutex.Lock()
	l.inTouchFrom = time.Now().Add(contact)
	l.mutex.Unlock()
	time.Sleep(time.Until(l.acknowledgedAt.Add(stays)))
	f.Record.Printf("server of %s ends", gate.ID)
	leaver.End()
	close(stop)
	clients.Wait()
	verdict := fmt.Sprintf("%d requests reached the server later than %.1f s after the acknowledgement, %d of them sent when all machines were in touch; statuses %v", l.late, drain.Seconds(), l.lateInTouch, statuses)
	if l.lateInTouch > 0 {
		return rig.Broken, "DRAIN is broken: " + verdict, nil
	}
	return rig.Held, "DRAIN held: " + verdict, nil
}

// ask sends requests one after the other on a kept connection until stop is closed.
func ask(f *rig.Fleet, m *rig.Machine, l *ledger, stop <-chan struct{}, mutex *sync.Mutex, statuses map[int]int) {
	c, err := rig.Dial(m.Outbound)
	if err != nil {
		return
	}
	defer c.Close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		r := rig.Request{ID: rig.NewID(), Method: http.MethodGet, Host: "shop.example", Path: "/list/all", Deadline: deadline}
		l.send(r.ID)
		err := c.Send(r)
		var a rig.Answer
		if err == nil {
			a, err = c.Read(r.Method)
		}
		if err != nil {
			f.Record.Printf("client of request %s: %v", r.ID, err)
			return
		}
		mutex.Lock()
		statuses[a.Status]++
		mutex.Unlock()
	}
}
