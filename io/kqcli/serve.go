package kqcli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"kumquatlink/io/kqbackend"
	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqnode"
	"kumquatlink/io/kqobject"
	"kumquatlink/io/kqsettings"
	"kumquatlink/io/kqstore"
	"kumquatlink/io/kqtrust"
	"kumquatlink/io/kqwire"
	"kumquatlink/platform"
)

type nodeCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"Settings file of the node, in JSON."`
}

// Help returns the longer help of the command.
func (nodeCommand) Help() string {
	return "On SIGTERM, the node answers the calls in flight and ends.\n\nExample:\n\n  kumquatlink node --settings node.json"
}

// Run runs a node until the program is told to end, and then shuts it down.
func (k *nodeCommand) Run(e *environment) error {
	s, err := kqsettings.ReadNode(k.Settings)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return errors.Mark(err, ErrInput)
	}
	identity, err := kqtrust.Load(s.CertificateFile, s.KeyFile, s.AuthorityFile)
	if err != nil {
		return errors.Mark(err, ErrInput)
	}
	log := kqlog.New(e.output, kqlog.WithNode(s.NodeID, s.FailureDomain), kqlog.WithLevel(level))
	defer log.Close()
	n, err := kqnode.New(*s, identity, kqstore.NewHTTP(s.StoreAddress), kqnode.WithLog(log))
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	log.Event(zerolog.InfoLevel, fmt.Sprintf("node serves callers at %s, its backend server at %s, peers at %s, operators at %s", n.CallerAddress(), n.BackendAddress(), n.PeerAddress(), n.OperatorAddress()), nil)
	<-e.ctx.Done()
	ctx, cancel := context.WithTimeout(context.Background(), n.ShutdownBound())
	defer cancel()
	return n.Shutdown(ctx)
}

type storeCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"Settings file of the stand-in, in JSON."`
}

// Help returns the longer help of the command.
func (storeCommand) Help() string {
	return "Example:\n\n  kumquatlink store --settings store.json"
}

// Run runs the object API stand-in until the program is told to end.
func (k *storeCommand) Run(e *environment) error {
	s, err := kqsettings.ReadStore(k.Settings)
	if err != nil {
		return err
	}
	store := kqobject.New()
	if err := store.Listen(s.Address); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(e.output, "store serves at %s\n", store.Address())
	<-e.ctx.Done()
	return store.Close()
}

type backendCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"Settings file of the stand-in, in JSON."`
}

// Help returns the longer help of the command.
func (backendCommand) Help() string {
	return "Example:\n\n  kumquatlink backend --settings backend.json"
}

// Run runs the backend server stand-in until the program is told to end. The
// stand-in then announces that it leaves, and finishes its running calls.
func (k *backendCommand) Run(e *environment) error {
	s, err := kqsettings.ReadBackend(k.Settings)
	if err != nil {
		return err
	}
	b := kqbackend.New(kqbackend.Settings{
		Service: s.Service, Slots: s.Slots, ServiceTime: time.Duration(s.ServiceTime), NodeAddress: s.NodeAddress, Onward: s.Onward,
	})
	if err := b.Listen(s.Address); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(e.output, "backend server of %s serves at %s\n", s.Service, b.Address())
	<-e.ctx.Done()
	if err := b.Announce(kqwire.StateLeaving); err != nil {
		_, _ = fmt.Fprintf(e.errors, "kumquatlink: %v\n", err)
	}
	return b.Close()
}

type settingsCommand struct {
	Check settingsCheckCommand `cmd:"" help:"Check a settings file and list all its faults."`
}

type settingsCheckCommand struct {
	File string `arg:"" help:"The settings file."`
	Kind string `enum:"node,mesh,store,backend,platform" default:"node" help:"What the file configures: ${enum}."`
}

// Help returns the longer help of the command.
func (settingsCheckCommand) Help() string {
	return "Each fault is listed with its field, its value and the expected value.\n\nExample:\n\n  kumquatlink settings check --kind node node.json"
}

// Run checks a settings file.
func (k *settingsCheckCommand) Run(e *environment) error {
	var err error
	switch k.Kind {
	case "store":
		_, err = kqsettings.ReadStore(k.File)
	case "backend":
		_, err = kqsettings.ReadBackend(k.File)
	case "mesh":
		_, err = kqsettings.ReadMesh(k.File)
	case "platform":
		_, err = platform.ReadSettings(k.File)
	default:
		_, err = kqsettings.ReadNode(k.File)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.output, "%s: no faults\n", k.File)
	return errors.Wrap(err, "write")
}

type identityCommand struct {
	Directory string   `required:"" placeholder:"DIR" help:"Directory in which NAME.crt, NAME.key and fleet.crt are written."`
	Nodes     []string `arg:"" help:"Names of the nodes."`
}

// Help returns the longer help of the command.
func (identityCommand) Help() string {
	return "The key of the authority is not kept, so issue the certificates of all nodes of a trial at once.\n\nExample:\n\n  kumquatlink identity --directory identities node-1 node-2"
}

// Run issues certificates from a new authority, whose key is not kept.
func (k *identityCommand) Run(e *environment) error {
	authority, err := kqtrust.NewAuthority()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(k.Directory, 0o700); err != nil {
		return errors.Mark(errors.Wrap(err, "create directory"), ErrInput)
	}
	in := func(name string) string { return filepath.Join(k.Directory, name) }
	for _, n := range k.Nodes {
		if err := authority.Write(n, in(n+".crt"), in(n+".key"), in("fleet.crt")); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(e.output, "issued %d identities in %s\n", len(k.Nodes), k.Directory)
	return errors.Wrap(err, "write")
}
