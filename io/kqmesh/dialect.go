package kqmesh

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqroutes"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqwire"
)

// Headers holds the header names of a dialect.
type Headers struct {
	// RequestID carries the ID of a request, on requests and on answers.
	RequestID string
	// Deadline carries the time left for a request, in milliseconds. The node
	// sends whole ones.
	Deadline string
	// ExpectServer carries the ID of the only backend server that may run the
	// request.
	ExpectServer string
	// NotRun is set on the answer of a backend server that did not run the
	// request.
	NotRun string
	// Signature is set by backend servers on each success: a success without it is
	// not their answer. It is empty if servers don't sign what they answer.
	Signature string
	// CallerService carries the service of the host from which the request was
	// sent.
	CallerService string
	// ServerID carries the ID of a backend server, on its answer to a health
	// probe.
	ServerID string
	// Load carries the load of a backend server, on its answer to a health
	// probe: the numbers of running and waiting requests and of slots, separated
	// by commas.
	Load string
	// RateLimit is set on the answers of a backend server that takes no more than
	// that many requests a second, a decimal number, from all nodes together.
	RateLimit string
	// Leaving is set to "1" on the answers of a backend server that drains.
	Leaving string
	// Key carries the key of a team, on requests of callers. It is not forwarded.
	Key string
	// Team carries the name of the team that holds the key, on the requests that
	// backend servers get.
	Team string
}

// Dialect holds the header names, paths and codecs of a platform.
type Dialect struct {
	Headers Headers
	// ReadyPath is the path of readiness probes.
	ReadyPath string
	// ReadRoutes decodes a document of routes.
	ReadRoutes func(text []byte) (kqroutes.Document, error)
	// ReadNotice decodes a notice of a backend server about its state. found
	// reports whether the HTTP request is a notice at all.
	ReadNotice func(method, path string, body []byte) (n kqserver.Notice, found bool, err error)
	// Acknowledgement is the body of the answer to a notice.
	Acknowledgement []byte
}

// Kind and name of the store object that holds the routes in the native dialect.
const (
	NativeRoutesKind = "kumquatlink.dev/v1/routes"
	NativeRoutesName = "fleet"
)

// Paths of the native dialect.
const (
	NativeReadyPath  = "/kumquatlink/ready"
	NativeNoticePath = "/kumquatlink/notice"
)

// Header names of the native dialect that package kqwire does not define.
const (
	HeaderExpectServer  = "Kumquatlink-Expect-Server"
	HeaderCallerService = "Kumquatlink-Caller-Service"
	HeaderServerID      = "Kumquatlink-Server-Id"
	HeaderLoad          = "Kumquatlink-Load"
	HeaderTeamKey       = "Kumquatlink-Team-Key"
	HeaderTeam          = "Kumquatlink-Team"
)

// NativeNotice is a backend server's notice as the native dialect encodes it, in
// JSON. Its fields are those of kqserver.Notice.
type NativeNotice struct {
	ServerID string
	Service  string
	Address  string
	Slots    int
	State    kqserver.State
	Cold     kqclass.Duration
	Sequence int64
	Born     int64
}

// NativeDialect returns the dialect that this project defines: the header names
// of package kqwire, and JSON documents with field names in Pascal case.
func NativeDialect() Dialect {
	return Dialect{
		Headers: Headers{
			RequestID: kqwire.HeaderRequestID, Deadline: kqwire.HeaderBudget, ExpectServer: HeaderExpectServer,
			NotRun: kqwire.HeaderShed, CallerService: HeaderCallerService, ServerID: HeaderServerID, Load: HeaderLoad,
			RateLimit: kqwire.HeaderRateLimit, Leaving: kqwire.HeaderLeaving, Key: HeaderTeamKey, Team: HeaderTeam,
		},
		ReadyPath:  NativeReadyPath,
		ReadRoutes: readOwnRoutes,
		ReadNotice: readOwnNotice,
	}
}

func readOwnRoutes(text []byte) (kqroutes.Document, error) {
	var d kqroutes.Document
	err := json.Unmarshal(text, &d)
	return d, errors.Mark(errors.Wrap(err, "decode routes"), ErrNode)
}

func readOwnNotice(method, path string, body []byte) (kqserver.Notice, bool, error) {
	if path != NativeNoticePath || method != "PUT" {
		return kqserver.Notice{}, false, nil
	}
	var o NativeNotice
	if err := json.Unmarshal(body, &o); err != nil {
		return kqserver.Notice{}, true, errors.Mark(errors.Wrap(err, "decode notice"), ErrNode)
	}
	return kqserver.Notice{
		ServerID: o.ServerID, Service: o.Service, Address: o.Address, Slots: o.Slots, State: o.State,
		Cold: o.Cold.Value(), Sequence: o.Sequence, Born: o.Born,
	}, true, nil
}
