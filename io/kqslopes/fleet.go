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

// Size of the simulated fleet, as the requirements state it.
const (
	regionCount  = 5
	domainCount  = 12
	serviceCount = 510
	classCount   = 24
)

// One-way network delays, as the requirements state them.
const (
	sameRegionDelay  = 500 * time.Microsecond
	otherRegionDelay = 20 * time.Millisecond
)

// Durations of the phases of a run, in virtual time, and the number of trials.
const (
	settleTime       = 10 * time.Second
	idleTime         = 20 * time.Second
	changeTime       = 5 * time.Second
	replacementTime  = 25 * time.Second
	pollStep         = 50 * time.Millisecond
	propagationLimit = time.Minute
	changeTrials     = 4
)

// itemName is the name of the gossiped item that the trials change.
const itemName = "Configuration"

// counter counts what the nodes of a fleet sent.
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
	started int
	version uint64
	err     error
}

// recordOf returns the member record of the node with an index.
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
	t := &trial{count: count, fleet: kqvirtual.New(seed), link: link, started: count}
	t.fleet.Fault = func(from, to *kqvirtual.Node) kqvirtual.Delivery {
		delay := sameRegionDelay
		if from.Record.Region != to.Record.Region {
			delay = otherRegionDelay
		}
		return kqvirtual.Delivery{Delay: delay}
	}
	t.fleet.OnSend = t.record
	return t
}

// record counts one message that a node sends.
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

// startAll starts all nodes with a complete view.
func (t *trial) startAll() {
	members := make([]*kqmember.Member, t.count)
	for i := range members {
		members[i] = &kqmember.Member{Record: recordOf(i)}
	}
	for _, m := range members {
		t.fleet.Start(m.Record, []string{members[0].Record.Address}, kqvirtual.WithView(members))
	}
	t.fleet.Run(settleTime)
}

// spending converts the counts of a period into the mean per node and second.
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
	size.Memory, size.Work = measureNode(count)
	t := newTrial(count, seed, link)
	t.startAll()
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
	before, usedBefore := t.sent, processorTime()
	t.fleet.Run(idleTime)
	used := processorTime() - usedBefore
	s := t.spending(t.sent.minus(before), idleTime)
	s.MachineMicros = float64(used.Microseconds()) / (float64(t.count) * idleTime.Seconds())
	s.ProcessorPercent = (s.MachineMicros + s.Exchanges*t.link.ExchangeMicros) / 1e4
	return s
}

// extraCost returns the cost of a period per node, beyond idle spending.
func (t *trial) extraCost(before counter, length time.Duration, idle Spending) Change {
	s := t.spending(t.sent.minus(before), length)
	return Change{
		EncodedBytes: (s.EncodedBytes - idle.EncodedBytes) * length.Seconds(),
		WireBytes:    (s.WireBytes - idle.WireBytes) * length.Seconds(),
	}
}

// configurationPayload returns an encoded configuration of the size that the
// requirements state.
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
		start := t.fleet.Now()
		t.fleet.Nodes[recordOf(i*7%t.count).NodeID].Machine.Publish(kqspread.Item{Name: itemName, Version: t.version, Payload: payload})
		seconds = append(seconds, t.secondsUntil(start, t.allHaveItem))
		t.fleet.Run(start + changeTime - t.fleet.Now())
	}
	c := t.extraCost(before, changeTrials*changeTime, idle)
	c.EncodedBytes /= changeTrials
	c.WireBytes /= changeTrials
	c.PayloadBytes = len(payload)
	c.SecondsToAll = seconds
	return c
}

// secondsUntil runs the fleet until the condition holds and returns the seconds
// since start.
func (t *trial) secondsUntil(start time.Duration, condition func() bool) float64 {
	if !t.fleet.RunUntil(propagationLimit, pollStep, condition) && t.err == nil {
		t.err = errors.New("a change did not reach all nodes")
	}
	return (t.fleet.Now() - start).Seconds()
}

// allHaveItem reports whether all nodes have the newest version of the item.
func (t *trial) allHaveItem() bool {
	for _, n := range t.fleet.Nodes {
		if item, _ := n.Machine.Item(itemName); item.Version != t.version {
			return false
		}
	}
	return true
}

