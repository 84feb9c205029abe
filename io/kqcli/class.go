package kqcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"kumquatlink/core/kqclass"
	"kumquatlink/core/kqconfig"
	"kumquatlink/io/kqoperator"
	"kumquatlink/io/kqstore"
)

// Timeouts of the class commands.
const (
	// changeTimeout bounds a read or a change of the configuration in the store.
	changeTimeout = 15 * time.Second
	// inForceTimeout bounds the wait until a change is in force on all nodes.
	inForceTimeout = 4 * time.Second
)

type classCommand struct {
	List   classListCommand   `cmd:"" help:"List the classes and their targets."`
	Get    classGetCommand    `cmd:"" help:"Show one class."`
	Set    classSetCommand    `cmd:"" help:"Add or change a class."`
	Delete classDeleteCommand `cmd:"" help:"Delete a class."`
}

// storeFlags holds the address of the store with the configuration, and the form
// of the output.
type storeFlags struct {
	Store  string `required:"" placeholder:"ADDRESS" help:"Address of the object API, such as 127.0.0.1:7000."`
	Output string `enum:"text,json" default:"text" help:"Format of the output: ${enum}."`
}

// changeFlags holds the flags of the commands that change the configuration.
type changeFlags struct {
	Node      string `placeholder:"ADDRESS" help:"Operator address of any node. With it, the command waits for the change to take effect and reports on which nodes it is in force."`
	IfVersion int64  `placeholder:"N" help:"Make the change only if the configuration is at version N."`
}

type classListCommand struct {
	storeFlags
}

// Help returns the longer help of the command.
func (classListCommand) Help() string {
	return "Example:\n\n  kumquatlink class list --store 127.0.0.1:7000 --output json"
}

// Run lists the classes.
func (k *classListCommand) Run(e *environment) error {
	configuration, err := readConfiguration(e, k.Store)
	if err != nil {
		return err
	}
	if k.Output == "json" {
		return writeJSON(e.output, configuration)
	}
	return writeClasses(e.output, configuration, configuration.Classes)
}

type classGetCommand struct {
	storeFlags
	Name string `arg:"" help:"Name of the class."`
}

// Help returns the longer help of the command.
func (classGetCommand) Help() string {
	return "Example:\n\n  kumquatlink class get --store 127.0.0.1:7000 purchase"
}

// Run shows one class.
func (k *classGetCommand) Run(e *environment) error {
	configuration, err := readConfiguration(e, k.Store)
	if err != nil {
		return err
	}
	for _, c := range configuration.Classes {
		if c.Name != k.Name {
			continue
		}
		if k.Output == "json" {
			return writeJSON(e.output, c)
		}
		return writeClasses(e.output, configuration, []kqclass.Class{c})
	}
	return errors.Mark(errors.Newf("there is no class %q", k.Name), ErrInput)
}

type classSetCommand struct {
	storeFlags
	changeFlags
	Name     string        `arg:"" help:"Name of the class."`
	Complete float64       `required:"" placeholder:"PERCENT" help:"Percentage of requests that must complete, such as 99.9."`
	Within   time.Duration `required:"" placeholder:"DURATION" help:"Time in which a request must complete, such as 800ms."`
	RunOnce  bool          `help:"Requests must not run more than once, such as purchases."`
	Services []string      `placeholder:"NAME" help:"Services whose calls belong to the class when the caller names none."`
}

// Help returns the longer help of the command.
func (classSetCommand) Help() string {
	return "Nothing is written if the changed configuration would be invalid. If another operator\nchanged the configuration first, the command fails and shows the version in the store.\n\nExample:\n\n  kumquatlink class set --store 127.0.0.1:7000 --node 127.0.0.1:9000 --complete 99.9 --within 2s --run-once purchase"
}

// Run adds or changes a class.
func (k *classSetCommand) Run(e *environment) error {
	class := kqclass.Class{
		Name: k.Name, RunOnce: k.RunOnce, Services: k.Services,
		Target: kqclass.Target{Complete: k.Complete, Within: kqclass.Duration(k.Within)},
	}
	return changeClasses(e, k.storeFlags, k.changeFlags, kqconfig.Edit{Set: &class})
}

type classDeleteCommand struct {
	storeFlags
	changeFlags
	Name string `arg:"" help:"Name of the class."`
}

