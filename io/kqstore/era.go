package kqstore

import (
	"cmp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// HeaderEra names the header in which a store states its era. The era rises with
// each restore from a copy, after which revisions are given out again.
const HeaderEra = "Store-Era"

// UnknownEra is the era of a store that states none.
const UnknownEra int64 = -1

// maxEarlierTime is how long answers of an earlier era are refused after the
// last one of the newest era. Replicas are behind by seconds; answers that go on
// for longer are those of another store.
const maxEarlierTime = 10 * time.Second

// Eras tracks the era that the answers of one store state. It is safe for
// concurrent use.
type Eras struct {
	now    func() time.Time
	mutex  sync.Mutex
	newest int64
	// statedAt is when an answer last stated the newest era.
	statedAt time.Time
}

// NewEras returns the Eras of a store that has not answered yet. now is the
// clock.
func NewEras(now func() time.Time) *Eras {
	return &Eras{now: now, newest: UnknownEra}
}

// Newest returns the era of the store, or [UnknownEra].
func (e *Eras) Newest() int64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.newest
}

// Record records the value of an answer's era header and returns the era of the
// answer. It returns an error marked [ErrExpired] if the answer is from before a
// restore that another answer has shown.
func (e *Eras) Record(header []byte) (int64, error) {
	era, err := strconv.ParseInt(string(header), 10, 64)
	if err != nil || era < 0 {
		return UnknownEra, nil
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.now()
	if era < e.newest && now.Sub(e.statedAt) < maxEarlierTime {
		return era, errors.Mark(errors.Newf("answer is of era %d of the store, which is in era %d", era, e.newest), ErrExpired)
	}
	e.newest, e.statedAt = era, now
	return era, nil
}

// RecordAnswer records the value of an answer's era header and returns the era of
// the answer, and an error if it must not be used: the one that its status stands
// for, or that it is from before a restore. A store that is not available has not
// answered, whatever its era.
func (e *Eras) RecordAnswer(header []byte, status error) (int64, error) {
	era, err := e.Record(header)
	if err != nil && !IsUnavailable(status) {
		return era, err
	}
	return era, status
}

// CheckEra returns an error marked [ErrExpired] if an answer to a call that goes on
// from one era is of another one. An unknown era matches every other.
func CheckEra(from, answered int64) error {
	if from == UnknownEra || answered == UnknownEra || from == answered {
		return nil
	}
	return errors.Mark(errors.Newf("the store was restored: its answer is of era %d and continues one of era %d", answered, from), ErrExpired)
}

// CheckWrite returns an error marked [ErrConflict] if a write on condition of that
// version must not be sent: its version is from before a restore, after which
// another change may have got the same revision.
func (e *Eras) CheckWrite(version string) error {
	era, _ := ParseVersion(version)
	return conflictOf(CheckEra(era, e.Newest()))
}

// CheckWritten returns an error marked [ErrConflict] if the answer to a write on
// condition of that version shows that the store was restored in between. The
// condition may then have matched another change.
func CheckWritten(version string, answered int64) error {
	era, _ := ParseVersion(version)
	return conflictOf(CheckEra(era, answered))
}

func conflictOf(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(errors.Newf("write on condition of a version from before a restore: %v", err), ErrConflict)
}

// FormatVersion returns the version of an object or of a whole store with that
// revision in an era.
func FormatVersion(era int64, revision string) string {
	if era == UnknownEra || revision == "" {
		return revision
	}
	return strconv.FormatInt(era, 10) + "/" + revision
}

// ParseVersion returns the era and the revision of a version.
func ParseVersion(version string) (int64, string) {
	prefix, revision, found := strings.Cut(version, "/")
	era, err := strconv.ParseInt(prefix, 10, 64)
	if !found || err != nil {
		return UnknownEra, version
	}
	return era, revision
}

// LaterVersion reports whether version a is later than b: by era, then by
// revision. A version whose revision is not a number is never later in the same
// era.
func LaterVersion(a, b string) bool {
	aEra, aText := ParseVersion(a)
	bEra, bText := ParseVersion(b)
	aRevision, aErr := strconv.ParseInt(aText, 10, 64)
	bRevision, bErr := strconv.ParseInt(bText, 10, 64)
	if aEra == bEra && (aErr != nil || bErr != nil) {
		return false
	}
	return cmp.Or(cmp.Compare(aEra, bEra), cmp.Compare(aRevision, bRevision)) > 0
}
