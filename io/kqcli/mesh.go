package kqcli

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"reflect"
	"strconv"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmesh"
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
	Settings    string `placeholder:"FILE" help:"The platform's settings file. Default: where the platform says it is."`
}

// Help is the longer help of the command.
func (meshCommand) Help() string {
	return "The node ends on SIGTERM when all that is in flight has been answered.\n\nExample:\n\n  kumquatlink mesh --settings node.toml"
}

// Run runs a node on the users' platform until it is told to end.
func (k *meshCommand) Run(e *environment) error {
	path := k.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	log := kqlog.New(e.output, kqlog.WithNode(s.NodeID, s.Zone), kqlog.WithLevel(zerolog.InfoLevel),
		kqlog.WithQueueLength(logQueue), kqlog.WithBudget(logLines))
	defer log.Close()
	store := platform.NewStore(s.Provider.Address)
	settings := s.Node()
	if k.MetricsPort != 0 {
		settings.MetricsAddress = net.JoinHostPort(s.IP, strconv.Itoa(k.MetricsPort))
	}
	n, err := kqmesh.New(settings, platform.Dialect(), store.Client(), kqmesh.WithLog(log))
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	r := &reloader{path: path, node: n, store: store, log: log, held: *s}
	r.run(e.ctx)
	ctx, cancel := context.WithTimeout(context.Background(), r.held.Bounds.Grace.Value())
	defer cancel()
	return n.Shutdown(ctx)
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
