// Package kqwire defines the HTTP headers, paths and messages with which
// callers, backend servers and nodes talk to each other. They are the outer
// interface of a node: callers and backend servers rely on them.
//
// # Usage
//
// A caller sets the service in the header of its request. The class, the request
// ID, the time left until the deadline and the idempotency key are optional:
//
//	POST /buy HTTP/1.1
//	Kumquatlink-Service: orders
//	Kumquatlink-Class: purchase
//	Kumquatlink-Budget-Milliseconds: 800
//	Idempotency-Key: 0f1c
//
// Every answer has the headers Kumquatlink-Outcome, Kumquatlink-Cause and
// Kumquatlink-Request-Id. While a backend server runs a call, it may make onward
// calls for it. It copies Kumquatlink-Context from the call to each of them, so
// that the node knows which call they belong to.
//
// A backend server reports its address and state to the node on its host with a
// PUT request that carries an [Announcement]:
//
//	PUT /kumquatlink/announce HTTP/1.1
package kqwire

// Header names.
const (
	HeaderService   = "Kumquatlink-Service"
	HeaderClass     = "Kumquatlink-Class"
	HeaderRequestID = "Kumquatlink-Request-Id"
	// HeaderBudget is the time left until the caller's deadline, in
	// milliseconds.
	HeaderBudget         = "Kumquatlink-Budget-Milliseconds"
	HeaderContext        = "Kumquatlink-Context"
	HeaderOutcome        = "Kumquatlink-Outcome"
	HeaderCause          = "Kumquatlink-Cause"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderShed is set to "1" by a backend server that refused a call
	// without running it.
	HeaderShed = "Kumquatlink-Shed"
	// HeaderRateLimit is set on the answers of a backend server that takes no
	// more than that many requests a second from all nodes together.
	HeaderRateLimit = "Kumquatlink-Rate-Limit"
	// HeaderLeaving is set to "1" on the answers of a backend server that drains.
	HeaderLeaving = "Kumquatlink-Leaving"
)

// Paths that a node serves to its backend server, at an address that is meant
// for that server only.
const (
	// PathAnnounce accepts a PUT request with an Announcement.
	PathAnnounce = "/kumquatlink/announce"
)

// States of a backend server in an Announcement. One that is leaving drains: it
// takes no new calls.
const (
	StateReady   = "Ready"
	StateLeaving = "Leaving"
)

// Announcement is the message with which a backend server reports its service,
// address and state to the node on its host.
type Announcement struct {
	Service string
	// Address is the TCP address at which the backend server takes calls.
	Address string
	// Slots is the number of calls that the backend server runs at once, or 0 if
	// it does not report one.
	Slots int
	// State is StateReady or StateLeaving.
	State string
}
