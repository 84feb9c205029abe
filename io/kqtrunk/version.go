package kqtrunk

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Versions of the frames. A node that says nothing has version 0.
const (
	// versionCutService is from when a [ClassCut] names its service.
	versionCutService = 1
	// versionSqueezed is from when heads may come squeezed.
	versionSqueezed = 2
	// versionNews is from when a peer may be sent news.
	versionNews = 3
	ownVersion  = versionNews
)

// ClassThreshold is the strictest cut behind a gate for a class. On the wire it is
// an array of three, or of four with a service; what stands behind those is
// left for later versions.
type ClassThreshold struct {
	Class    string
	Withheld uint64
	// Age is how long ago the gate that set the cut told of it, and Service
	// the service of that gate; it is empty when the peer does not tell.
	Age     time.Duration
	Service string
}

// cutWithoutService is a cut as nodes of version 0 write and read it.
type cutWithoutService struct {
	_        struct{} `cbor:",toarray"`
	Class    string
	Withheld uint64
	Age      time.Duration
}

type cutWithService struct {
	_        struct{} `cbor:",toarray"`
	Class    string
	Withheld uint64
	Age      time.Duration
	Service  string
}

// MarshalCBOR writes the shorter array for a cut without a service.
func (c ClassThreshold) MarshalCBOR() ([]byte, error) {
	if c.Service == "" {
		return cbor.Marshal(cutWithoutService{Class: c.Class, Withheld: c.Withheld, Age: c.Age})
	}
	return cbor.Marshal(cutWithService{Class: c.Class, Withheld: c.Withheld, Age: c.Age, Service: c.Service})
}

// UnmarshalCBOR reads a cut of any version.
func (c *ClassThreshold) UnmarshalCBOR(data []byte) error {
	var parts []cbor.RawMessage
	if err := cbor.Unmarshal(data, &parts); err != nil {
		return err
	}
	fields := []any{&c.Class, &c.Withheld, &c.Age, &c.Service}
	const required = 3
	if len(parts) < required {
		return errors.Newf("cut of %d fields, it has at least %d", len(parts), required)
	}
	*c = ClassThreshold{}
	for i, f := range fields[:min(len(parts), len(fields))] {
		if err := cbor.Unmarshal(parts[i], f); err != nil {
			return errors.Wrapf(err, "field %d of a cut", i)
		}
	}
	return nil
}

// forPeer gives the answer as a peer of the version can read it.
func (a AnswerHead) forPeer(version uint64) AnswerHead {
	if version >= versionCutService {
		return a
	}
	a.Load.Deep = slices.Clone(a.Load.Deep)
	for i := range a.Load.Deep {
		a.Load.Deep[i].Service = ""
	}
	return a
}
