package kqcli

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqclass"
	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqfleet"
	"kumquatlink/io/kqhttp"
	"kumquatlink/io/kqnode"
)

// Sizes, times and rates of the demo. The service licensing, which every plan
// calls, has fewer slots and a longer service time than the others, so that it is
// the bottleneck.
const (
	demoTimeout        = 2 * time.Minute
	demoSlots          = 36
	demoLicensingSlots = 5
	demoServiceTime    = 10 * time.Millisecond
	demoLicensingTime  = 50 * time.Millisecond
	demoSlowFactor     = 3
	demoSpread         = 0.3
	demoSeed           = 1
	demoDrainGrace     = 2 * time.Second
	demoDrainDuration  = 3 * time.Second
	demoCallTimeout    = 3 * time.Second
	demoRetryPause     = 100 * time.Millisecond
	demoRate           = 90.0
	demoSurgeFactor    = 3
	demoBeforeSeconds  = 1
	demoDuringSeconds  = 4
	demoAfterSeconds   = 2
)

type demoCommand struct{}

// Help returns the longer help of the command.
func (demoCommand) Help() string {
	return "It takes no settings and opens ports on loopback only. Example:\n\n  kumquatlink demo"
}

// demo is a fleet in three regions.
type demo struct {
	e       *environment
	ctx     context.Context
	fleet   *kqfleet.Fleet
	regions []string
	// members holds the nodes of each service, one in each region.
	members map[string][]*kqfleet.Member
	// pools holds the connections of callers to each node.
	pools map[*kqfleet.Member]*kqhttp.Pool
}

// Run starts a fleet with stand-ins and shows, step by step, how it handles calls,
// repeated purchases, changes of classes, draining and overload.
func (*demoCommand) Run(e *environment) (err error) {
	ctx, cancel := context.WithTimeout(e.ctx, demoTimeout)
	defer cancel()
	fleet, err := kqfleet.New()
	if err != nil {
		return err
	}
	d := &demo{
		e: e, ctx: ctx, fleet: fleet, regions: []string{"tx-central", "us-east", "us-west"},
		members: map[string][]*kqfleet.Member{}, pools: map[*kqfleet.Member]*kqhttp.Pool{},
	}
	for _, step := range []func() error{d.start, d.call, d.purchaseTwice, d.changeClass, d.drain, d.surge} {
		if err = step(); err != nil {
			break
		}
	}
	if ctx.Err() != nil {
		err = errors.CombineErrors(err, errors.New("the demo timed out"))
	}
	err = errors.CombineErrors(err, fleet.Close())
	if err == nil {
		d.printf("Every node shut down with nothing in flight cut.")
	}
	return err
}

// printf writes a line to the output.
func (d *demo) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(d.e.output, format+"\n", values...)
}

// demoClasses returns the classes of the demo, in order of importance.
func demoClasses(browseWithin time.Duration) []kqclass.Class {
	return []kqclass.Class{
		{Name: "purchase", Target: kqclass.Target{Complete: 99.9, Within: kqclass.Duration(2 * time.Second)}, RunOnce: true},
		{Name: "download", Target: kqclass.Target{Complete: 99, Within: kqclass.Duration(time.Second)}},
		{Name: "browse", Target: kqclass.Target{Complete: 90, Within: kqclass.Duration(browseWithin)}, Services: []string{"catalog"}},
	}
}

// demoPlans returns the tree of calls that a request of each class makes.
func demoPlans() map[string]kqbackend.Step {
	licensing := kqbackend.Step{Service: "licensing"}
	orders := kqbackend.Step{Service: "orders", Steps: []kqbackend.Step{licensing}}
	return map[string]kqbackend.Step{
		"purchase": {Service: "orders", Steps: []kqbackend.Step{{Service: "catalog"}, licensing}},
		"download": {Service: "packs", Steps: []kqbackend.Step{orders}},
		"browse":   {Service: "catalog", Parallel: true, Steps: []kqbackend.Step{{Service: "packs", Steps: []kqbackend.Step{orders}}, {Service: "orders"}}},
	}
}

// start starts the backend servers and their nodes, and waits until they know each
// other and the classes.
func (d *demo) start() error {
	start := time.Now()
	if err := d.fleet.Configure(d.ctx, demoClasses(700*time.Millisecond)); err != nil {
		return err
	}
	for _, service := range []string{"catalog", "orders", "packs", "licensing"} {
		if err := d.startService(service); err != nil {
			return err
		}
	}
	if err := d.fleet.AwaitConvergence(d.ctx); err != nil {
		return err
	}
	d.printf("Started a store, and %d nodes beside backend servers of catalog, orders, packs and licensing in %v: %d ms until all knew each other and the classes.",
		len(d.fleet.Members), d.regions, time.Since(start).Milliseconds())
	return nil
}

