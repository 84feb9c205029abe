package kqcli

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmesh"
	"kumquatlink/io/kqsettings"
	"kumquatlink/io/kqstore"
	"kumquatlink/platform"
)

// Bounds of a node's log. A node that serves 40 calls a second writes some 150
// lines a second; the queue holds a burst of five times that.
const (
	logLines = 400
	logQueue = 1024
)

// collectPercent is by how much a node's heap may grow before it is collected.
// Memory is paid for at its peak; collecting takes a small part of the time of a
// node. GOGC in the environment goes before it.
const collectPercent = 50

type meshCommand struct {
	MetricsPort int    `placeholder:"PORT" help:"TCP port of the host's address at which metrics are served, at /metrics."`
	Settings    string `placeholder:"FILE" help:"Settings of the node: JSON if the name ends in .json, else as the platform writes them. Default: where the platform says they are."`
}

// Help is the longer help of the command.
func (meshCommand) Help() string {
	return "The node ends on SIGTERM when all that is in flight has been answered, and reads its settings again on SIGHUP and when the file has changed: bounds of repeats and times of shutdown and draining take effect at once, and faulty settings change nothing.\n\nExample:\n\n  kumquatlink mesh --settings mesh.json"
}

// Run runs a node until it is told to end. Settings in the project's own
// format have names that end in .json; others are the platform's.
func (k *meshCommand) Run(e *environment) error {
	// From here on, since the signal ends a process that does not wait for it.
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	if filepath.Ext(k.Settings) == ".json" {
		return k.runOwn(e, hangUp)
	}
	path := k.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	store := platform.NewStore(s.Provider.Address)
	settings := s.Node()
	if k.MetricsPort != 0 {
		settings.MetricsAddress = net.JoinHostPort(s.IP, strconv.Itoa(k.MetricsPort))
	}
	read := func() (reloadable, error) {
		s, err := platform.ReadSettings(path)
		if err != nil {
			return reloadable{}, err
		}
		return reloadable{tunables: s.Node().Tunables, storeAddress: s.Provider.Address}, nil
	}
	return runMesh(e, settings, platform.Dialect(), store.Client(), func(ctx context.Context, n *kqmesh.Node, log *kqlog.Log) {
		r := newReloader(n, log, read, reloadable{settings.Tunables, s.Provider.Address})
		r.setStore = store.SetAddress
		r.run(ctx, hangUp)
	})
}

// runOwn runs a node with settings in the project's own format.
func (k *meshCommand) runOwn(e *environment, hangUp <-chan os.Signal) error {
	m, err := kqsettings.ReadMesh(k.Settings)
	if err != nil {
		return err
	}
	settings := kqmesh.Settings{
		NodeID: m.NodeID, Region: m.Region, FailureDomain: m.FailureDomain, Service: m.Service,
		BackendAddress: m.BackendAddress, CallerAddress: m.CallerAddress, NoticeAddress: m.NoticeAddress,
		ReadyAddress: m.ReadyAddress, PeerAddress: m.PeerAddress, AdvertisedAddress: m.AdvertisedAddress, MetricsAddress: m.MetricsAddress,
		RoutesKind: kqmesh.NativeRoutesKind, RoutesName: kqmesh.NativeRoutesName, FirstStart: m.FirstStart,
		Tunables: tunablesOf(m),
	}
	read := func() (reloadable, error) {
		m, err := kqsettings.ReadMesh(k.Settings)
		if err != nil {
			return reloadable{}, err
		}
		return reloadable{tunables: tunablesOf(m), storeAddress: m.StoreAddress}, nil
	}
	return runMesh(e, settings, kqmesh.NativeDialect(), kqstore.NewHTTP(m.StoreAddress), func(ctx context.Context, n *kqmesh.Node, log *kqlog.Log) {
		newReloader(n, log, read, reloadable{settings.Tunables, m.StoreAddress}).run(ctx, hangUp)
	})
}

func tunablesOf(m *kqsettings.Mesh) kqmesh.Tunables {
	return kqmesh.Tunables{
		RepeatRatio: m.RepeatRatio, RepeatWindow: m.RepeatWindow, RepeatSlack: m.RepeatSlack,
		ShutdownTime: m.ShutdownTime, DrainTime: m.DrainTime,
	}
}

// runMesh runs a node while attend does.
func runMesh(e *environment, settings kqmesh.Settings, dialect kqmesh.Dialect, store *kqstore.Client, attend func(context.Context, *kqmesh.Node, *kqlog.Log)) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectPercent)
	}
	log := kqlog.New(e.output, kqlog.WithNode(settings.NodeID, settings.FailureDomain), kqlog.WithLevel(zerolog.InfoLevel),
		kqlog.WithQueueLength(logQueue), kqlog.WithBudget(logLines))
	defer log.Close()
	n, err := kqmesh.New(settings, dialect, store, kqmesh.WithLog(log))
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	attend(e.ctx, n, log)
	return n.Shutdown(context.Background())
}

// reloadPeriod is how often the settings file is looked at, since it may
// change without a signal.
const reloadPeriod = 5 * time.Second

// reloadable is what may change while a node runs.
type reloadable struct {
	tunables     kqmesh.Tunables
	storeAddress string
}

// reloader takes over changes of the settings file while the node runs.
type reloader struct {
	node *kqmesh.Node
	log  *kqlog.Log
	read func() (reloadable, error)
	held reloadable
	// setStore moves the client of the store, or is nil if that takes a start.
	setStore func(address string)
}

func newReloader(n *kqmesh.Node, log *kqlog.Log, read func() (reloadable, error), held reloadable) *reloader {
	return &reloader{node: n, log: log, read: read, held: held}
}

// run reloads on SIGHUP, and when the file has changed, until ctx ends.
func (r *reloader) run(ctx context.Context, hangUp <-chan os.Signal) {
	look := time.NewTicker(reloadPeriod)
	defer look.Stop()
	for {
		select {
		case <-hangUp:
			r.reload(true)
		case <-look.C:
			r.reload(false)
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the file. What is faulty changes nothing.
func (r *reloader) reload(asked bool) {
	s, err := r.read()
	if err != nil {
		r.log.Event(zerolog.ErrorLevel, "settings are not reloaded", err)
		return
	}
	changed := s != r.held
	if !changed && !asked {
		return
	}
	r.node.Retune(s.tunables)
	switch {
	case r.setStore != nil:
		r.setStore(s.storeAddress)
	case s.storeAddress != r.held.storeAddress:
		r.log.Event(zerolog.WarnLevel, "the new address of the store takes effect at the next start", nil)
	}
	r.held = s
	r.log.Event(zerolog.InfoLevel, fmt.Sprintf("settings reloaded, changed: %t", changed), nil)
}
