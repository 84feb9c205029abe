package kqcli

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"reflect"
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

type meshCommand struct {
	MetricsPort int    `placeholder:"PORT" help:"TCP port of the host's address at which metrics are served, at /metrics."`
	Settings    string `placeholder:"FILE" help:"Settings of the node: JSON if the name ends in .json, else as the platform writes them. Default: where the platform says they are."`
}

// Help is the longer help of the command.
func (meshCommand) Help() string {
	return "The node ends on SIGTERM when all that is in flight has been answered.\n\nExample:\n\n  kumquatlink mesh --settings mesh.json"
}

// Run runs a node until it is told to end. Settings in the project's own
// format have names that end in .json; others are the platform's.
func (k *meshCommand) Run(e *environment) error {
	if filepath.Ext(k.Settings) == ".json" {
		return k.runOwn(e)
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
	return runMesh(e, settings, platform.Dialect(), store.Client(), func(ctx context.Context, n *kqmesh.Node, log *kqlog.Log) {
		r := &reloader{path: path, node: n, store: store, log: log, held: *s}
		r.run(ctx)
	})
}

// runOwn runs a node with settings in the project's own format.
func (k *meshCommand) runOwn(e *environment) error {
	m, err := kqsettings.ReadMesh(k.Settings)
	if err != nil {
		return err
	}
	settings := kqmesh.Settings{
		NodeID: m.NodeID, Region: m.Region, FailureDomain: m.FailureDomain, Service: m.Service,
		BackendAddress: m.BackendAddress, CallerAddress: m.CallerAddress, NoticeAddress: m.NoticeAddress,
		ReadyAddress: m.ReadyAddress, PeerAddress: m.PeerAddress, AdvertisedAddress: m.AdvertisedAddress, MetricsAddress: m.MetricsAddress,
		RoutesKind: kqmesh.OwnRoutesKind, RoutesName: kqmesh.OwnRoutesName, FirstStart: m.FirstStart,
		Tunables: kqmesh.Tunables{
			RepeatRatio: m.RepeatRatio, RepeatWindow: m.RepeatWindow, RepeatSlack: m.RepeatSlack,
			ShutdownTime: m.ShutdownTime, DrainTime: m.DrainTime,
		},
	}
	return runMesh(e, settings, kqmesh.OwnDialect(), kqstore.NewHTTP(m.StoreAddress), func(ctx context.Context, _ *kqmesh.Node, _ *kqlog.Log) {
		<-ctx.Done()
	})
}

// runMesh runs a node while attend does.
func runMesh(e *environment, settings kqmesh.Settings, dialect kqmesh.Dialect, store *kqstore.Client, attend func(context.Context, *kqmesh.Node, *kqlog.Log)) error {
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

// reloader takes over changes of the settings file while the node runs.
type reloader struct {
	path  string
	node  *kqmesh.Node
	store *platform.Store
	log   *kqlog.Log
	held  platform.Settings
}

// run reloads on SIGHUP, and when the file has changed, until ctx ends.
func (r *reloader) run(ctx context.Context) {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
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
	s, err := platform.ReadSettings(r.path)
	if err != nil {
		r.log.Event(zerolog.ErrorLevel, "settings are not reloaded", err)
		return
	}
	changed := !reflect.DeepEqual(*s, r.held)
	if !changed && !asked {
		return
	}
	r.held = *s
	r.node.Retune(s.Node().Tunables)
	r.store.SetAddress(s.Provider.Address)
	r.log.Event(zerolog.InfoLevel, fmt.Sprintf("settings reloaded, changed: %t", changed), nil)
}
