package kqstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqconfig"
)

// settlePause is how long a change waits before it reads again to find out
// what became of a write whose answer was lost.
const settlePause = 200 * time.Millisecond

// ErrSuperseded marks changes that lost against another operator's.
var ErrSuperseded = errors.New("another change was accepted first")

// ErrUnknownResult marks changes of which it could not be found out in time
// whether they were accepted.
var ErrUnknownResult = errors.New("it is not known whether the change was accepted")

// SupersededError shows the configuration that won.
type SupersededError struct {
	Winner kqclass.Configuration
}

// Error names the version that won.
func (e *SupersededError) Error() string {
	return errors.Newf("another change was accepted first: version %d (change %s) is in force", e.Winner.Version, e.Winner.ChangeID).Error()
}

// Is makes errors.Is find ErrSuperseded.
func (e *SupersededError) Is(target error) bool {
	return target == ErrSuperseded
}

// ChangeRequest is one change of the configuration.
type ChangeRequest struct {
	Edit kqconfig.Edit
	// ChangeID identifies the change.
	ChangeID string
	// IfVersion is the version that the operator saw, or 0 for any.
	IfVersion int64
	// InForce is a configuration that the fleet is known to have in force: when
	// the store was restored from an older copy, the change goes on from it.
	InForce kqclass.Configuration
}

// Change makes one conditional write and settles it: when the answer is lost,
// the store is read until it is certain whether the write took effect. It is
// repeated only after a read has shown that it did not.
func Change(ctx context.Context, c *Client, request ChangeRequest) (kqclass.Configuration, error) {
	base, version, err := readOrEmpty(ctx, c)
	if err != nil {
		return kqclass.Configuration{}, err
	}
	if request.InForce.Version > base.Version {
		base = request.InForce
	}
	if request.IfVersion != 0 && request.IfVersion != base.Version {
		return kqclass.Configuration{}, &SupersededError{Winner: base}
	}
	next, err := kqconfig.Apply(base, request.Edit, request.ChangeID)
	if err != nil {
		return kqclass.Configuration{}, err
	}
	for {
		_, err = WriteConfiguration(ctx, c, next, version)
		if err == nil {
			return next, nil
		}
		if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrConflict) {
			return kqclass.Configuration{}, err
		}
		stored, settlement, err := settle(ctx, c, next)
		if err != nil {
			return kqclass.Configuration{}, err
		}
		switch settlement {
		case kqconfig.WriteAccepted:
			return next, nil
		case kqconfig.WriteSuperseded:
			return kqclass.Configuration{}, &SupersededError{Winner: stored}
		case kqconfig.WriteUnknown:
			return kqclass.Configuration{}, errors.Mark(errors.Newf("version %d is in the store, whose history no longer reaches back to this change", stored.Version), ErrUnknownResult)
		}
	}
}

// readOrEmpty reads the configuration; one that was never written is empty.
func readOrEmpty(ctx context.Context, c *Client) (kqclass.Configuration, string, error) {
	configuration, version, err := ReadConfiguration(ctx, c)
	if errors.Is(err, ErrNotFound) {
		return kqclass.Configuration{}, "", nil
	}
	return configuration, version, err
}

// settle reads until the store answers.
func settle(ctx context.Context, c *Client, written kqclass.Configuration) (kqclass.Configuration, kqconfig.WriteResult, error) {
	for {
		stored, _, err := readOrEmpty(ctx, c)
		if err == nil {
			return stored, kqconfig.ResolveWrite(written, stored), nil
		}
		select {
		case <-time.After(settlePause):
		case <-ctx.Done():
			return kqclass.Configuration{}, "", errors.Mark(errors.Wrap(err, "settle the change"), ErrUnknownResult)
		}
	}
}
