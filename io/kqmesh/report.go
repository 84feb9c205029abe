package kqmesh

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqmember"
	"kumquatlink/core/kqsuspect"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqtrunk"
)

// Times of reports about requests.
const (
	reportTimeout = time.Second
	// recordsAttempts is how often a node that starts asks others for their records
	// until one answers, and recordsPause the pause between two attempts. It asks
	// recordsPeers nodes of its service and as many others.
	recordsPeers    = 3
	recordsAttempts = 5
	recordsPause    = 500 * time.Millisecond
)

// nodeReport is what nodes tell each other apart from calls, routes and lists of
// nodes. It is the body of a request for a gate's load, and of the answer. Nodes of
// former builds look at the report on requests only, or at nothing.
type nodeReport struct {
	suspectReport
	quotaReport
	// Departures are records of nodes whose backend servers leave, for the receiver
	// to keep. KeepsDepartures is set in the answer when it does.
	Departures      []HostRecord
	KeepsDepartures bool
	// AskDeparture asks for the departure of that node's server.
	AskDeparture string
}

// isEmpty reports whether the report says nothing and asks nothing.
func (r nodeReport) isEmpty() bool {
	return r.suspectReport.isEmpty() && r.quotaReport.isEmpty() && len(r.Departures) == 0 && !r.KeepsDepartures && r.AskDeparture == ""
}

// serviceGates returns the addresses of the other nodes whose servers offer the same
// service. Only they may run what this node has run.
func (k *suspects) serviceGates() []string {
	return k.addresses(func(h HostRecord) bool { return h.Service == k.node.settings.Service })
}

// otherGates returns the addresses of the nodes of other services, to which routes may
// send the same request later.
func (k *suspects) otherGates() []string {
	return k.addresses(func(h HostRecord) bool { return h.Service != k.node.settings.Service })
}

func (k *suspects) addresses(selected func(HostRecord) bool) []string {
	var addresses []string
	for name, h := range k.node.State().Hosts {
		if name != k.node.settings.NodeID && h.Life != kqmember.LifeGone && selected(h) {
			addresses = append(addresses, h.Address)
		}
	}
	return addresses
}

// report tells the other gates of the service of a crash, and all nodes of the
// requests that are convicted by it. It returns when the former have the report, or
// after reportWait.
func (k *suspects) report(r suspectReport, convicted []kqsuspect.Fingerprint) {
	r.Records = convictionsOf(convicted)
	told := k.tell(k.serviceGates(), r)
	if len(convicted) > 0 {
		k.tell(k.otherGates(), suspectReport{Records: r.Records})
		k.storeConvictions(convicted, r.ServerID)
	}
	t := time.NewTimer(reportWait)
	defer t.Stop()
	for range cap(told) {
		select {
		case <-told:
		case <-t.C:
			return
		}
	}
}

// convictionsOf returns the records of convicted requests.
func convictionsOf(convicted []kqsuspect.Fingerprint) []kqsuspect.Record {
	var records []kqsuspect.Record
	for _, f := range convicted {
		records = append(records, kqsuspect.Record{Fingerprint: f, Crashes: kqsuspect.ConvictingCrashes})
	}
	return records
}

// shareConvictions tells all nodes, and the store, of requests that other gates hold
// convicted and this one did not. Gates hear of crashes at different times, and may
// so count one crash less.
func (k *suspects) shareConvictions(peer string, records []kqsuspect.Record) {
	k.mutex.Lock()
	var convicted []kqsuspect.Fingerprint
	for _, r := range records {
		if r.Crashes >= kqsuspect.ConvictingCrashes && k.table.Judge(k.node.clock(), r.Fingerprint).Verdict != kqsuspect.Convicted {
			convicted = append(convicted, r.Fingerprint)
		}
	}
	k.table.Merge(k.node.clock(), convictionsOf(convicted))
	k.mutex.Unlock()
	if len(convicted) == 0 {
		return
	}
	k.logConvicted(convicted, "peer "+peer)
	k.tell(append(k.serviceGates(), k.otherGates()...), suspectReport{Records: convictionsOf(convicted)})
	k.storeConvictions(convicted, "")
}

// tell sends a report to nodes in the background. The channel gets a value, up to its
// capacity, for each that has answered or can't be reached.
func (k *suspects) tell(addresses []string, r suspectReport) <-chan struct{} {
	told := make(chan struct{}, len(addresses))
	for _, address := range addresses {
		send := func() {
			defer func() { told <- struct{}{} }()
			answer, err := k.send(address, r)
			k.shareConvictions(address, answer.Records)
			if err != nil {
				k.node.logEvent(eventSuspectsNotTold, "report on lost requests does not reach "+address, err, kqlog.Text(fieldPeer, address))
			}
		}
		if err := k.node.pool.Submit(send); err != nil {
			k.node.logEvent(eventSuspectsNotTold, "report on lost requests is not sent to "+address, err, kqlog.Text(fieldPeer, address))
			told <- struct{}{}
		}
	}
	return told
}

