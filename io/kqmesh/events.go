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

// remark numbers the kinds of events that a node logs.
type remark int

// The remarks, in the order of the table.
const (
	remarkNodeStarted remark = iota
	remarkNodeLeaves
	remarkNodeEnded
	remarkNodeStopped
	remarkMetricsEnded
	remarkReadiness
	remarkStoreLost
	remarkStoreBack
	remarkWatchEnded
	remarkRoutesTaken
	remarkRoutesRefused
	remarkRoutesUnreadable
	remarkRoutesFaulty
	remarkHostSeen
	remarkHostRemoved
	remarkHostIgnored
	remarkRecordWritten
	remarkRecordNotWritten
	remarkServerState
	remarkServerHealthy
	remarkServerUnhealthy
	remarkHealthNotTold
	remarkNoticeIgnored
	remarkNoticeForeign
	remarkNoticeUnreadable
	remarkPeerConnected
	remarkPeerLost
	remarkPeerAsked
	remarkPeerTold
	remarkPeerUnreadable
	remarkMessageNotWritten
	remarkLoadNotAsked
	remarkWatching
	remarkWatcherAsked
	remarkServerRemembered
	remarkCount
)

// events describes every kind of event. Operations pages and docs/logs.md are
// made from it.
var events = [remarkCount]kqlog.Kind{
	remarkNodeStarted:       {Name: "NodeStarted", Level: zerolog.InfoLevel, Means: "The node has opened its addresses.", Fields: []string{fieldAddress, "PeerAddress"}},
	remarkNodeLeaves:        {Name: "NodeLeaves", Level: zerolog.InfoLevel, Means: "The node was told to end and serves what it has."},
	remarkNodeEnded:         {Name: "NodeEnded", Level: zerolog.InfoLevel, Means: "The node has closed everything.", Fields: []string{fieldTook}},
	remarkNodeStopped:       {Name: "NodeStopped", Level: zerolog.WarnLevel, Means: "The node was stopped at once, and something did not close."},
	remarkMetricsEnded:      {Name: "MetricsEnded", Level: zerolog.ErrorLevel, Means: "The metrics address failed."},
	remarkReadiness:         {Name: "Readiness", Level: zerolog.InfoLevel, Means: "What the node answers to whether callers may be sent to it has changed.", Fields: []string{fieldState}},
	remarkStoreLost:         {Name: "StoreLost", Level: zerolog.WarnLevel, Means: "A call of the store failed, the first after one that did not.", Fields: []string{"Operation", fieldKind}},
	remarkStoreBack:         {Name: "StoreBack", Level: zerolog.InfoLevel, Means: "A call of the store did not fail, the first after some that did.", Fields: []string{fieldTook}},
	remarkWatchEnded:        {Name: "WatchEnded", Level: zerolog.InfoLevel, Means: "A watch of the store ended; the objects are listed again.", Fields: []string{fieldKind}},
	remarkRoutesTaken:       {Name: "RoutesTaken", Level: zerolog.InfoLevel, Means: "Routes have come into force.", Fields: []string{fieldRoutes, fieldFormer, fieldSource}},
	remarkRoutesRefused:     {Name: "RoutesRefused", Level: zerolog.WarnLevel, Means: "Routes that are older than those in force were offered.", Fields: []string{fieldRoutes, fieldFormer, fieldSource}},
	remarkRoutesUnreadable:  {Name: "RoutesUnreadable", Level: zerolog.ErrorLevel, Means: "Routes that were offered can't be read.", Fields: []string{fieldSource}},
	remarkRoutesFaulty:      {Name: "RoutesFaulty", Level: zerolog.ErrorLevel, Means: "Routes that were offered break a rule; the first fault is told.", Fields: []string{fieldSource, "Detail"}},
	remarkHostSeen:          {Name: "HostSeen", Level: zerolog.InfoLevel, Means: "The record of a node is new or has changed.", Fields: []string{fieldHost, fieldAddress, fieldState, fieldService, fieldServer, fieldIncarnation}},
	remarkHostRemoved:       {Name: "HostRemoved", Level: zerolog.InfoLevel, Means: "The record of a node was removed.", Fields: []string{fieldHost}},
	remarkHostIgnored:       {Name: "HostIgnored", Level: zerolog.WarnLevel, Means: "The record of a node can't be used.", Fields: []string{fieldHost}},
	remarkRecordWritten:     {Name: "RecordWritten", Level: zerolog.InfoLevel, Means: "The node has written its own record.", Fields: []string{fieldState, "StoreVersion"}},
	remarkRecordNotWritten:  {Name: "RecordNotWritten", Level: zerolog.WarnLevel, Means: "The node could not write its own record and tries again."},
	remarkServerState:       {Name: "ServerState", Level: zerolog.InfoLevel, Means: "The state of the backend server beside the node has changed.", Fields: []string{fieldServer, fieldState, "FormerState", fieldSequence}},
	remarkServerHealthy:     {Name: "ServerHealthy", Level: zerolog.InfoLevel, Means: "The backend server was asked for its health, since it had not spoken yet, and is healthy.", Fields: []string{fieldServer, fieldVerdict}},
	remarkServerUnhealthy:   {Name: "ServerUnhealthy", Level: zerolog.InfoLevel, Means: "The backend server was asked for its health and is not healthy.", Fields: []string{"Status"}},
	remarkHealthNotTold:     {Name: "HealthNotTold", Level: zerolog.InfoLevel, Means: "The backend server did not answer when it was asked for its health."},
	remarkNoticeIgnored:     {Name: "NoticeIgnored", Level: zerolog.InfoLevel, Means: "A notice of the backend server changed nothing.", Fields: []string{fieldServer, fieldSequence, fieldIncarnation, fieldVerdict}},
	remarkNoticeForeign:     {Name: "NoticeForeign", Level: zerolog.WarnLevel, Means: "A notice was not of the backend server on this host.", Fields: []string{fieldServer, fieldService, fieldAddress}},
	remarkNoticeUnreadable:  {Name: "NoticeUnreadable", Level: zerolog.WarnLevel, Means: "A notice can't be read."},
	remarkPeerConnected:     {Name: "PeerConnected", Level: zerolog.InfoLevel, Means: "A connection to a peer was made.", Fields: []string{fieldPeer}},
	remarkPeerLost:          {Name: "PeerLost", Level: zerolog.WarnLevel, Means: "The connection to a peer ended or fell silent.", Fields: []string{fieldPeer}},
	remarkPeerAsked:         {Name: "PeerAsked", Level: zerolog.InfoLevel, Means: "A peer holds newer routes than the node, or the node has not read the list of nodes yet.", Fields: []string{fieldPeer, fieldRoutes, fieldFormer}},
	remarkPeerTold:          {Name: "PeerTold", Level: zerolog.InfoLevel, Means: "A peer has told the nodes that it knows, before the store did.", Fields: []string{fieldPeer, "Hosts"}},
	remarkPeerUnreadable:    {Name: "PeerUnreadable", Level: zerolog.WarnLevel, Means: "The message of a peer can't be read.", Fields: []string{fieldPeer}},
	remarkMessageNotWritten: {Name: "MessageNotWritten", Level: zerolog.ErrorLevel, Means: "A message to a peer can't be written."},
	remarkWatching:          {Name: "Watching", Level: zerolog.InfoLevel, Means: "The node begins or ceases to watch the store for its failure domain.", Fields: []string{fieldState}},
	remarkWatcherAsked:      {Name: "WatcherAsked", Level: zerolog.InfoLevel, Means: "The news of a node that watches the store tell of newer routes or of other nodes; it is asked for them.", Fields: []string{fieldHost, fieldRoutes, fieldFormer}},
	remarkServerRemembered:  {Name: "ServerRemembered", Level: zerolog.InfoLevel, Means: "The node's own record, from before its start, says that the backend server leaves.", Fields: []string{fieldServer, fieldState, fieldVerdict}},
	remarkLoadNotAsked:      {Name: "LoadNotAsked", Level: zerolog.DebugLevel, Means: "A gate could not be asked for its load.", Fields: []string{fieldService, fieldHost}},
}

// Events lists the kinds of events that a node logs.
func Events() []kqlog.Kind {
	return events[:]
}

// note logs an event: the message for people, the fields for programs.
func (n *Node) note(r remark, message string, err error, fields ...kqlog.Field) {
	n.log.Note(events[r], message, err, fields...)
}
