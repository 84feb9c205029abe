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

// Limits of the log of a node. A node that serves 40 calls per second writes about
// 150 lines per second.
const (
	// logLinesPerSecond is the maximum number of decisions that are logged per
	// second.
	logLinesPerSecond = 400
	// logQueue is the number of lines that may wait to be written. It holds a
	// burst of five times the usual rate.
	logQueue = 1024
)

// gcPercent is the growth of the heap, in percent, after which a node collects
// garbage. It is below Go's default of 100, because the peak of the memory is what
// is paid for, and collecting takes only a small part of the processor time of a
// node. GOGC in the environment takes precedence.
const gcPercent = 50

// collectShare is the part of the memory of a node's process from which on it collects
// garbage as often as it takes to stay below.
const collectShare = 0.7

type meshCommand struct {
	MetricsPort int    `placeholder:"PORT" help:"TCP port on the address of the host at which metrics are served, at /metrics, and kumquatlink where is answered."`
	Settings    string `placeholder:"FILE" help:"Settings file of the node: JSON if the name ends in .json, otherwise in the format of the platform. By default, the file that the platform names."`
}

// Help returns the longer help of the command.
func (meshCommand) Help() string {
	return "On SIGTERM, the node answers the calls in flight and ends. It reloads its settings on SIGHUP and when the file has changed: limits of repeats and times of shutdown and draining take effect at once. If the new settings are invalid, the node keeps the current ones.\n\nExample:\n\n  kumquatlink mesh --settings mesh.json"
}

// Run runs a mesh node until the program is told to end. A settings file whose name
// ends in .json has the project's native format; any other has that of the
// platform.
func (k *meshCommand) Run(e *environment) error {
	// The signal is handled from the start, because SIGHUP ends a process that
	// does not handle it.
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	if filepath.Ext(k.Settings) == ".json" {
		return k.runNative(e, hangUp)
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

// runNative runs a node with settings in the project's native format.
func (k *meshCommand) runNative(e *environment, hangUp <-chan os.Signal) error {
	m, err := kqsettings.ReadMesh(k.Settings)
	if err != nil {
		return err
	}
	settings := kqmesh.Settings{
		NodeID: m.NodeID, Region: m.Region, FailureDomain: m.FailureDomain, Service: m.Service,
		BackendAddress: m.BackendAddress, CallerAddress: m.CallerAddress, NoticeAddress: m.NoticeAddress,
		ReadyAddress: m.ReadyAddress, PeerAddress: m.PeerAddress, AdvertisedAddress: m.AdvertisedAddress, MetricsAddress: m.MetricsAddress,
		RoutesKind: kqmesh.NativeRoutesKind, RoutesName: kqmesh.NativeRoutesName, FirstStart: m.FirstStart, MemoryMegabytes: m.MemoryMegabytes,
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

// tunablesOf returns the settings that may change while a node runs.
func tunablesOf(m *kqsettings.Mesh) kqmesh.Tunables {
	return kqmesh.Tunables{
		RepeatRatio: m.RepeatRatio, RepeatWindow: m.RepeatWindow, RepeatSlack: m.RepeatSlack,
		ShutdownTime: m.ShutdownTime, DrainTime: m.DrainTime,
	}
}

// runMesh starts a node, calls reload, which runs until ctx ends, and shuts the
// node down when it returns.
func runMesh(e *environment, settings kqmesh.Settings, dialect kqmesh.Dialect, store *kqstore.Client, reload func(context.Context, *kqmesh.Node, *kqlog.Log)) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(collectShare * float64(settings.MemoryMegabytes<<20)))
	}
	log := kqlog.New(e.output, kqlog.WithNode(settings.NodeID, settings.FailureDomain), kqlog.WithLevel(zerolog.InfoLevel),
		kqlog.WithQueueLength(logQueue), kqlog.WithBudget(logLinesPerSecond))
	defer log.Close()
	n, err := kqmesh.New(settings, dialect, store, kqmesh.WithLog(log))
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	reload(e.ctx, n, log)
	return n.Shutdown(context.Background())
}

// reloadPeriod is the time between checks of the settings file, which may change
// without a signal.
const reloadPeriod = 5 * time.Second

// reloadable holds the settings that may change while a node runs.
type reloadable struct {
	tunables     kqmesh.Tunables
	storeAddress string
}

// reloader applies changes of the settings file to a running node.
type reloader struct {
	node *kqmesh.Node
	log  *kqlog.Log
	// read reads the settings file.
	read func() (reloadable, error)
	// current holds the settings that were applied last.
	current reloadable
	// setStore changes the address that the client of the store uses. It is nil if
	// a new address takes effect only at the next start.
	setStore func(address string)
}

func newReloader(n *kqmesh.Node, log *kqlog.Log, read func() (reloadable, error), current reloadable) *reloader {
	return &reloader{node: n, log: log, read: read, current: current}
}

// run reloads the settings on SIGHUP, and when the file has changed, until ctx ends.
func (r *reloader) run(ctx context.Context, hangUp <-chan os.Signal) {
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-hangUp:
			r.reload(true)
		case <-ticker.C:
			r.reload(false)
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the file and applies it if it has changed or if requested is true.
// If the file can't be read or is invalid, the current settings stay.
func (r *reloader) reload(requested bool) {
	s, err := r.read()
	if err != nil {
		r.log.Event(zerolog.ErrorLevel, "settings were not reloaded, the current ones stay in force", err)
		return
	}
	changed := s != r.current
	if !changed && !requested {
		return
	}
	r.node.Retune(s.tunables)
	switch {
	case r.setStore != nil:
		r.setStore(s.storeAddress)
	case s.storeAddress != r.current.storeAddress:
		r.log.Event(zerolog.WarnLevel, "the new address of the store takes effect at the next start", nil)
	}
	r.current = s
	r.log.Event(zerolog.InfoLevel, fmt.Sprintf("settings reloaded, changed: %t", changed), nil)
}
