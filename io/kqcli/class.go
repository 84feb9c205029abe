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

// Times of a change.
const (
	changeTimeout  = 15 * time.Second
	inForceTimeout = 4 * time.Second
)

type classCommand struct {
	List   classListCommand   `cmd:"" help:"List the classes and their targets."`
	Get    classGetCommand    `cmd:"" help:"Show one class."`
	Set    classSetCommand    `cmd:"" help:"Add or change a class."`
	Delete classDeleteCommand `cmd:"" help:"Delete a class."`
}

// storeFlags say where the configuration is.
type storeFlags struct {
	Store  string `required:"" placeholder:"ADDRESS" help:"Address of the object API, such as 127.0.0.1:7000."`
	Output string `enum:"text,json" default:"text" help:"Form of the output: ${enum}."`
}

// changeFlags say how a change is made.
type changeFlags struct {
	Node      string `placeholder:"ADDRESS" help:"Operator address of any node; with it the command waits and reports where the change is in force."`
	IfVersion int64  `placeholder:"N" help:"Change only version N of the configuration."`
}

type classListCommand struct {
	storeFlags
}

// Help is the longer help of the command.
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

// Help is the longer help of the command.
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
	Complete float64       `required:"" placeholder:"PERCENT" help:"How much of the class must complete, such as 99.9."`
	Within   time.Duration `required:"" placeholder:"DURATION" help:"How quickly a request must complete, such as 800ms."`
	RunOnce  bool          `help:"The work must not be repeated, as a purchase."`
	Services []string      `placeholder:"NAME" help:"Services whose calls belong to the class when the caller names none."`
}

// Help is the longer help of the command.
func (classSetCommand) Help() string {
	return "Nothing is written unless the configuration has no faults afterwards. When another\noperator was first, the command fails and shows the version that won.\n\nExample:\n\n  kumquatlink class set --store 127.0.0.1:7000 --node 127.0.0.1:9000 --complete 99.9 --within 2s --run-once purchase"
}

// Run adds or changes a class.
func (k *classSetCommand) Run(e *environment) error {
	class := kqclass.Class{
		Name: k.Name, RunOnce: k.RunOnce, Services: k.Services,
		Target: kqclass.Target{Complete: k.Complete, Within: kqclass.Duration(k.Within)},
	}
	return change(e, k.storeFlags, k.changeFlags, kqconfig.Edit{Set: &class})
}

type classDeleteCommand struct {
	storeFlags
	changeFlags
	Name string `arg:"" help:"Name of the class."`
}

// Help is the longer help of the command.
func (classDeleteCommand) Help() string {
	return "Example:\n\n  kumquatlink class delete --store 127.0.0.1:7000 browse"
}

// Run deletes a class.
func (k *classDeleteCommand) Run(e *environment) error {
	return change(e, k.storeFlags, k.changeFlags, kqconfig.Edit{Delete: k.Name})
}

// changeReport is what a change prints as JSON.
type changeReport struct {
	Version  int64
	ChangeID string
	// InForce is nil when no node was named.
	InForce *kqoperator.Report `json:",omitempty"`
}

// change makes a change, and reports where it is in force.
func change(e *environment, s storeFlags, c changeFlags, edit kqconfig.Edit) error {
	ctx, cancel := context.WithTimeout(e.ctx, changeTimeout)
	defer cancel()
	request := kqstore.ChangeRequest{Edit: edit, ChangeID: uuid.NewString(), IfVersion: c.IfVersion}
	if c.Node != "" {
		floor, err := kqoperator.Configuration(ctx, c.Node)
		if err != nil {
			return err
		}
		request.InForce = floor
	}
	accepted, err := kqstore.Change(ctx, kqstore.NewHTTP(s.Store), request)
	if err != nil {
		return changeError(err)
	}
	report := changeReport{Version: accepted.Version, ChangeID: accepted.ChangeID}
	if c.Node != "" {
		inForce, err := waitInForce(e.ctx, c.Node, accepted.Version)
		if err != nil {
			return errors.Wrapf(err, "version %d was accepted, but where it is in force is not known", accepted.Version)
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

func waitInForce(ctx context.Context, node string, version int64) (kqoperator.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	status, err := kqoperator.Status(ctx, node)
	if err != nil {
		return kqoperator.Report{}, err
	}
	return kqoperator.WaitInForce(ctx, status.Members, version)
}

// changeError marks what the operator can mend.
func changeError(err error) error {
	var beaten *kqstore.SupersededError
	if errors.As(err, &beaten) {
		return errors.Newf("%v; look at it with 'class list' and change it again with --if-version %d", beaten, beaten.Winner.Version)
	}
	if errors.Is(err, kqconfig.ErrFaulty) || errors.Is(err, kqconfig.ErrNoClass) {
		return errors.Mark(err, ErrInput)
	}
	return err
}

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
