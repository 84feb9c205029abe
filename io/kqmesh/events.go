package kqmesh

import (
	"github.com/rs/zerolog"

	"kumquatlink/io/kqlog"
)

// Names of fields that several kinds of events have.
const (
	fieldPeer        = "Peer"
	fieldServer      = "Server"
	fieldHost        = "Host"
	fieldService     = "Service"
	fieldSource      = "Source"
	fieldState       = "State"
	fieldRoutes      = "RoutesVersion"
	fieldFormer      = "FormerVersion"
	fieldTook        = "TookMicros"
	fieldAddress     = "Address"
	fieldSequence    = "Sequence"
	fieldIncarnation = "Incarnation"
	fieldVerdict     = "Verdict"
	fieldKind        = "Kind"
)

// eventKind numbers the kinds of events that a node logs.
type eventKind int

// The kinds, in the order of the table.
const (
	eventNodeStarted eventKind = iota
	eventNodeLeaves
	eventNodeEnded
	eventNodeStopped
	eventMetricsEnded
	eventReadiness
	eventStoreLost
	eventStoreBack
	eventWatchEnded
	eventRoutesTaken
	eventRoutesRefused
	eventRoutesUnreadable
	eventRoutesFaulty
	eventHostSeen
	eventHostRemoved
	eventHostIgnored
	eventRecordWritten
	eventRecordNotWritten
	eventServerState
	eventServerHealthy
	eventServerUnhealthy
	eventHealthNotTold
	eventNoticeIgnored
	eventNoticeForeign
	eventNoticeUnreadable
	eventPeerConnected
	eventPeerLost
	eventPeerAsked
	eventPeerTold
	eventPeerUnreadable
	eventMessageNotWritten
	eventLoadNotAsked
	eventWatching
	eventWatcherAsked
	eventServerRemembered
	eventKindCount
)

