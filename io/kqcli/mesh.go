package kqcli

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"kumquatlink/io/kqlog"
	"kumquatlink/io/kqmesh"
	"kumquatlink/platform"
)

type meshCommand struct {
	Settings string `placeholder:"FILE" help:"The platform's settings file. Default: where the platform says it is."`
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
	log := kqlog.New(e.output, kqlog.WithNode(s.NodeID, s.Zone), kqlog.WithLevel(zerolog.InfoLevel))
	defer log.Close()
	n, err := kqmesh.New(s.Node(), platform.Dialect(), platform.NewStore(s.Provider.Address), kqmesh.WithLog(log))
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	<-e.ctx.Done()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.Bounds.Grace))
	defer cancel()
	return n.Shutdown(ctx)
}
