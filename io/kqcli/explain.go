package kqcli

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqmember"
	"kumquatlink/io/kqnode"
	"kumquatlink/io/kqoperator"
	"kumquatlink/io/kqstory"
)

// formJSON is the output form for machines.
const formJSON = "json"

type explainCommand struct {
	RequestID string   `arg:"" optional:"" name:"request-id" help:"The request's ID, as in its answer. Without one, the logs' failures are summed up."`
	Node      []string `placeholder:"ADDRESS" help:"Operator address of the entry that the caller used; more may be named. The nodes that it chose are asked as well."`
	Log       []string `type:"existingfile" placeholder:"FILE" help:"Log of a node, or of many; more may be named. Nothing is asked of the nodes then."`
	Output    string   `enum:"text,json" default:"text" help:"Form of the output: ${enum}."`
}

// Help is the longer help of the command.
func (explainCommand) Help() string {
	return "With logs, nothing is asked of the nodes; without an ID, the failures in them are summed up.\n\nExample:\n\n  kumquatlink explain 0f1c --log entry.log --log gate.log"
}

// explained is what all nodes that were asked remember of a request.
type explained struct {
	RequestID string
	Nodes     []kqnode.Explanation
	// Silent lists the nodes that did not answer.
	Silent []string
}

// Run tells what became of a request.
func (k *explainCommand) Run(e *environment) error {
	switch {
	case len(k.Log) > 0:
		return k.explainLogs(e)
	case k.RequestID == "" || len(k.Node) == 0:
		return errors.Mark(errors.New("want a request's ID and --node, or --log"), ErrInput)
	}
	x := explain(e.ctx, k.RequestID, k.Node)
	if k.Output == formJSON {
		return writeJSON(e.output, x)
	}
	return writeExplained(e.output, x)
}

// explainLogs tells a request's story, or sums up failures, from logs alone.
func (k *explainCommand) explainLogs(e *environment) error {
	var lines []kqstory.Line
	for _, path := range k.Log {
		more, err := readLog(path)
		if err != nil {
			return errors.Mark(err, ErrInput)
		}
		lines = append(lines, more...)
	}
	switch {
	case k.RequestID == "" && k.Output == formJSON:
		return writeJSON(e.output, kqstory.CountFailures(lines))
	case k.RequestID == "":
		return kqstory.WriteSummary(e.output, kqstory.CountFailures(lines))
	case k.Output == formJSON:
		return writeJSON(e.output, kqstory.BuildTrace(lines, k.RequestID))
	}
	return kqstory.BuildTrace(lines, k.RequestID).Write(e.output)
}

func readLog(path string) ([]kqstory.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	defer func() { _ = f.Close() }()
	lines, _, err := kqstory.Read(f)
	return lines, err
}

// explain asks the nodes named, and those that the request was sent to.
func explain(ctx context.Context, requestID string, addresses []string) explained {
	x := explained{RequestID: requestID}
	asked := map[string]bool{}
	for len(addresses) > 0 {
		address := addresses[0]
		addresses = addresses[1:]
		if asked[address] {
			continue
		}
		asked[address] = true
		var answer kqnode.Explanation
		if err := kqoperator.GetJSON(ctx, address, kqnode.PathExplain+url.PathEscape(requestID), &answer); err != nil {
			x.Silent = append(x.Silent, address)
			continue
		}
		x.Nodes = append(x.Nodes, answer)
		status, err := kqoperator.Status(ctx, address)
		if err == nil {
			addresses = append(addresses, chosenAddresses(answer, status.Members)...)
		}
	}
	return x
}

// chosenAddresses gives the operator addresses of the nodes that a node chose.
func chosenAddresses(x kqnode.Explanation, members []kqmember.Record) []string {
	chosen := map[string]bool{}
	for _, d := range x.Decisions {
		chosen[d.Chosen] = true
	}
	var addresses []string
	for _, m := range members {
		if chosen[m.NodeID] && m.OperatorAddress != "" {
			addresses = append(addresses, m.OperatorAddress)
		}
	}
	return addresses
}

func writeExplained(w io.Writer, x explained) error {
	_, err := fmt.Fprintf(w, "request %s\n", x.RequestID)
	for _, n := range x.Nodes {
		_, _ = fmt.Fprintf(w, "node %s in %s", n.NodeID, n.FailureDomain)
		if len(n.Decisions) == 0 {
			_, _ = fmt.Fprintf(w, " remembers nothing of it (its memory goes back to %s)\n", n.Since.Format(time.RFC3339))
			continue
		}
		_, _ = fmt.Fprintln(w, ":")
		for _, d := range n.Decisions {
			_, _ = fmt.Fprintf(w, "  %s %s\n", d.At.UTC().Format("15:04:05.000"), sentence(d))
		}
	}
	for _, s := range x.Silent {
		_, _ = fmt.Fprintf(w, "node at %s did not answer\n", s)
	}
	return errors.Wrap(err, "write explanation")
}

// outcomeWords say what an outcome means.
var outcomeWords = map[kqcall.Outcome]string{
	kqcall.OutcomeRan:     "it ran",
	kqcall.OutcomeNotRun:  "it was not run",
	kqcall.OutcomeUnknown: "it may have run",
}

// sentence gives a decision in words.
func sentence(d kqnode.RecordedDecision) string {
	end := fmt.Sprintf("%s (%s)", outcomeWords[kqcall.Outcome(d.Outcome)], d.Cause)
	switch d.Decision.Decision {
	case "Route":
		text := fmt.Sprintf("sent the call of %s to %s: %s", d.Service, d.Chosen, end)
		if len(d.Others) > 0 {
			text += ", rather than " + strings.Join(d.Others, ", ")
		}
		return text
	case "Home":
		return fmt.Sprintf("asked %s, the home of the call's key: %s", d.Chosen, end)
	case "Admit":
		return fmt.Sprintf("gate of %s, class %s: %s", d.Service, d.Class, end)
	case "Answer":
		return fmt.Sprintf("answered the call of %s after %s: %s", d.Service, d.Took.Round(time.Microsecond), end)
	default:
		return fmt.Sprintf("%s %s: %s", d.Decision.Decision, d.Chosen, end)
	}
}