// eventKinds describes every kind of event. Operations pages and docs/logs.md are
// made from it.
var eventKinds = [eventKindCount]kqlog.Kind{
	eventNodeStarted:       {Name: "NodeStarted", Level: zerolog.InfoLevel, Means: "The node has opened its addresses.", Fields: []string{fieldAddress, "PeerAddress"}},
	eventNodeLeaves:        {Name: "NodeLeaves", Level: zerolog.InfoLevel, Means: "The node was told to end and serves what it has."},
	eventNodeEnded:         {Name: "NodeEnded", Level: zerolog.InfoLevel, Means: "The node has closed everything.", Fields: []string{fieldTook}},
	eventNodeStopped:       {Name: "NodeStopped", Level: zerolog.WarnLevel, Means: "The node was stopped at once, and something did not close."},
	eventMetricsEnded:      {Name: "MetricsEnded", Level: zerolog.ErrorLevel, Means: "The metrics address failed."},
	eventReadiness:         {Name: "Readiness", Level: zerolog.InfoLevel, Means: "What the node answers to whether callers may be sent to it has changed.", Fields: []string{fieldState}},
	eventStoreLost:         {Name: "StoreLost", Level: zerolog.WarnLevel, Means: "A call of the store failed, the first after one that did not.", Fields: []string{"Operation", fieldKind}},
	eventStoreBack:         {Name: "StoreBack", Level: zerolog.InfoLevel, Means: "A call of the store did not fail, the first after some that did.", Fields: []string{fieldTook}},
	eventWatchEnded:        {Name: "WatchEnded", Level: zerolog.InfoLevel, Means: "A watch of the store ended; the objects are listed again.", Fields: []string{fieldKind}},
	eventRoutesTaken:       {Name: "RoutesTaken", Level: zerolog.InfoLevel, Means: "Routes have come into force.", Fields: []string{fieldRoutes, fieldFormer, fieldSource}},
	eventRoutesRefused:     {Name: "RoutesRefused", Level: zerolog.WarnLevel, Means: "Routes that are older than those in force were offered.", Fields: []string{fieldRoutes, fieldFormer, fieldSource}},
	eventRoutesUnreadable:  {Name: "RoutesUnreadable", Level: zerolog.ErrorLevel, Means: "Routes that were offered can't be read.", Fields: []string{fieldSource}},
	eventRoutesFaulty:      {Name: "RoutesFaulty", Level: zerolog.ErrorLevel, Means: "Routes that were offered break a rule; the first fault is told.", Fields: []string{fieldSource, "Detail"}},
	eventHostSeen:          {Name: "HostSeen", Level: zerolog.InfoLevel, Means: "The record of a node is new or has changed.", Fields: []string{fieldHost, fieldAddress, fieldState, fieldService, fieldServer, fieldIncarnation}},
	eventHostRemoved:       {Name: "HostRemoved", Level: zerolog.InfoLevel, Means: "The record of a node was removed.", Fields: []string{fieldHost}},
	eventHostIgnored:       {Name: "HostIgnored", Level: zerolog.WarnLevel, Means: "The record of a node can't be used.", Fields: []string{fieldHost}},
	eventRecordWritten:     {Name: "RecordWritten", Level: zerolog.InfoLevel, Means: "The node has written its own record.", Fields: []string{fieldState, "StoreVersion"}},
	eventRecordNotWritten:  {Name: "RecordNotWritten", Level: zerolog.WarnLevel, Means: "The node could not write its own record and tries again."},
	eventServerState:       {Name: "ServerState", Level: zerolog.InfoLevel, Means: "The state of the backend server beside the node has changed.", Fields: []string{fieldServer, fieldState, "FormerState", fieldSequence}},
	eventServerHealthy:     {Name: "ServerHealthy", Level: zerolog.InfoLevel, Means: "The backend server was asked for its health, since it had not spoken yet, and is healthy.", Fields: []string{fieldServer, fieldVerdict}},
	eventServerUnhealthy:   {Name: "ServerUnhealthy", Level: zerolog.InfoLevel, Means: "The backend server was asked for its health and is not healthy.", Fields: []string{"Status"}},
	eventHealthNotTold:     {Name: "HealthNotTold", Level: zerolog.InfoLevel, Means: "The backend server did not answer when it was asked for its health."},
	eventNoticeIgnored:     {Name: "NoticeIgnored", Level: zerolog.InfoLevel, Means: "A notice of the backend server changed nothing.", Fields: []string{fieldServer, fieldSequence, fieldIncarnation, fieldVerdict}},
	eventNoticeForeign:     {Name: "NoticeForeign", Level: zerolog.WarnLevel, Means: "A notice was not of the backend server on this host.", Fields: []string{fieldServer, fieldService, fieldAddress}},
	eventNoticeUnreadable:  {Name: "NoticeUnreadable", Level: zerolog.WarnLevel, Means: "A notice can't be read."},
	eventPeerConnected:     {Name: "PeerConnected", Level: zerolog.InfoLevel, Means: "A connection to a peer was made.", Fields: []string{fieldPeer}},
	eventPeerLost:          {Name: "PeerLost", Level: zerolog.WarnLevel, Means: "The connection to a peer ended or fell silent.", Fields: []string{fieldPeer}},
	eventPeerAsked:         {Name: "PeerAsked", Level: zerolog.InfoLevel, Means: "A peer holds newer routes than the node, or the node has not read the list of nodes yet.", Fields: []string{fieldPeer, fieldRoutes, fieldFormer}},
	eventPeerTold:          {Name: "PeerTold", Level: zerolog.InfoLevel, Means: "A peer has told the nodes that it knows, before the store did.", Fields: []string{fieldPeer, "Hosts"}},
	eventPeerUnreadable:    {Name: "PeerUnreadable", Level: zerolog.WarnLevel, Means: "The message of a peer can't be read.", Fields: []string{fieldPeer}},
	eventMessageNotWritten: {Name: "MessageNotWritten", Level: zerolog.ErrorLevel, Means: "A message to a peer can't be written."},
	eventWatching:          {Name: "Watching", Level: zerolog.InfoLevel, Means: "The node begins or ceases to watch the store for its failure domain.", Fields: []string{fieldState}},
	eventWatcherAsked:      {Name: "WatcherAsked", Level: zerolog.InfoLevel, Means: "The news of a node that watches the store tell of newer routes or of other nodes; it is asked for them.", Fields: []string{fieldHost, fieldRoutes, fieldFormer}},
	eventServerRemembered:  {Name: "ServerRemembered", Level: zerolog.InfoLevel, Means: "The node's own record, from before its start, says that the backend server leaves.", Fields: []string{fieldServer, fieldState, fieldVerdict}},
	eventLoadNotAsked:      {Name: "LoadNotAsked", Level: zerolog.DebugLevel, Means: "A gate could not be asked for its load.", Fields: []string{fieldService, fieldHost}},
}

// Events lists the kinds of events that a node logs.
func Events() []kqlog.Kind {
	return eventKinds[:]
}

// logEvent logs an event: the message for people, the fields for programs.
func (n *Node) logEvent(r eventKind, message string, err error, fields ...kqlog.Field) {
	n.log.Note(eventKinds[r], message, err, fields...)
}
