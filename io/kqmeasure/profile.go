package kqmeasure

import (
	"slices"
	"time"

	"kumquatlink/core/kqclass"
	"kumquatlink/io/kqbackend"
)

// upstreamsPerService places one upstream of each service in each of two failure
// domains in each of three regions.
const upstreamsPerService = 6

// Service describes a service of a profile.
type Service struct {
	Name string
	// Slots is how many calls an upstream runs at once.
	Slots int
	// Queue is how many connections beyond Slots an upstream takes; their calls
	// wait.
	Queue int
	// Time is the mean service time.
	Time time.Duration
}

// Kind is a kind of request. Its name is that of its class, and its plan lists
// the calls that it leads to.
type Kind struct {
	Name string
	// Share is the part of all requests that are of this kind; the shares of a
	// profile sum to 1.
	Share float64
	// Key reports whether callers send an idempotency key.
	Key  bool
	Plan kqbackend.Step
}

// Profile describes the services and requests of a user, scaled to one machine.
// Slots, upstreams, connections and places are as the user has them. Service
// times and rates are chosen so that slots are the limit and never this
// machine's CPU.
type Profile struct {
	Name     string
	Regions  []string
	Services []Service
	// Upstreams is the number of upstreams of each service.
	Upstreams int
	// Deep is the service that [FaultSlow] slows down: the last of the call
	// chains.
	Deep    string
	Classes []kqclass.Class
	Kinds   []Kind
}

// Service times of the profiles: of services with many slots, and of the deep
// services, which have few.
const (
	wideServiceTime   = 20 * time.Millisecond
	narrowServiceTime = 75 * time.Millisecond
	// sevenSlotServiceTime gives a service with seven slots the rate that
	// narrowServiceTime gives a service with five.
	sevenSlotServiceTime = 105 * time.Millisecond
)

// step returns a call whose onward calls are made one after the other.
func step(service string, steps ...kqbackend.Step) kqbackend.Step {
	return kqbackend.Step{Service: service, Steps: steps}
}

// parallelStep returns a call whose onward calls are made at the same time.
func parallelStep(service string, steps ...kqbackend.Step) kqbackend.Step {
	return kqbackend.Step{Service: service, Steps: steps, Parallel: true}
}

func class(name string, complete float64, within time.Duration, runOnce bool) kqclass.Class {
	return kqclass.Class{Name: name, Target: kqclass.Target{Complete: complete, Within: kqclass.Duration(within)}, RunOnce: runOnce}
}

var profiles = []Profile{
	{
		Name:      "bluebonnet",
		Regions:   []string{"tx-central", "us-east", "us-west"},
		Upstreams: upstreamsPerService,
		Services: []Service{
			{"catalog", 36, 264, wideServiceTime},
			{"orders", 36, 264, wideServiceTime},
			{"packs", 36, 264, wideServiceTime},
			{"licensing", 5, 125, narrowServiceTime},
		},
		Deep: "licensing",
		Classes: []kqclass.Class{
			class("purchase", 99.9, 2*time.Second, true),
			class("download", 99, time.Second, false),
			class("browse", 90, 800*time.Millisecond, false),
		},
		Kinds: []Kind{
			{"purchase", 0.08, true, step("orders", parallelStep("packs", step("catalog", step("licensing")), step("catalog")), step("licensing"))},
			{"download", 0.32, false, step("packs", step("orders", step("licensing")), step("catalog"))},
			{"browse", 0.60, false, parallelStep("catalog", step("packs", step("orders", step("licensing"))), step("orders"))},
		},
	},
	{
		Name:      "lochforth",
		Regions:   []string{"lothian", "clyde", "grampian"},
		Upstreams: upstreamsPerService,
		Services: []Service{
			{"batchdesk", 36, 264, wideServiceTime},
			{"claimhouse", 36, 264, wideServiceTime},
			{"refundbook", 36, 264, wideServiceTime},
			{"voucherpress", 7, 133, sevenSlotServiceTime},
		},
		Deep: "voucherpress",
		Classes: []kqclass.Class{
			class("claim", 99.9, 2*time.Second, true),
			class("refund-status", 98, 900*time.Millisecond, false),
			class("lookup", 95, 800*time.Millisecond, false),
		},
		Kinds: []Kind{
			{"claim", 0.10, true, step("claimhouse", parallelStep("refundbook", step("batchdesk", step("voucherpress")), step("batchdesk")), step("voucherpress"))},
			{"refund-status", 0.35, false, step("refundbook", parallelStep("claimhouse", step("batchdesk", step("voucherpress")), step("batchdesk")))},
			{"lookup", 0.55, false, parallelStep("batchdesk", step("refundbook", step("claimhouse", step("voucherpress"))), step("claimhouse"))},
		},
	},
}

// sevenDeep returns the profile with a download that is a chain of seven calls.
func sevenDeep(p Profile) Profile {
	p.Name = "sevendeep"
	p.Kinds = slices.Clone(p.Kinds)
	chain := step("licensing")
	for _, service := range []string{"orders", "packs", "catalog", "orders", "catalog", "packs"} {
		chain = step(service, chain)
	}
	p.Kinds[1].Plan = chain
	return p
}

func init() {
	profiles = append(profiles, sevenDeep(profiles[0]))
}

// FindProfile returns the profile of that name and whether there is one.
func FindProfile(name string) (Profile, bool) {
	i := slices.IndexFunc(profiles, func(p Profile) bool { return p.Name == name })
	if i < 0 {
		return Profile{}, false
	}
	return profiles[i], true
}

// ProfileNames lists the names of the profiles.
func ProfileNames() []string {
	var names []string
	for _, p := range profiles {
		names = append(names, p.Name)
	}
	return names
}

// kind returns the kind of that name, which must exist.
func (p Profile) kind(name string) Kind {
	return p.Kinds[slices.IndexFunc(p.Kinds, func(k Kind) bool { return k.Name == name })]
}

// class returns the class of that name, which must exist.
func (p Profile) class(name string) kqclass.Class {
	return p.Classes[slices.IndexFunc(p.Classes, func(c kqclass.Class) bool { return c.Name == name })]
}

// targetTime returns the time within which a request of the class has to
// complete.
func (p Profile) targetTime(class string) time.Duration {
	return time.Duration(p.class(class).Target.Within)
}

// plans returns the plan of each kind by name.
func (p Profile) plans() map[string]kqbackend.Step {
	plans := map[string]kqbackend.Step{}
	for _, k := range p.Kinds {
		plans[k.Name] = k.Plan
	}
	return plans
}

// byImportance lists the kinds, the most important class first.
func (p Profile) byImportance() []Kind {
	kinds := slices.Clone(p.Kinds)
	ranks := p.ranks()
	slices.SortStableFunc(kinds, func(a, b Kind) int { return ranks[a.Name] - ranks[b.Name] })
	return kinds
}

// ranks returns the rank of each class by name; 0 is the most important.
func (p Profile) ranks() map[string]int {
	table := kqclass.NewTable(kqclass.Configuration{Classes: p.Classes})
	ranks := map[string]int{}
	for _, c := range p.Classes {
		rule, _ := table.Find(c.Name)
		ranks[c.Name] = rule.Rank
	}
	return ranks
}
