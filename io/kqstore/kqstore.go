// Package kqstore is the client of the platform's object API.
//
// # Usage
//
//	client := kqstore.NewHTTP("127.0.0.1:7000")
//	configuration, version, err := kqstore.ReadConfiguration(ctx, client)
//
// [Client] is a concrete type whose function fields are the calls of the API,
// so that another platform is one more constructor.
package kqstore

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqclass"
)

// Errors of this package.
var (
	// ErrNotFound marks reads of an object that is not there.
	ErrNotFound = errors.New("object is not in the store")
	// ErrConflict marks conditional writes of a version that has passed.
	ErrConflict = errors.New("object has changed since it was read")
	// ErrUnavailable marks calls that the store did not answer.
	ErrUnavailable = errors.New("store is not available")
	// ErrExpired marks watches from a version that is too old.
	ErrExpired = errors.New("version is too old to watch from")
	// ErrMalformed marks answers that can't be read.
	ErrMalformed = errors.New("answer of the store is malformed")
)

// IsUnavailable is whether an error means that the store did not answer, rather than
// that it answered with a refusal.
func IsUnavailable(err error) bool {
	return errors.Is(err, ErrUnavailable)
}

// Object is a named value with the version that the store gave it.
type Object struct {
	Name    string
	Version string
	Value   json.RawMessage
	// Deleted is whether a watch tells that the object is no longer there.
	Deleted bool
}

// Client holds the calls of the object API.
type Client struct {
	// Get reads one object.
	Get func(ctx context.Context, kind, name string) (Object, error)
	// Put writes an object if its version is still the one given; an empty
	// version writes only an object that is not there.
	Put func(ctx context.Context, kind string, object Object) (Object, error)
	// List reads all objects of a kind, and the version from which a watch of
	// the kind goes on.
	List func(ctx context.Context, kind string) ([]Object, string, error)
	// Delete removes an object if its version is still the one given.
	Delete func(ctx context.Context, kind string, object Object) error
	// Watch, for one object or with an empty name for the whole kind, calls
	// take for every change behind the version, until ctx ends,
	// the watch breaks, or take fails.
	Watch func(ctx context.Context, kind, name, version string, take func(Object) error) error
}

// staleKey is under which a context says that data may be stale.
type staleKey struct{}

// AllowStale gives a context for reads that may tell data which are some
// seconds old, where the store answers those at less cost.
func AllowStale(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

// MayBeStale is whether the context allows data that are some seconds old.
func MayBeStale(ctx context.Context) bool {
	stale, _ := ctx.Value(staleKey{}).(bool)
	return stale
}

// KindLedger holds one object a service, which says which nodes are the homes
// of idempotency keys.
const KindLedger = "kumquatlink.dev/v1/ledgers"

// KindHosts holds one object for each node that is found through the store.
const KindHosts = "kumquatlink.dev/v1/hosts"

// The one object that holds the configuration.
const (
	KindConfiguration = "kumquatlink.dev/v1/configurations"
	NameConfiguration = "fleet"
)

// ReadConfiguration reads the configuration and the store's version of it.
func ReadConfiguration(ctx context.Context, c *Client) (kqclass.Configuration, string, error) {
	o, err := c.Get(ctx, KindConfiguration, NameConfiguration)
	if err != nil {
		return kqclass.Configuration{}, "", err
	}
	configuration, err := DecodeConfiguration(o)
	return configuration, o.Version, err
}

// DecodeConfiguration reads the configuration that an object holds.
func DecodeConfiguration(o Object) (kqclass.Configuration, error) {
	var configuration kqclass.Configuration
	if err := json.Unmarshal(o.Value, &configuration); err != nil {
		return configuration, errors.Mark(errors.Wrap(err, "read configuration"), ErrMalformed)
	}
	return configuration, nil
}

// WriteConfiguration writes the configuration if the store still holds the
// version given.
func WriteConfiguration(ctx context.Context, c *Client, configuration kqclass.Configuration, version string) (string, error) {
	value, err := json.Marshal(configuration)
	if err != nil {
		return "", errors.Mark(errors.Wrap(err, "write configuration"), ErrMalformed)
	}
	o, err := c.Put(ctx, KindConfiguration, Object{Name: NameConfiguration, Version: version, Value: value})
	return o.Version, err
}
