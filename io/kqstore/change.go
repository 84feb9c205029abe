package kqstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqconfig"
)

// resolveRetryDelay is the delay between reads that determine the result of a
// write whose answer was lost.
const resolveRetryDelay = 200 * time.Millisecond

// ErrSuperseded marks changes that were rejected because a concurrent change
// was accepted first.
var ErrSuperseded = errors.New("another change was accepted first")

// ErrUnknownResult marks changes for which it could not be determined in time
// whether the store accepted them.
var ErrUnknownResult = errors.New("result of the change is unknown: it may have been accepted")

// SupersededError reports that a concurrent change was accepted first. It
// matches [ErrSuperseded].
type SupersededError struct {
	// Winner is the configuration that is in force instead.
	Winner kqclass.Configuration
}

// Error returns a message with the version and the change ID of the accepted
// change.
func (e *SupersededError) Error() string {
	return errors.Newf("another change was accepted first: version %d (change %s) is in force", e.Winner.Version, e.Winner.ChangeID).Error()
}

// Is reports whether target is [ErrSuperseded], for errors.Is.
func (e *SupersededError) Is(target error) bool {
	return target == ErrSuperseded
}

// ChangeRequest describes one change of the configuration.
type ChangeRequest struct {
	// Edit is applied to the current configuration.
	Edit kqconfig.Edit
	// ChangeID identifies the change. It tells this write from a concurrent one
	// after a lost answer, so it must be unique.
	ChangeID string
	// IfVersion is the version that the change requires the configuration to
	// have, or 0 for any.
	IfVersion int64
	// InForce is a configuration that the nodes are known to use, or empty. The
	// change is based on it if it is newer than the stored one, as after a
	// restore of the store from an older backup.
	InForce kqclass.Configuration
}

// Change applies an edit to the configuration with a conditional write and
// returns the accepted configuration. If the write conflicts or its answer is
// lost, Change reads the store until it answers, to determine whether the write
// took effect, and writes again only after a read has shown that it did not. That
// write is on condition of what was read, since the store may have been restored
// from a copy and never hold the former version again.
//
// It returns a [SupersededError] if another change was accepted first or
// IfVersion does not match, an error marked [ErrUnknownResult] if ctx ends
// before the result is known or the stored history no longer covers the
// change, and otherwise the error of the edit or of the store.
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
		var stored kqclass.Configuration
		var result kqconfig.WriteResult
		stored, version, result, err = awaitWriteResult(ctx, c, next)
		if err != nil {
			return kqclass.Configuration{}, err
		}
		switch result {
		case kqconfig.WriteAccepted:
			return next, nil
		case kqconfig.WriteSuperseded:
			return kqclass.Configuration{}, &SupersededError{Winner: stored}
		case kqconfig.WriteUnknown:
			return kqclass.Configuration{}, errors.Mark(errors.Newf("stored version %d is too far from version %d of this change: no history covers both", stored.Version, next.Version), ErrUnknownResult)
		}
	}
}

// readOrEmpty reads the configuration and its version in the store. Both are
// empty if the configuration was never written.
func readOrEmpty(ctx context.Context, c *Client) (kqclass.Configuration, string, error) {
	configuration, version, err := ReadConfiguration(ctx, c)
	if errors.Is(err, ErrNotFound) {
		return kqclass.Configuration{}, "", nil
	}
	return configuration, version, err
}

// awaitWriteResult reads the configuration until the store answers, and returns
// it and its version in the store with the result of the write.
func awaitWriteResult(ctx context.Context, c *Client, written kqclass.Configuration) (kqclass.Configuration, string, kqconfig.WriteResult, error) {
	for {
		stored, version, err := readOrEmpty(ctx, c)
		if err == nil {
			return stored, version, kqconfig.ResolveWrite(written, stored), nil
		}
		select {
		case <-time.After(resolveRetryDelay):
		case <-ctx.Done():
			return kqclass.Configuration{}, "", "", errors.Mark(errors.Wrap(err, "read the result of the change"), ErrUnknownResult)
		}
	}
}
