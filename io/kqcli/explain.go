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

// outputJSON is the value of --output for JSON.
const outputJSON = "json"

type explainCommand struct {
	RequestID string   `arg:"" optional:"" name:"request-id" help:"ID of the request, as in its answer. Without it, the failures in the logs are counted."`
	Node      []string `placeholder:"ADDRESS" help:"Operator address of the node that the caller sent the request to; may be given several times. The nodes that it chose are queried as well."`
	Log       []string `type:"existingfile" placeholder:"FILE" help:"File with the log of one or more nodes; may be given several times. Then no node is queried."`
	Output    string   `enum:"text,json" default:"text" help:"Format of the output: ${enum}."`
}

// Help returns the longer help of the command.
func (explainCommand) Help() string {
	return "With logs, no node is queried. Without a request ID, the failures in the logs are counted.\n\nExample:\n\n  kumquatlink explain 0f1c --log entry.log --log gate.log"
}

// explanation holds the decisions about a request that the queried nodes have
// recorded. It is the JSON output of explain.
type explanation struct {
	RequestID string
	Nodes     []kqnode.Explanation
	// Silent holds the operator addresses of the nodes that did not answer.
	Silent []string
}

// Run explains the outcome of a request from logs or, without them, from the
// recorded decisions of running nodes.
func (k *explainCommand) Run(e *environment) error {
	switch {
	case len(k.Log) > 0:
		return k.explainLogs(e)
	case k.RequestID == "" || len(k.Node) == 0:
		return errors.Mark(errors.New("a request ID with --node is required, or --log"), ErrInput)
	}
	x := queryNodes(e.ctx, k.RequestID, k.Node)
	if k.Output == outputJSON {
		return writeJSON(e.output, x)
	}
	return writeExplanation(e.output, x)
}

// explainLogs prints the trace of a request from logs or, without a request ID,
// counts the failures in them.
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
	case k.RequestID == "" && k.Output == outputJSON:
		return writeJSON(e.output, kqstory.CountFailures(lines))
	case k.RequestID == "":
		return kqstory.WriteSummary(e.output, kqstory.CountFailures(lines))
	case k.Output == outputJSON:
		return writeJSON(e.output, kqstory.BuildTrace(lines, k.RequestID))
	}
	return kqstory.BuildTrace(lines, k.RequestID).Write(e.output)
}

// readLog reads the lines of a log file that tell of requests.
func readLog(path string) ([]kqstory.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	defer func() { _ = f.Close() }()
	lines, _, err := kqstory.Read(f)
	return lines, err
}

// queryNodes collects the decisions about a request from the nodes at the given
// operator addresses, and then from all nodes that these chose for it.
func queryNodes(ctx context.Context, requestID string, addresses []string) explanation {
	x := explanation{RequestID: requestID}
	queried := map[string]bool{}
	for len(addresses) > 0 {
		address := addresses[0]
		addresses = addresses[1:]
		if queried[address] {
			continue
		}
		queried[address] = true
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

// chosenAddresses returns the operator addresses of the nodes that a node chose
// for its calls.
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

// writeExplanation writes an explanation as text.
func writeExplanation(w io.Writer, x explanation) error {
	_, err := fmt.Fprintf(w, "request %s\n", x.RequestID)
	for _, n := range x.Nodes {
		_, _ = fmt.Fprintf(w, "node %s in %s", n.NodeID, n.FailureDomain)
		if len(n.Decisions) == 0 {
			_, _ = fmt.Fprintf(w, " remembers nothing of it (its memory goes back to %s)\n", n.Since.Format(time.RFC3339))
			continue
		}
		_, _ = fmt.Fprintln(w, ":")
		for _, d := range n.Decisions {
			_, _ = fmt.Fprintf(w, "  %s %s\n", d.At.UTC().Format("15:04:05.000"), describeDecision(d))
		}
	}
	for _, s := range x.Silent {
		_, _ = fmt.Fprintf(w, "node at %s did not answer\n", s)
	}
	return errors.Wrap(err, "write explanation")
}

// outcomeTexts holds a description of each outcome.
var outcomeTexts = map[kqcall.Outcome]string{
	kqcall.OutcomeRan:     "it ran",
	kqcall.OutcomeNotRun:  "it was not run",
	kqcall.OutcomeUnknown: "it may have run",
}

// describeDecision returns a decision as text.
func describeDecision(d kqnode.RecordedDecision) string {
	end := fmt.Sprintf("%s (%s)", outcomeTexts[kqcall.Outcome(d.Outcome)], d.Cause)
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
