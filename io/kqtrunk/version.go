package kqtrunk

import (
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Versions of the frames. A node that advertises none has version 0.
const (
	// versionThresholdService is the first with [ClassThreshold.Service].
	versionThresholdService = 1
	// versionCompression is the first in which heads may be compressed.
	versionCompression = 2
	// versionUpdate is the first in which a peer accepts updates.
	versionUpdate = 3
	// versionRateLimit is the first of nodes whose gate holds the limit on
	// requests a second that its backend server names, and that report
	// [Load.LimitWithheld].
	versionRateLimit = 4
	// versionBytes is the first of nodes that decode heads with bytes that are not
	// UTF-8. Earlier ones close the connection.
	versionBytes = 5
	// versionOrder is the first in which heads carry [CallHead.Order].
	versionOrder = 6
	// versionOffer is the first in which long answers are offered before they are sent.
	versionOffer = 7
	// versionHandBack is the first in which heads carry [CallHead.HandBack].
	versionHandBack = 8
	ownVersion      = versionHandBack
)

// orderHeader is the name of the element of CallHead.Headers that carries
// CallHead.Order. No header field has an empty name.
const orderHeader = ""

// orderBase is the base of the number in that element, and handBackMark follows the
// number if CallHead.HandBack is set.
const (
	orderBase    = 36
	handBackMark = "+"
)

// limitClass is the class of the element of Load.Deep that carries
// Load.LimitWithheld. No class of work has an empty name.
const limitClass = ""

// ClassThreshold is the strictest admission threshold for a class among the
// services further down the call chain than a gate. On the wire it is an array of
// three elements, or of four with a service. Readers ignore further elements, so
// that later versions can add some.
type ClassThreshold struct {
	Class string
	// Withheld is the threshold, encoded as by kqadmit.Level.Withheld.
	Withheld uint64
	// Age is how long ago the gate that set the threshold reported it. Service is
	// the service of that gate, empty if the peer does not report it.
	Age     time.Duration
	Service string
}

// thresholdWithoutService is the wire format of version 0.
type thresholdWithoutService struct {
	_        struct{} `cbor:",toarray"`
	Class    string
	Withheld uint64
	Age      time.Duration
}

// thresholdWithService is the wire format from versionThresholdService on.
type thresholdWithService struct {
	_        struct{} `cbor:",toarray"`
	Class    string
	Withheld uint64
	Age      time.Duration
	Service  string
}

// MarshalCBOR encodes the threshold, as the array of three elements if it has no
// service.
func (c ClassThreshold) MarshalCBOR() ([]byte, error) {
	if c.Service == "" {
		return cbor.Marshal(thresholdWithoutService{Class: c.Class, Withheld: c.Withheld, Age: c.Age})
	}
	return cbor.Marshal(thresholdWithService{Class: c.Class, Withheld: c.Withheld, Age: c.Age, Service: c.Service})
}

// UnmarshalCBOR decodes a threshold of any version.
func (c *ClassThreshold) UnmarshalCBOR(data []byte) error {
	var parts []cbor.RawMessage
	if err := cbor.Unmarshal(data, &parts); err != nil {
		return err
	}
	fields := []any{&c.Class, &c.Withheld, &c.Age, &c.Service}
	const required = 3
	if len(parts) < required {
		return errors.Newf("threshold of %d elements, at least %d are required", len(parts), required)
	}
	*c = ClassThreshold{}
	for i, f := range fields[:min(len(parts), len(fields))] {
		if err := cbor.Unmarshal(parts[i], f); err != nil {
			return errors.Wrapf(err, "element %d of a threshold", i)
		}
	}
	return nil
}

// isDecodable reports whether a peer of the version can decode the call's head.
func (h CallHead) isDecodable(version uint64) bool {
	if version >= versionBytes {
		return true
	}
	texts := []string{h.RequestID, h.Root, h.Class, h.Route, h.Service, h.From, h.Method, h.Path, h.Host}
	for _, f := range h.Headers {
		texts = append(texts, f.Name, f.Value)
	}
	return !slices.ContainsFunc(texts, func(text string) bool { return !utf8.ValidString(text) })
}

// forVersion returns the call's head as it is encoded for a peer of the version.
func (h CallHead) forVersion(version uint64) CallHead {
	mark := ""
	if h.HandBack && version >= versionHandBack {
		mark = handBackMark
	}
	if version >= versionOrder && (h.Order != 0 || mark != "") {
		h.Headers = append(slices.Clone(h.Headers), Header{Name: orderHeader, Value: strconv.FormatUint(uint64(h.Order), orderBase) + mark})
	}
	return h
}

// decoded reverses forVersion. An order that is not a number counts as none.
func (h CallHead) decoded() CallHead {
	last := len(h.Headers) - 1
	if last < 0 || h.Headers[last].Name != orderHeader {
		return h
	}
	text, handBack := strings.CutSuffix(h.Headers[last].Value, handBackMark)
	h.HandBack = handBack
	order, err := strconv.ParseUint(text, orderBase, 32)
	if err == nil {
		h.Order = uint32(order)
	}
	h.Headers = h.Headers[:last]
	return h
}

// forVersion returns the answer as it is encoded for a peer of the version,
// without what such a peer can't decode.
func (a AnswerHead) forVersion(version uint64) AnswerHead {
	if version >= versionRateLimit && a.Load.LimitWithheld > 0 {
		a.Load.Deep = append(slices.Clone(a.Load.Deep), ClassThreshold{Class: limitClass, Withheld: a.Load.LimitWithheld})
	}
	if version >= versionThresholdService {
		return a
	}
	a.Load.Deep = slices.Clone(a.Load.Deep)
	for i := range a.Load.Deep {
		a.Load.Deep[i].Service = ""
	}
	return a
}

// decoded reverses forVersion.
func (a AnswerHead) decoded() AnswerHead {
	i := slices.IndexFunc(a.Load.Deep, func(c ClassThreshold) bool { return c.Class == limitClass })
	if i < 0 {
		return a
	}
	a.Load.LimitWithheld = a.Load.Deep[i].Withheld
	a.Load.Deep = slices.Delete(a.Load.Deep, i, i+1)
	return a
}
