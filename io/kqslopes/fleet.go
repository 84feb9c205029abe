package kqslopes

import (
	"fmt"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqspread"
	"kumquatlink/core/kqvirtual"
)

// Shape of the fleet, from the letter.
const (
	regionCount  = 5
	domainCount  = 12
	serviceCount = 510
	classCount   = 24
)

// Latencies of one way, from the brief.
const (
	nearDelay = 500 * time.Microsecond
	farDelay  = 20 * time.Millisecond
)

// Lengths of the parts of a run, in virtual time.
const (
	settlePart   = 10 * time.Second
	idlePart     = 20 * time.Second
	changePart   = 5 * time.Second
	failurePart  = 25 * time.Second
	lookStep     = 50 * time.Millisecond
	spreadLimit  = time.Minute
	changeTrials = 4
)

// itemName names the item that is spread in trials.
const itemName = "Configuration"

// counter sums up what was sent.
type counter struct {
	messages, exchanges, bytes int
}

func (c counter) minus(o counter) counter {
	return counter{messages: c.messages - o.messages, exchanges: c.exchanges - o.exchanges, bytes: c.bytes - o.bytes}
}

// trial is a fleet under measurement.
type trial struct {
	count   int
	fleet   *kqvirtual.Fleet
	sent    counter
	link    Link
	starts  int
	version uint64
	err     error
}

func recordOf(i int) kqmember.Record {
	domain := i % domainCount
	return kqmember.Record{
		NodeID: fmt.Sprintf("node-%06d", i), Incarnation: 1_790_000_000_000_000_000 + uint64(i), Version: 3,
		Address:         fmt.Sprintf("10.%d.%d.%d:7003", domain, i/250%250, i%250),
		OperatorAddress: fmt.Sprintf("10.%d.%d.%d:7004", domain, i/250%250, i%250),
		FailureDomain:   fmt.Sprintf("us-east-%d", domain), Region: fmt.Sprintf("region-%d", domain%regionCount),
		Life: kqmember.LifeServing, Service: fmt.Sprintf("service-%03d", i%serviceCount),
	}
}

func newTrial(count int, seed uint64, link Link) *trial {
	t := &trial{count: count, fleet: kqvirtual.New(seed), link: link, starts: count}
	t.fleet.Fault = func(from, to *kqvirtual.Node) kqvirtual.Delivery {
		delay := nearDelay
		if from.Record.Region != to.Record.Region {
			delay = farDelay
		}
		return kqvirtual.Delivery{Delay: delay}
	}
	t.fleet.OnSend = t.record
	return t
}

func (t *trial) record(_ *kqvirtual.Node, message kqspread.Message, answer bool) {
	data, err := cbor.Marshal(message)
	if err != nil {
		t.err = err
	}
	t.sent.messages++
	t.sent.bytes += len(data)
	if !answer {
		t.sent.exchanges++
	}
}

// prime starts all nodes with a whole view.
func (t *trial) prime() {
	members := make([]*kqmember.Member, t.count)
	for i := range members {
		members[i] = &kqmember.Member{Record: recordOf(i)}
	}
	for _, m := range members {
		t.fleet.Start(m.Record, []string{members[0].Record.Address}, kqvirtual.WithView(members))
	}
	t.fleet.Run(settlePart)
}

// spending turns what was counted over a time into a node's mean a second.
func (t *trial) spending(c counter, length time.Duration) Spending {
	nodeSeconds := float64(t.count) * length.Seconds()
	s := Spending{
		Messages: float64(c.messages) / nodeSeconds, Exchanges: float64(c.exchanges) / nodeSeconds,
		EncodedBytes: float64(c.bytes) / nodeSeconds,
	}
	s.WireBytes = 2 * (s.EncodedBytes + s.Exchanges*t.link.ExchangeBytes)
	return s
}