// startService starts a backend server of a service with its node in each region.
func (d *demo) startService(service string) error {
	settings := kqbackend.Settings{
		Service: service, Slots: demoSlots, ServiceTime: demoServiceTime, Spread: demoSpread, Plans: demoPlans(), Seed: demoSeed,
	}
	if service == "licensing" {
		settings.Slots, settings.ServiceTime = demoLicensingSlots, demoLicensingTime
	}
	for i := range len(d.regions) {
		region := d.regions[i]
		domain := region + "-" + string(rune('a'+len(d.members)%2))
		place := kqfleet.Place{NodeID: fmt.Sprintf("%s-%d", service, i+1), Region: region, FailureDomain: domain}
		m, err := d.fleet.AddBackend(place, settings)
		if err != nil {
			return err
		}
		d.members[service] = append(d.members[service], m)
		d.pools[m] = kqhttp.NewPool(m.Node.CallerAddress())
	}
	return nil
}

// call sends a browse request to a node of licensing, which routes it to a node of
// catalog, the first service that the request calls.
func (d *demo) call() error {
	entry := d.members["licensing"][2]
	a := d.send(entry, "browse", "first", "")
	if a.Err != nil {
		return a.Err
	}
	d.printf("A browse request that entered at %s in %s: status %d, outcome %q; it ran on %d backend servers, 4 calls deep.",
		entry.Place.NodeID, entry.Place.Region, a.Status, a.Outcome, d.runsOf("first"))
	return nil
}

// purchaseTwice sends the same purchase twice with one idempotency key, through
// nodes of different regions, and counts how often it ran.
func (d *demo) purchaseTwice() error {
	for _, entry := range []*kqfleet.Member{d.members["catalog"][0], d.members["packs"][1]} {
		a, refusals := d.purchase(entry)
		if a.Err != nil {
			return a.Err
		}
		d.printf("A purchase with the key order-4711, sent to %s in %s: status %d, outcome %q, cause %s; told not run %d time(s) before.",
			entry.Place.NodeID, entry.Place.Region, a.Status, a.Outcome, a.Cause, refusals)
	}
	ran := 0
	for _, m := range d.members["licensing"] {
		for _, r := range m.Backend.Runs() {
			if r.RequestID == "bought" {
				ran++
			}
		}
	}
	d.printf("licensing ran it %d time(s), says its own record.", ran)
	return nil
}

// purchase sends the purchase until the answer is other than not-run. A new fleet
// answers not-run until its nodes agree on the home of the key, which is the node
// that keeps the answers to calls with this idempotency key.
func (d *demo) purchase(entry *kqfleet.Member) (a kqbackend.Answer, refusals int) {
	for {
		a = d.send(entry, "purchase", "bought", "order-4711")
		if a.Outcome != string(kqcall.OutcomeNotRun) || d.ctx.Err() != nil {
			return a, refusals
		}
		refusals++
		time.Sleep(demoRetryPause)
	}
}

// changeClass changes a target and waits until it is in force on all nodes.
func (d *demo) changeClass() error {
	start := time.Now()
	if err := d.fleet.Configure(d.ctx, demoClasses(600*time.Millisecond)); err != nil {
		return err
	}
	for _, m := range d.fleet.Members {
		err := m.Node.WaitFor(d.ctx, func(s *kqnode.State) bool {
			if s.Classes == nil {
				return false
			}
			rule, found := s.Classes.Find("browse")
			return found && rule.Deadline() == 600*time.Millisecond
		})
		if err != nil {
			return err
		}
	}
	d.printf("Changed the target of browse from 700 ms to 600 ms: in force on all %d nodes after %.1f ms.",
		len(d.fleet.Members), time.Since(start).Seconds()*1000)
	return nil
}

// drain lets a backend server announce that it leaves while requests are sent, and
// counts the calls that it still receives.
func (d *demo) drain() error {
	leaving := d.members["catalog"][0]
	before := len(leaving.Backend.Runs())
	start := time.Now()
	if err := leaving.Backend.Leave(); err != nil {
		return err
	}
	sent, good := 0, 0
	for ; time.Since(start) < demoDrainDuration; sent++ {
		a := d.send(d.members["packs"][sent%len(d.members["packs"])], "browse", fmt.Sprintf("drain-%d", sent), "")
		if a.Err == nil && a.Status == statusOK {
			good++
		}
	}
	late := 0
	runs := leaving.Backend.Runs()
	for _, r := range runs {
		if r.At.After(start.Add(demoDrainGrace)) {
			late++
		}
	}
	d.printf("%s announced that it leaves: of %d browse requests since, %d were whole; it took %d new calls, %d of them after more than %v.",
		leaving.Place.NodeID, sent, good, len(runs)-before, late, demoDrainGrace)
	return nil
}
