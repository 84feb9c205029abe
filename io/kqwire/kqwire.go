// Package kqwire holds the names that callers, backend servers and nodes use
// towards each other over HTTP.
//
// # Usage
//
// A caller names the service, and may name a class, a request ID, a deadline
// and an idempotency key:
//
//	POST /buy HTTP/1.1
//	Kumquatlink-Service: orders
//	Kumquatlink-Class: purchase
//	Idempotency-Key: 0f1c
//
// Every answer has Kumquatlink-Outcome, Kumquatlink-Cause and
// Kumquatlink-Request-Id. A backend server copies Kumquatlink-Context from the
// call that it runs to every onward call that it makes for it.
package kqwire

// Header names.
const (
	HeaderService   = "Kumquatlink-Service"
	HeaderClass     = "Kumquatlink-Class"
	HeaderRequestID = "Kumquatlink-Request-Id"
	// HeaderBudget is the time left, in milliseconds.
	HeaderBudget         = "Kumquatlink-Budget-Milliseconds"
	HeaderContext        = "Kumquatlink-Context"
	HeaderOutcome        = "Kumquatlink-Outcome"
	HeaderCause          = "Kumquatlink-Cause"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderShed is set to "1" by a backend server that refused a call
	// without running it.
	HeaderShed = "Kumquatlink-Shed"
)

// Paths of a node's own address for its backend server.
const (
	// PathAnnounce takes a PUT of an Announcement.
	PathAnnounce = "/kumquatlink/announce"
)

// States that a backend server announces.
const (
	StateReady   = "Ready"
	StateLeaving = "Leaving"
)

// Announcement is what a backend server tells the node on its host.
type Announcement struct {
	Service string
	// Address is the TCP address that the backend server takes calls at.
	Address string
	// Slots is how many calls it runs at once, or 0 when it does not say.
	Slots int
	State string
}