// measureSize measures a fleet of one size.
func measureSize(count int, seed uint64, link Link) (*Size, error) {
	size := &Size{Members: count}
	size.Memory, size.Work = measureOne(count)
	t := newTrial(count, seed, link)
	t.prime()
	size.Idle = t.measureIdle()
	size.Configuration = t.measureConfiguration(size.Idle)
	size.Replacement = t.measureReplacement(size.Idle, true)
	size.Failure = t.measureReplacement(size.Idle, false)
	size.Day = dayOf(size)
	if t.err == nil && count <= RestartLimit {
		split, heal := t.measureSplit()
		lost := t.measureLostDomain()
		size.Split, size.Heal, size.LostDomain = &split, &heal, &lost
	}
	if t.err == nil && count <= RestartLimit {
		size.Restart, t.err = measureRestart(count, seed)
	}
	return size, errors.Wrapf(t.err, "fleet of %d", count)
}

func (t *trial) measureIdle() Spending {
	before, worked := t.sent, processorTime()
	t.fleet.Run(idlePart)
	used := processorTime() - worked
	s := t.spending(t.sent.minus(before), idlePart)
	s.MachineMicros = float64(used.Microseconds()) / (float64(t.count) * idlePart.Seconds())
	s.ProcessorPercent = (s.MachineMicros + s.Exchanges*t.link.ExchangeMicros) / 1e4
	return s
}

// cost is what one change cost a node beyond its idle spending.
func (t *trial) cost(before counter, length time.Duration, idle Spending) Change {
	s := t.spending(t.sent.minus(before), length)
	return Change{
		EncodedBytes: (s.EncodedBytes - idle.EncodedBytes) * length.Seconds(),
		WireBytes:    (s.WireBytes - idle.WireBytes) * length.Seconds(),
	}
}

// configurationPayload is a configuration of the letter's size.
func configurationPayload() ([]byte, error) {
	c := kqclass.Configuration{Version: 1, ChangeID: "0123456789abcdef0123456789abcdef"}
	for i := range classCount {
		class := kqclass.Class{
			Name:   fmt.Sprintf("class-%02d", i),
			Target: kqclass.Target{Complete: 99, Within: kqclass.Duration(time.Second)},
		}
		for s := i; s < serviceCount; s += classCount {
			class.Services = append(class.Services, fmt.Sprintf("service-%03d", s))
		}
		c.Classes = append(c.Classes, class)
	}
	return cbor.Marshal(c)
}

func (t *trial) measureConfiguration(idle Spending) Change {
	payload, err := configurationPayload()
	if err != nil {
		t.err = err
	}
	before := t.sent
	var seconds []float64
	for i := range changeTrials {
		t.version++
		begun := t.fleet.Now()
		t.fleet.Nodes[recordOf(i*7%t.count).NodeID].Machine.Publish(kqspread.Item{Name: itemName, Version: t.version, Payload: payload})
		seconds = append(seconds, t.until(begun, t.allHold))
		t.fleet.Run(begun + changePart - t.fleet.Now())
	}
	c := t.cost(before, changeTrials*changePart, idle)
	c.EncodedBytes /= changeTrials
	c.WireBytes /= changeTrials
	c.PayloadBytes = len(payload)
	c.SecondsToAll = seconds
	return c
}

// until runs until the condition holds and gives the seconds since begun.
func (t *trial) until(begun time.Duration, condition func() bool) float64 {
	if !t.fleet.RunUntil(spreadLimit, lookStep, condition) && t.err == nil {
		t.err = errors.New("a change did not reach all nodes")
	}
	return (t.fleet.Now() - begun).Seconds()
}

func (t *trial) allHold() bool {
	for _, n := range t.fleet.Nodes {
		if held, _ := n.Machine.Item(itemName); held.Version != t.version {
			return false
		}
	}
	return true
}

