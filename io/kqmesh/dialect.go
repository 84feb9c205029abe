package kqmesh

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqroutes"
	"kumquatlink/core/kqserver"
	"kumquatlink/io/kqwire"
)

// Headers are the names of header fields.
type Headers struct {
	RequestID string
	// Deadline is the time left, in whole milliseconds.
	Deadline string
	// ExpectServer names the backend server that alone may run the request.
	ExpectServer string
	// NotRun stands on an answer of a backend server that did not run the
	// request.
	NotRun string
	// CallerService is the service of the host where the request began.
	CallerService string
	// ServerID is the name that a backend server gives with its health.
	ServerID string
	// Load is what a backend server tells of its load: running, waiting, slots.
	Load string
}

// Dialect holds the names and codecs of a platform.
type Dialect struct {
	Headers Headers
	// ReadyPath is the path of the question whether the node is ready.
	ReadyPath string
	// ReadRoutes decodes the routes that operators wrote.
	ReadRoutes func(text []byte) (kqroutes.Document, error)
	// ReadNotice decodes what a backend server says of itself. found is
	// whether the call is a notice at all.
	ReadNotice func(method, path string, body []byte) (n kqserver.Notice, found bool, err error)
	// Acknowledgement is the body of the answer to a notice.
	Acknowledgement []byte
}

// The object of the project's own store that holds the routes.
const (
	NativeRoutesKind = "kumquatlink.dev/v1/routes"
	NativeRoutesName = "fleet"
)

// Paths of the project's own dialect.
const (
	NativeReadyPath  = "/kumquatlink/ready"
	NativeNoticePath = "/kumquatlink/notice"
)

// Header names of the project's own dialect that kqwire does not have.
const (
	HeaderExpectServer  = "Kumquatlink-Expect-Server"
	HeaderCallerService = "Kumquatlink-Caller-Service"
	HeaderServerID      = "Kumquatlink-Server-Id"
	HeaderLoad          = "Kumquatlink-Load"
)

// NativeNotice is a notice in the project's own format.
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

// NativeDialect is the project's own: header names of kqwire, and JSON in Pascal
// case.
func NativeDialect() Dialect {
	return Dialect{
		Headers: Headers{
			RequestID: kqwire.HeaderRequestID, Deadline: kqwire.HeaderBudget, ExpectServer: HeaderExpectServer,
			NotRun: kqwire.HeaderShed, CallerService: HeaderCallerService, ServerID: HeaderServerID, Load: HeaderLoad,
		},
		ReadyPath:  NativeReadyPath,
		ReadRoutes: readOwnRoutes,
		ReadNotice: readOwnNotice,
	}
}

func readOwnRoutes(text []byte) (kqroutes.Document, error) {
	var d kqroutes.Document
	err := json.Unmarshal(text, &d)
	return d, errors.Mark(errors.Wrap(err, "read routes"), ErrNode)
}

func readOwnNotice(method, path string, body []byte) (kqserver.Notice, bool, error) {
	if path != NativeNoticePath || method != "PUT" {
		return kqserver.Notice{}, false, nil
	}
	var o NativeNotice
	if err := json.Unmarshal(body, &o); err != nil {
		return kqserver.Notice{}, true, errors.Mark(errors.Wrap(err, "read notice"), ErrNode)
	}
	return kqserver.Notice{
		ServerID: o.ServerID, Service: o.Service, Address: o.Address, Slots: o.Slots, State: o.State,
		Cold: o.Cold.Value(), Sequence: o.Sequence, Born: o.Born,
	}, true, nil
}
