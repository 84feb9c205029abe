// Package kqstore is the client of the platform's object API. The API stores
// named objects by kind, each with a version. Writes are conditional on the
// version, and watches report changes. The store holds the fleet's
// configuration, the hosts, and which nodes keep idempotency keys.
//
// # Usage
//
//	client := kqstore.NewHTTP("127.0.0.1:7000")
//	configuration, version, err := kqstore.ReadConfiguration(ctx, client)
//
// [Client] is a struct whose function fields are the calls of the API. Another
// platform is supported by another constructor.
//
// [Change] edits the configuration and determines the result of a write whose
// answer was lost. [NewBreakerClient] adds a circuit breaker to a client.
package kqstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqclass"
)

// Errors of this package.
var (
	// ErrNotFound marks calls for an object that does not exist.
	ErrNotFound = errors.New("object is not in the store")
	// ErrConflict marks conditional writes whose version is not the current one.
	ErrConflict = errors.New("object has changed since it was read")
	// ErrUnavailable marks calls that the store did not answer, or answered with
	// an unexpected status.
	ErrUnavailable = errors.New("store is not available")
	// ErrExpired marks watches that start at a version that the store no longer
	// has, since it keeps a shorter history or was restored from a copy, and
	// answers from before a restore.
	ErrExpired = errors.New("version is too old for a watch, or an answer from before a restore")
	// ErrMalformed marks objects that can't be decoded or encoded.
	ErrMalformed = errors.New("object or answer of the store is malformed")
)

// IsUnavailable reports whether an error is marked [ErrUnavailable]. Other errors
// are answers of the store, such as a conflict.
func IsUnavailable(err error) bool {
	return errors.Is(err, ErrUnavailable)
}

// Object is a named value with the version that the store assigned to it.
type Object struct {
	Name    string
	Version string
	Value   json.RawMessage
	// Deleted reports whether the object was removed. Only a watch sets it.
	Deleted bool
}

// Client holds the calls of the object API.
type Client struct {
	// Get reads one object.
	Get func(ctx context.Context, kind, name string) (Object, error)
	// Put writes an object if its version in the store is the one given, and
	// returns it with its new version. With an empty version, it writes the
	// object only if it does not exist.
	Put func(ctx context.Context, kind string, object Object) (Object, error)
	// List reads all objects of a kind. It also returns the version from which a
	// watch reports all later changes.
	List func(ctx context.Context, kind string) ([]Object, string, error)
	// Delete removes an object if its version in the store is the one given.
	Delete func(ctx context.Context, kind string, object Object) error
	// Watch calls handle for every change after the version, of one object or,
	// with an empty name, of the whole kind. It returns when ctx ends, the watch
	// fails, or handle returns an error.
	Watch func(ctx context.Context, kind, name, version string, handle func(Object) error) error
	// Era returns the era of the store that its answers have stated so far, or
	// [UnknownEra]. It may be nil.
	Era func() int64
	// HeardAt returns when the store last answered a list or a call of a watch, or
	// wrote a line of a watch. It may be nil if that is unknown.
	HeardAt func() time.Time
}

// CurrentEra returns the era of the store, or [UnknownEra] if there is no client or
// Era is nil.
func (c *Client) CurrentEra() int64 {
	if c == nil || c.Era == nil {
		return UnknownEra
	}
	return c.Era()
}

// heardAt returns HeardAt, or nil if there is no client.
func (c *Client) heardAt() func() time.Time {
	if c == nil {
		return nil
	}
	return c.HeardAt
}

// staleKey is the context key that allows stale reads.
type staleKey struct{}

// AllowStale returns a context for reads that may return data that are a few
// seconds old, which some stores serve at a lower cost.
func AllowStale(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

// MayBeStale reports whether the context allows data that are a few seconds old.
func MayBeStale(ctx context.Context) bool {
	stale, _ := ctx.Value(staleKey{}).(bool)
	return stale
}

// KindLedger has one object for each service. It lists the nodes that are homes
// of the service, that is, keep its idempotency keys.
const KindLedger = "kumquatlink.dev/v1/ledgers"

// KindHosts has one object for each node that is discovered through the store.
const KindHosts = "kumquatlink.dev/v1/hosts"

// KindConvictions has one object for each request that is refused because backend
// servers have crashed while they ran it.
const KindConvictions = "kumquatlink.dev/v1/convictions"

// KindConfiguration and NameConfiguration identify the single object that holds
// the configuration.
const (
	KindConfiguration = "kumquatlink.dev/v1/configurations"
	NameConfiguration = "fleet"
)

// ReadConfiguration reads the configuration and the version that the store
// assigned to its object.
func ReadConfiguration(ctx context.Context, c *Client) (kqclass.Configuration, string, error) {
	o, err := c.Get(ctx, KindConfiguration, NameConfiguration)
	if err != nil {
		return kqclass.Configuration{}, "", err
	}
	configuration, err := DecodeConfiguration(o)
	return configuration, o.Version, err
}

// DecodeConfiguration decodes the configuration from an object. Errors are
// marked [ErrMalformed].
func DecodeConfiguration(o Object) (kqclass.Configuration, error) {
	var configuration kqclass.Configuration
	if err := json.Unmarshal(o.Value, &configuration); err != nil {
		return configuration, errors.Mark(errors.Wrap(err, "decode configuration"), ErrMalformed)
	}
	return configuration, nil
}

// WriteConfiguration writes the configuration if version is that of the object
// in the store, and returns the object's new version.
func WriteConfiguration(ctx context.Context, c *Client, configuration kqclass.Configuration, version string) (string, error) {
	value, err := json.Marshal(configuration)
	if err != nil {
		return "", errors.Mark(errors.Wrap(err, "encode configuration"), ErrMalformed)
	}
	o, err := c.Put(ctx, KindConfiguration, Object{Name: NameConfiguration, Version: version, Value: value})
	return o.Version, err
}