// Help returns the longer help of the command.
func (classDeleteCommand) Help() string {
	return "Example:\n\n  kumquatlink class delete --store 127.0.0.1:7000 browse"
}

// Run deletes a class.
func (k *classDeleteCommand) Run(e *environment) error {
	return changeClasses(e, k.storeFlags, k.changeFlags, kqconfig.Edit{Delete: k.Name})
}

// changeReport is the JSON output of a change.
type changeReport struct {
	Version  int64
	ChangeID string
	// InForce is nil if the --node flag was not given.
	InForce *kqoperator.Report `json:",omitempty"`
}

// changeClasses writes an edit to the store. With --node it also waits and reports
// on which nodes the new version is in force.
func changeClasses(e *environment, s storeFlags, c changeFlags, edit kqconfig.Edit) error {
	ctx, cancel := context.WithTimeout(e.ctx, changeTimeout)
	defer cancel()
	request := kqstore.ChangeRequest{Edit: edit, ChangeID: uuid.NewString(), IfVersion: c.IfVersion}
	if c.Node != "" {
		inForce, err := kqoperator.Configuration(ctx, c.Node)
		if err != nil {
			return err
		}
		request.InForce = inForce
	}
	accepted, err := kqstore.Change(ctx, kqstore.NewHTTP(s.Store), request)
	if err != nil {
		return changeError(err)
	}
	report := changeReport{Version: accepted.Version, ChangeID: accepted.ChangeID}
	if c.Node != "" {
		inForce, err := waitInForce(e.ctx, c.Node, accepted.Version)
		if err != nil {
			return errors.Wrapf(err, "version %d was accepted, but the nodes on which it is in force could not be determined", accepted.Version)
		}
		report.InForce = &inForce
	}
	if s.Output == "json" {
		return writeJSON(e.output, report)
	}
	_, _ = fmt.Fprintf(e.output, "version %d was accepted (change %s)\n", report.Version, report.ChangeID)
	if report.InForce != nil {
		_, _ = fmt.Fprint(e.output, report.InForce.String())
	}
	return nil
}

// waitInForce waits until a version is in force on all members that a node knows,
// at most for inForceTimeout, and reports where it is.
func waitInForce(ctx context.Context, node string, version int64) (kqoperator.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	status, err := kqoperator.Status(ctx, node)
	if err != nil {
		return kqoperator.Report{}, err
	}
	return kqoperator.WaitInForce(ctx, status.Members, version)
}

// changeError marks invalid edits with ErrInput. After a conflict with another
// change it tells the operator how to make the change again.
func changeError(err error) error {
	var superseded *kqstore.SupersededError
	if errors.As(err, &superseded) {
		return errors.Newf("%v; show it with 'class list' and repeat the change with --if-version %d", superseded, superseded.Winner.Version)
	}
	if errors.Is(err, kqconfig.ErrFaulty) || errors.Is(err, kqconfig.ErrNoClass) {
		return errors.Mark(err, ErrInput)
	}
	return err
}

// readConfiguration reads the configuration from a store. It is empty if the store
// has none.
func readConfiguration(e *environment, store string) (kqclass.Configuration, error) {
	ctx, cancel := context.WithTimeout(e.ctx, changeTimeout)
	defer cancel()
	configuration, _, err := kqstore.ReadConfiguration(ctx, kqstore.NewHTTP(store))
	if errors.Is(err, kqstore.ErrNotFound) {
		return kqclass.Configuration{}, nil
	}
	return configuration, err
}

func writeJSON(w io.Writer, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrap(err, "write JSON")
	}
	_, err = fmt.Fprintf(w, "%s\n", data)
	return errors.Wrap(err, "write JSON")
}

func writeClasses(w io.Writer, configuration kqclass.Configuration, classes []kqclass.Class) error {
	_, _ = fmt.Fprintf(w, "configuration version %d\n", configuration.Version)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "NAME\tRANK\tCOMPLETE\tWITHIN\tRUN ONCE\tSERVICES")
	ranks := kqclass.NewTable(configuration)
	for _, c := range classes {
		rule, _ := ranks.Find(c.Name)
		_, _ = fmt.Fprintf(table, "%s\t%d\t%v%%\t%s\t%t\t%s\n", c.Name, rule.Rank, c.Target.Complete, time.Duration(c.Target.Within), c.RunOnce, strings.Join(c.Services, ","))
	}
	return errors.Wrap(table.Flush(), "write classes")
}
