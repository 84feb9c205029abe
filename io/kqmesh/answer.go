package kqmesh

import (
	"fmt"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"kumquatlink/core/kqanswer"
	"kumquatlink/core/kqcall"
	"kumquatlink/io/kqtrunk"
)

// rejectSpoiled returns the answer. If it is none that a backend server can have
// given, it returns the end of a call whose answer was lost: the status is none
// of a final answer, a field is malformed, or a success lacks the server's signature.
// Gates check their server's answers, and entries those of gates, which may be of a
// build that does not check them.
func (n *Node) rejectSpoiled(o *callAnswer) *callAnswer {
	if o.head.End.Outcome != kqcall.OutcomeRan {
		return o
	}
	spoiled := *o
	fieldErr := checkFields(o.head.Headers)
	switch {
	case !kqanswer.IsFinalStatus(o.head.Status):
		spoiled.detail = fmt.Sprintf("answer has the status %03d", o.head.Status)
	case fieldErr != nil:
		spoiled.detail = fieldErr.Error()
	case isSuccess(o.head.Status) && !n.isSigned(o.head.Headers):
		spoiled.detail = fmt.Sprintf("answer with status %d has no signature", o.head.Status)
	default:
		return o
	}
	spoiled.discard()
	spoiled.head.End = kqcall.Unknown(kqcall.CauseBackendLost)
	spoiled.head.Status, spoiled.head.Headers, spoiled.body = 0, nil, nil
	return &spoiled
}

// checkFields returns the error of the first malformed header.
func checkFields(headers []kqtrunk.Header) error {
	for _, h := range headers {
		if err := kqanswer.CheckField(h.Name, h.Value); err != nil {
			return err
		}
	}
	return nil
}

func isSuccess(status int) bool {
	return status >= fasthttp.StatusOK && status < fasthttp.StatusMultipleChoices
}

// isSigned reports whether the headers hold a backend server's signature, or
// servers don't sign their answers.
func (n *Node) isSigned(headers []kqtrunk.Header) bool {
	name := n.dialect.Headers.Signature
	return name == "" || slices.ContainsFunc(headers, func(h kqtrunk.Header) bool {
		return strings.EqualFold(h.Name, name) && h.Value != ""
	})
}