// send sends a report on requests to a node and returns its answer.
func (k *suspects) send(address string, r suspectReport) (suspectReport, error) {
	answer, err := k.node.sendReport(address, reportTimeout, nodeReport{suspectReport: r})
	return answer.suspectReport, err
}

// sendReport sends a report to a node and returns its answer.
func (n *Node) sendReport(address string, timeout time.Duration, r nodeReport) (nodeReport, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var answer nodeReport
	body, err := cbor.Marshal(r)
	if err != nil {
		return answer, err
	}
	head := kqtrunk.CallHead{Service: n.settings.Service, Budget: timeout, AskLoad: true, RoutesVersion: n.routesVersion()}
	got, err := n.dialer.Call(ctx, address, head, body)
	if err != nil {
		return answer, err
	}
	defer got.Head.Discard()
	if len(got.Body) == 0 {
		return answer, nil
	}
	return answer, cbor.Unmarshal(got.Body, &answer)
}

// handleLoadRequest answers a request for the gate's load, which may carry a report.
func (n *Node) handleLoadRequest(peer string, body []byte) (kqtrunk.AnswerHead, []byte) {
	head := kqtrunk.AnswerHead{End: kqcall.NotRun(""), Load: n.gate.load()}
	if len(body) == 0 {
		return head, nil
	}
	var r nodeReport
	if err := cbor.Unmarshal(body, &r); err != nil {
		n.logEvent(eventPeerUnreadable, "report of peer "+peer+" can't be decoded: it is ignored", err, kqlog.Text(fieldPeer, peer))
		return head, nil
	}
	answer := nodeReport{suspectReport: n.gate.suspects.receive(peer, r.suspectReport)}
	if len(r.Departures) > 0 {
		n.keepDepartures(r.Departures)
		answer.KeepsDepartures = true
	}
	if r.AskDeparture != "" {
		answer.Departures = n.departureOf(r.AskDeparture)
	}
	if r.Quota != nil {
		quotaAnswer := n.quotas.receive(*r.Quota)
		answer.QuotaAnswer = &quotaAnswer
	}
	if answer.isEmpty() {
		return head, nil
	}
	data, err := cbor.Marshal(answer)
	if err != nil {
		n.logEvent(eventMessageNotWritten, "answer to a report can't be encoded: it is not sent", err)
		return head, nil
	}
	return head, data
}

// receive records what another gate reports and returns what it asks for.
func (k *suspects) receive(peer string, r suspectReport) suspectReport {
	k.mutex.Lock()
	now := k.node.clock()
	convicted := k.table.RecordCrash(now, r.Runs)
	for _, f := range r.Cleared {
		k.table.RecordAnswer(f)
	}
	if len(r.Cleared) > 0 {
		k.wake()
	}
	k.table.Merge(now, r.Records)
	answer := suspectReport{Records: convictionsOf(convicted)}
	if r.Ask {
		answer.Records = k.table.Records(now)
	}
	k.mutex.Unlock()
	k.logConvicted(convicted, "peer "+peer)
	return answer
}

// fetchRecords asks other nodes for what they hold of requests when a node starts
// again: some of its service, and some others. It asks several, since those that have
// just been started hold little.
func (n *Node) fetchRecords(ctx context.Context) {
	if n.settings.FirstStart || n.WaitFor(ctx, func(s *State) bool { return s.HostsKnown }) != nil {
		return
	}
	k := n.gate.suspects
	for range recordsAttempts {
		var addresses []string
		for _, group := range [][]string{k.serviceGates(), k.otherGates()} {
			shuffle(group, n.random)
			addresses = append(addresses, group[:min(recordsPeers, len(group))]...)
		}
		var records, answers atomic.Int64
		var asking sync.WaitGroup
		for _, address := range addresses {
			asking.Go(func() {
				answer, err := k.send(address, suspectReport{Ask: true})
				if err != nil {
					n.logEvent(eventSuspectsNotTold, "records of lost requests can't be asked of "+address, err, kqlog.Text(fieldPeer, address))
					return
				}
				k.receive(address, suspectReport{Records: answer.Records})
				records.Add(int64(len(answer.Records)))
				answers.Add(1)
			})
		}
		asking.Wait()
		if answers.Load() > 0 || ctx.Err() != nil {
			n.logEvent(eventSuspectsFetched, fmt.Sprintf("records of lost requests are known: %d of them from %d nodes", records.Load(), answers.Load()), nil, kqlog.Number("Records", records.Load()), kqlog.Number(fieldHosts, answers.Load()))
			return
		}
		sleep(ctx, recordsPause)
	}
}