// measureReplacement replaces a node, which drains and leaves if graceful and
// fails otherwise.
func (t *trial) measureReplacement(idle Spending, graceful bool) Change {
	before, start := t.sent, t.fleet.Now()
	old := recordOf(t.started - t.count + 1)
	if graceful {
		t.setLife(old.NodeID, kqmember.LifeDraining)
		t.fleet.Run(2 * time.Second)
		t.setLife(old.NodeID, kqmember.LifeGone)
		t.fleet.Run(time.Second)
	}
	t.fleet.Stop(old.NodeID)
	seconds := 0.0
	if !graceful {
		seconds = t.secondsUntil(t.fleet.Now(), func() bool { return t.noneAlive(old.NodeID) })
	}
	replacement := recordOf(t.started)
	replacement.Life = kqmember.LifeJoining
	t.started++
	n := t.fleet.Start(replacement, []string{recordOf(0).Address})
	t.fleet.RunUntil(propagationLimit, pollStep, n.Machine.Confirmed)
	t.setLife(replacement.NodeID, kqmember.LifeWarming)
	t.fleet.Run(2 * time.Second)
	t.setLife(replacement.NodeID, kqmember.LifeServing)
	known := t.secondsUntil(t.fleet.Now(), func() bool { return t.allHaveRecord(n.View.Own()) })
	if graceful {
		seconds = known
	}
	t.fleet.Run(start + replacementTime - t.fleet.Now())
	c := t.extraCost(before, replacementTime, idle)
	c.SecondsToAll = []float64{seconds}
	return c
}

// setLife changes the lifecycle state that a node publishes.
func (t *trial) setLife(nodeID string, l kqmember.Life) {
	t.fleet.Nodes[nodeID].Machine.UpdateOwn(func(r *kqmember.Record) { r.Life = l })
}

// noneAlive reports whether no node considers the given one alive.
func (t *trial) noneAlive(nodeID string) bool {
	for _, n := range t.fleet.Nodes {
		if member := n.View.Find(nodeID); member != nil && member.Status == kqmember.StatusAlive {
			return false
		}
	}
	return true
}

// allHaveRecord reports whether all nodes have the record or a newer version.
func (t *trial) allHaveRecord(r kqmember.Record) bool {
	for _, n := range t.fleet.Nodes {
		if member := n.View.Find(r.NodeID); member == nil || member.Record.Version < r.Version {
			return false
		}
	}
	return true
}

// dayOf adds the cost of all changes of a day to the idle spending. It scales
// processor time with wire bytes.
func dayOf(s *Size) Day {
	wire := s.Configuration.WireBytes*changesPerDay + s.Replacement.WireBytes*replacementsPerDay + s.Failure.WireBytes*failuresPerDay
	wire = s.Idle.WireBytes + wire/secondsPerDay
	return Day{WireBytes: wire, ProcessorPercent: s.Idle.ProcessorPercent * wire / s.Idle.WireBytes}
}

// measureNode measures one node that receives a whole view as CBOR, as a joining
// node does.
func measureNode(count int) (Memory, Work) {
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
	usedBefore := processorTime()
	var message kqspread.Message
	if err := cbor.Unmarshal(data, &message); err != nil {
		return Memory{}, w
	}
	n.Machine.Receive(0, recordOf(0).NodeID, message)
	n.Machine.Tick(time.Second)
	w.Merge = micros(processorTime()-usedBefore, count)
	message = kqspread.Message{}
	used := heapInUse() - before
	w.Snapshot = meanMicros(func() {
		n.Machine.UpdateOwn(func(*kqmember.Record) {})
		n.View.Snapshot()
	})
	now := time.Second
	w.Tick = meanMicros(func() {
		now += kqspread.TickPeriod
		n.Machine.Tick(now)
	})
	runtime.KeepAlive(message)
	return Memory{BytesPerNode: used, BytesPerMember: used / uint64(count)}, w
}

// meanMicros returns the mean processor time of a step in microseconds.
func meanMicros(step func()) float64 {
	const rounds = 50
	usedBefore := processorTime()
	for range rounds {
		step()
	}
	return micros(processorTime()-usedBefore, rounds)
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