// measureReplacement replaces nodes, each of which leaves in order or dies.
func (t *trial) measureReplacement(idle Spending, inOrder bool) Change {
	before, begun := t.sent, t.fleet.Now()
	old := recordOf(t.starts - t.count + 1)
	if inOrder {
		t.change(old.NodeID, kqmember.LifeDraining)
		t.fleet.Run(2 * time.Second)
		t.change(old.NodeID, kqmember.LifeGone)
		t.fleet.Run(time.Second)
	}
	t.fleet.Stop(old.NodeID)
	seconds := 0.0
	if !inOrder {
		seconds = t.until(t.fleet.Now(), func() bool { return t.allDoubt(old.NodeID) })
	}
	fresh := recordOf(t.starts)
	fresh.Life = kqmember.LifeJoining
	t.starts++
	n := t.fleet.Start(fresh, []string{recordOf(0).Address})
	t.fleet.RunUntil(spreadLimit, lookStep, n.Machine.Confirmed)
	t.change(fresh.NodeID, kqmember.LifeWarming)
	t.fleet.Run(2 * time.Second)
	t.change(fresh.NodeID, kqmember.LifeServing)
	known := t.until(t.fleet.Now(), func() bool { return t.allKnow(n.View.Own()) })
	if inOrder {
		seconds = known
	}
	t.fleet.Run(begun + failurePart - t.fleet.Now())
	c := t.cost(before, failurePart, idle)
	c.SecondsToAll = []float64{seconds}
	return c
}

func (t *trial) change(nodeID string, l kqmember.Life) {
	t.fleet.Nodes[nodeID].Machine.UpdateOwn(func(r *kqmember.Record) { r.Life = l })
}

// allDoubt is whether no node takes the other for alive.
func (t *trial) allDoubt(nodeID string) bool {
	for _, n := range t.fleet.Nodes {
		if held := n.View.Find(nodeID); held != nil && held.Status == kqmember.StatusAlive {
			return false
		}
	}
	return true
}

func (t *trial) allKnow(r kqmember.Record) bool {
	for _, n := range t.fleet.Nodes {
		if held := n.View.Find(r.NodeID); held == nil || held.Record.Version < r.Version {
			return false
		}
	}
	return true
}

// dayOf adds up a day.
func dayOf(s *Size) Day {
	wire := s.Configuration.WireBytes*changesPerDay + s.Replacement.WireBytes*replacementsPerDay + s.Failure.WireBytes*failuresPerDay
	wire = s.Idle.WireBytes + wire/secondsPerDay
	return Day{WireBytes: wire, ProcessorPercent: s.Idle.ProcessorPercent * wire / s.Idle.WireBytes}
}

// measureOne measures one node that takes over a whole view as CBOR.
func measureOne(count int) (Memory, Work) {
	var w Work
	changes := make([]kqspread.Change, count)
	for i := range changes {
		r := recordOf(i)
		changes[i] = kqspread.Change{Record: &r}
	}
	data, err := cbor.Marshal(kqspread.Message{Answers: 1, From: recordOf(0).NodeID, Changes: changes})
	if err != nil {
		return Memory{}, w
	}
	w.JoinBytes = len(data)
	before := heapInUse()
	f := kqvirtual.New(1)
	own := recordOf(count)
	n := f.Start(own, nil)
	worked := processorTime()
	var message kqspread.Message
	if err := cbor.Unmarshal(data, &message); err != nil {
		return Memory{}, w
	}
	n.Machine.Receive(0, recordOf(0).NodeID, message)
	n.Machine.Tick(time.Second)
	w.Merge = micros(processorTime()-worked, count)
	message = kqspread.Message{}
	used := heapInUse() - before
	w.Snapshot = repeat(func() {
		n.Machine.UpdateOwn(func(*kqmember.Record) {})
		n.View.Snapshot()
	})
	now := time.Second
	w.Tick = repeat(func() {
		now += kqspread.TickPeriod
		n.Machine.Tick(now)
	})
	runtime.KeepAlive(message)
	return Memory{BytesPerNode: used, BytesPerMember: used / uint64(count)}, w
}

// repeat gives the mean microseconds of a step.
func repeat(step func()) float64 {
	const rounds = 50
	worked := processorTime()
	for range rounds {
		step()
	}
	return micros(processorTime()-worked, rounds)
}

func micros(d time.Duration, count int) float64 {
	return float64(d.Microseconds()) / float64(count)
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
