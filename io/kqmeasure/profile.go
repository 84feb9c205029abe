package kqmeasure

import (
	"slices"
	"time"

	"kumquatlink/core/kqclass"
	"kumquatlink/io/kqbackend"
)

// upstreamsPerService is the number of upstreams of each service: one in each
// of two failure domains in each of three regions.
const upstreamsPerService = 6

// Service is a service of a profile.
type Service struct {
	Name  string
	Slots int
	// Queue is how many more connections an upstream takes.
	Queue int
	// Time is the mean service time.
	Time time.Duration
}

// Kind is one kind of request: its class, and the calls that it makes.
type Kind struct {
	Name string
	// Share is the part of all requests that are of this kind.
	Share float64
	// Key is whether callers send an idempotency key.
	Key  bool
	Plan kqbackend.Step
}

// Profile is a user's services and work, scaled to one machine: slots,
// upstreams, connections and places as they are, service times and rates such
// that slots and never this machine's processor are the limit.
type Profile struct {
	Name     string
	Regions  []string
	Services []Service
	// Deep is the service that is slowed.
	Deep    string
	Classes []kqclass.Class
	Kinds   []Kind
}

// Service times of the profiles.
const (
	wideTime   = 20 * time.Millisecond
	narrowTime = 75 * time.Millisecond
)

func step(service string, steps ...kqbackend.Step) kqbackend.Step {
	return kqbackend.Step{Service: service, Steps: steps}
}

func both(service string, steps ...kqbackend.Step) kqbackend.Step {
	return kqbackend.Step{Service: service, Steps: steps, Parallel: true}
}

func class(name string, complete float64, within time.Duration, runOnce bool) kqclass.Class {
	return kqclass.Class{Name: name, Target: kqclass.Target{Complete: complete, Within: kqclass.Duration(within)}, RunOnce: runOnce}
}

var profiles = []Profile{
	{
		Name:    "bluebonnet",
		Regions: []string{"tx-central", "us-east", "us-west"},
		Services: []Service{
			{"catalog", 36, 264, wideTime},
			{"orders", 36, 264, wideTime},
			{"packs", 36, 264, wideTime},
			{"licensing", 5, 125, narrowTime},
		},
		Deep: "licensing",
		Classes: []kqclass.Class{
			class("purchase", 99.9, 2*time.Second, true),
			class("download", 99, time.Second, false),
			class("browse", 90, 800*time.Millisecond, false),
		},
		Kinds: []Kind{
			{"purchase", 0.08, true, step("orders", both("packs", step("catalog", step("licensing")), step("catalog")), step("licensing"))},
			{"download", 0.32, false, step("packs", step("orders", step("licensing")), step("catalog"))},
			{"browse", 0.60, false, both("catalog", step("packs", step("orders", step("licensing"))), step("orders"))},
		},
	},
	{
		Name:    "lochforth",
		Regions: []string{"lothian", "clyde", "grampian"},
		Services: []Service{
			{"batchdesk", 36, 264, wideTime},
			{"claimhouse", 36, 264, wideTime},
			{"refundbook", 36, 264, wideTime},
			{"voucherpress", 7, 133, narrowTime},
		},
		Deep: "voucherpress",
		Classes: []kqclass.Class{
			class("claim", 99.9, 2*time.Second, true),
			class("refund-status", 98, 900*time.Millisecond, false),
			class("lookup", 95, 800*time.Millisecond, false),
		},
		Kinds: []Kind{
			{"claim", 0.10, true, step("claimhouse", both("refundbook", step("batchdesk", step("voucherpress")), step("batchdesk")), step("voucherpress"))},
			{"refund-status", 0.35, false, step("refundbook", both("claimhouse", step("batchdesk", step("voucherpress")), step("batchdesk")))},
			{"lookup", 0.55, false, both("batchdesk", step("refundbook", step("claimhouse", step("voucherpress"))), step("claimhouse"))},
		},
	},
}

// sevenDeep is bluebonnet with a download that is seven calls deep.
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

// FindProfile gives the profile of that name.
func FindProfile(name string) (Profile, bool) {
	i := slices.IndexFunc(profiles, func(p Profile) bool { return p.Name == name })
	if i < 0 {
		return Profile{}, false
	}
	return profiles[i], true
}

// ProfileNames lists the profiles.
func ProfileNames() []string {
	var names []string
	for _, p := range profiles {
		names = append(names, p.Name)
	}
	return names
}

// kind gives the kind of that name.
func (p Profile) kind(name string) Kind {
	return p.Kinds[slices.IndexFunc(p.Kinds, func(k Kind) bool { return k.Name == name })]
}

// class gives the class of that name.
func (p Profile) class(name string) kqclass.Class {
	return p.Classes[slices.IndexFunc(p.Classes, func(c kqclass.Class) bool { return c.Name == name })]
}

// within is how quickly a request of the class must complete.
func (p Profile) within(class string) time.Duration {
	return time.Duration(p.class(class).Target.Within)
}

// plans are the calls of each kind.
func (p Profile) plans() map[string]kqbackend.Step {
	plans := map[string]kqbackend.Step{}
	for _, k := range p.Kinds {
		plans[k.Name] = k.Plan
	}
	return plans
}

// byImportance lists the kinds, the most important first.
func (p Profile) byImportance() []Kind {
	kinds := slices.Clone(p.Kinds)
	ranks := p.ranks()
	slices.SortStableFunc(kinds, func(a, b Kind) int { return ranks[a.Name] - ranks[b.Name] })
	return kinds
}

// ranks gives the rank of each class, 0 for the most important.
func (p Profile) ranks() map[string]int {
	table := kqclass.NewTable(kqclass.Configuration{Classes: p.Classes})
	ranks := map[string]int{}
	for _, c := range p.Classes {
		rule, _ := table.Find(c.Name)
		ranks[c.Name] = rule.Rank
	}
	return ranks
}
