package kqmesh

import (
	"github.com/rs/zerolog"

	"kumquatlink/io/kqlog"
)

// Names of log fields that several kinds of events share.
const (
	fieldPeer         = "Peer"
	fieldServer       = "Server"
	fieldHost         = "Host"
	fieldHosts        = "Hosts"
	fieldService      = "Service"
	fieldSource       = "Source"
	fieldState        = "State"
	fieldRoutes       = "RoutesVersion"
	fieldFormer       = "FormerVersion"
	fieldTook         = "TookMicros"
	fieldAddress      = "Address"
	fieldSequence     = "Sequence"
	fieldIncarnation  = "Incarnation"
	fieldVerdict      = "Verdict"
	fieldKind         = "Kind"
	fieldEra          = "StoreEra"
	fieldStoreVersion = "StoreVersion"
	fieldRequest      = "RequestID"
	fieldFingerprint  = "Fingerprint"
	fieldTeam         = "Team"
)

// eventKind identifies a kind of event that a node logs. It is the index of the
// kind in eventKinds.
type eventKind int

// Kinds of events. eventKindCount is their number.
const (
	eventNodeStarted eventKind = iota
	eventNodeLeaves
	eventNodeEnded
	eventNodeStopped
	eventMetricsEnded
	eventReadiness
	eventStoreLost
	eventStoreBack
	eventStoreRestored
	eventWatchEnded
	eventRoutesTaken
	eventRoutesRefused
	eventRoutesAnnounced
	eventNotAnnounced
	eventRoutesUnreadable
	eventRoutesFaulty
	eventHostSeen
	eventHostRemoved
	eventHostIgnored
	eventRecordWritten
	eventRecordNotWritten
	eventRecordRepaired
	eventRecordNotRepaired
	eventClockSetBack
	eventServerState
	eventServerCrashed
	eventRequestConvicted
	eventSuspectCleared
	eventSuspectsNotTold
	eventSuspectsFetched
	eventConvictionNotStored
	eventConvictionsNotRead
	eventConvictionRemoved
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
	eventUpdates
	eventWatcherAsked
	eventServerRemembered
	eventFormerRecalled
	eventDepartureShared
	eventDepartureTold
	eventServerLimit
	eventServerLeaves
	eventStatementUnreadable
	eventServerStated
	eventEvenRouting
	eventPanic
	eventAcceptFailed
	eventAcceptBack
	eventQuotaReached
	eventQuotaFree
	eventQuotaNotReported
	eventCallersStalled
	eventKindCount
)

// eventKinds describes every kind of event. The operations pages and docs/logs.md
// are generated from it.
var eventKinds = [eventKindCount]kqlog.EventKind{
	eventNodeStarted:         {Name: "NodeStarted", Level: zerolog.InfoLevel, Description: "The node has opened its addresses.", Fields: []string{fieldAddress, "PeerAddress"}},
	eventNodeLeaves:          {Name: "NodeLeaves", Level: zerolog.InfoLevel, Description: "A shutdown of the node has begun; it still serves its requests."},
	eventNodeEnded:           {Name: "NodeEnded", Level: zerolog.InfoLevel, Description: "The shutdown of the node is complete.", Fields: []string{fieldTook}},
	eventNodeStopped:         {Name: "NodeStopped", Level: zerolog.WarnLevel, Description: "The node was stopped without a shutdown, and closing it failed."},
	eventMetricsEnded:        {Name: "MetricsEnded", Level: zerolog.ErrorLevel, Description: "The metrics listener failed; metrics are no longer served."},
	eventReadiness:           {Name: "Readiness", Level: zerolog.InfoLevel, Description: "The node's answer to readiness probes has changed.", Fields: []string{fieldState}},
	eventStoreLost:           {Name: "StoreLost", Level: zerolog.WarnLevel, Description: "A call of the store failed. Further failures are not logged until a call does not fail.", Fields: []string{"Operation", fieldKind}},
	eventStoreBack:           {Name: "StoreBack", Level: zerolog.InfoLevel, Description: "A call of the store did not fail, the first after one or more that did.", Fields: []string{fieldTook}},
	eventStoreRestored:       {Name: "StoreRestored", Level: zerolog.WarnLevel, Description: "The store was restored from a copy and has lost what was written since that was taken. The events that follow say what this node writes or lists again.", Fields: []string{fieldEra, "FormerEra"}},
	eventWatchEnded:          {Name: "WatchEnded", Level: zerolog.InfoLevel, Description: "A watch of the store ended; the objects are listed again.", Fields: []string{fieldKind}},
	eventRoutesTaken:         {Name: "RoutesTaken", Level: zerolog.InfoLevel, Description: "Routes have come into force.", Fields: []string{fieldRoutes, fieldFormer, fieldSource}},
	eventRoutesRefused:       {Name: "RoutesRefused", Level: zerolog.WarnLevel, Description: "Routes were offered that are older than those in force, or have the same version and another text.", Fields: []string{fieldRoutes, fieldFormer, fieldSource}},
	eventRoutesAnnounced:     {Name: "RoutesAnnounced", Level: zerolog.InfoLevel, Description: "The node tells nodes of other failure domains, or of its own, that it has newer routes.", Fields: []string{fieldRoutes, fieldHosts}},
	eventNotAnnounced:        {Name: "NotAnnounced", Level: zerolog.DebugLevel, Description: "A node could not be told of newer routes.", Fields: []string{fieldPeer, fieldRoutes}},
	eventRoutesUnreadable:    {Name: "RoutesUnreadable", Level: zerolog.ErrorLevel, Description: "Routes that were offered can't be decoded.", Fields: []string{fieldSource}},
	eventRoutesFaulty:        {Name: "RoutesFaulty", Level: zerolog.ErrorLevel, Description: "Routes that come into force have parts that can't be applied as written; Detail holds the first one.", Fields: []string{fieldRoutes, fieldSource, "Detail"}},
	eventHostSeen:            {Name: "HostSeen", Level: zerolog.InfoLevel, Description: "The record of a node is new or has changed.", Fields: []string{fieldHost, fieldAddress, fieldState, fieldService, fieldServer, fieldIncarnation}},
	eventHostRemoved:         {Name: "HostRemoved", Level: zerolog.InfoLevel, Description: "The record of a node was removed.", Fields: []string{fieldHost}},
	eventHostIgnored:         {Name: "HostIgnored", Level: zerolog.WarnLevel, Description: "The record of a node can't be used.", Fields: []string{fieldHost}},
	eventRecordWritten:       {Name: "RecordWritten", Level: zerolog.InfoLevel, Description: "The node has written its own record.", Fields: []string{fieldState, fieldStoreVersion}},
	eventRecordNotWritten:    {Name: "RecordNotWritten", Level: zerolog.WarnLevel, Description: "The node could not write its own record and tries again."},
	eventRecordRepaired:      {Name: "RecordRepaired", Level: zerolog.WarnLevel, Description: "The store held an older record of another node than this one knows, or none, as after a restore from a copy; this node wrote the newer one back.", Fields: []string{fieldHost, fieldState, fieldStoreVersion}},
	eventRecordNotRepaired:   {Name: "RecordNotRepaired", Level: zerolog.WarnLevel, Description: "A record of another node can't be written back to the store.", Fields: []string{fieldHost}},
	eventClockSetBack:        {Name: "ClockSetBack", Level: zerolog.WarnLevel, Description: "The record of an earlier start of the node seems to be of a later one. The node numbers its own start after it.", Fields: []string{fieldIncarnation}},
	eventServerState:         {Name: "ServerState", Level: zerolog.InfoLevel, Description: "The state of the backend server beside the node has changed.", Fields: []string{fieldServer, fieldState, "FormerState", fieldSequence}},
	eventServerCrashed:       {Name: "ServerCrashed", Level: zerolog.WarnLevel, Description: "The backend server beside the node has ended without notice while it ran requests. All of them are suspects until a server has answered them.", Fields: []string{fieldServer, "Runs"}},
	eventRequestConvicted:    {Name: "RequestConvicted", Level: zerolog.WarnLevel, Description: "A request is refused from now on, whatever its ID, since several servers have crashed while they ran it.", Fields: []string{fieldFingerprint, fieldSource}},
	eventSuspectCleared:      {Name: "SuspectCleared", Level: zerolog.InfoLevel, Description: "A request that was lost with a server that crashed has been answered by a server.", Fields: []string{fieldRequest, fieldFingerprint}},
	eventSuspectsNotTold:     {Name: "SuspectsNotTold", Level: zerolog.DebugLevel, Description: "Another gate could not be told of lost requests, or asked for them.", Fields: []string{fieldPeer}},
	eventSuspectsFetched:     {Name: "SuspectsFetched", Level: zerolog.InfoLevel, Description: "The node, which was started again, has learned from other ones, or from the store, which requests were lost with servers that crashed.", Fields: []string{"Records", fieldHosts}},
	eventConvictionNotStored: {Name: "ConvictionNotStored", Level: zerolog.WarnLevel, Description: "The conviction of a request can't be written to the store, or removed there. Nodes that are started learn of it from others.", Fields: []string{fieldFingerprint}},
	eventConvictionsNotRead:  {Name: "ConvictionsNotRead", Level: zerolog.WarnLevel, Description: "A node that was started again can't read from the store which requests are convicted."},
	eventConvictionRemoved:   {Name: "ConvictionRemoved", Level: zerolog.InfoLevel, Description: "An old conviction was removed from the store.", Fields: []string{fieldFingerprint}},
	eventServerHealthy:       {Name: "ServerHealthy", Level: zerolog.InfoLevel, Description: "A health probe found the backend server healthy, before the server had sent a notice.", Fields: []string{fieldServer, fieldVerdict}},
	eventServerUnhealthy:     {Name: "ServerUnhealthy", Level: zerolog.InfoLevel, Description: "A health probe found the backend server not healthy.", Fields: []string{"Status"}},
	eventHealthNotTold:       {Name: "HealthNotTold", Level: zerolog.InfoLevel, Description: "The backend server did not answer a health probe."},
	eventNoticeIgnored:       {Name: "NoticeIgnored", Level: zerolog.InfoLevel, Description: "A notice of the backend server changed nothing, or is held back until the node knows what its former process knew.", Fields: []string{fieldServer, fieldSequence, fieldIncarnation, fieldVerdict}},
	eventNoticeForeign:       {Name: "NoticeForeign", Level: zerolog.WarnLevel, Description: "A notice came from another backend server than that of this host.", Fields: []string{fieldServer, fieldService, fieldAddress}},
	eventNoticeUnreadable:    {Name: "NoticeUnreadable", Level: zerolog.WarnLevel, Description: "A notice can't be decoded."},
	eventPeerConnected:       {Name: "PeerConnected", Level: zerolog.InfoLevel, Description: "A connection to a peer was made.", Fields: []string{fieldPeer}},
	eventPeerLost:            {Name: "PeerLost", Level: zerolog.WarnLevel, Description: "The connection to a peer was closed, failed or timed out.", Fields: []string{fieldPeer}},
	eventPeerAsked:           {Name: "PeerAsked", Level: zerolog.InfoLevel, Description: "The node requests newer routes of a peer, or its list of nodes since the node has none yet.", Fields: []string{fieldPeer, fieldRoutes, fieldFormer}},
	eventPeerTold:            {Name: "PeerTold", Level: zerolog.InfoLevel, Description: "The node has taken over the list of nodes of a peer, since it has not read that of the store yet.", Fields: []string{fieldPeer, fieldHosts}},
	eventPeerUnreadable:      {Name: "PeerUnreadable", Level: zerolog.WarnLevel, Description: "A message of a peer can't be decoded.", Fields: []string{fieldPeer}},
	eventMessageNotWritten:   {Name: "MessageNotWritten", Level: zerolog.ErrorLevel, Description: "A message to a peer can't be encoded."},
	eventWatching:            {Name: "Watching", Level: zerolog.InfoLevel, Description: "The node has begun or ceased to watch the store for its failure domain.", Fields: []string{fieldState}},
	eventUpdates:             {Name: "Updates", Level: zerolog.InfoLevel, Description: "The node has begun or ceased to tell its failure domain what the store holds, by the time since the store last answered its watches.", Fields: []string{fieldState, fieldTook}},
	eventWatcherAsked:        {Name: "WatcherAsked", Level: zerolog.InfoLevel, Description: "A node that watches the store has announced newer routes or a different list of nodes; the node requests them from it.", Fields: []string{fieldHost, fieldRoutes, fieldFormer}},
	eventServerRemembered:    {Name: "ServerRemembered", Level: zerolog.InfoLevel, Description: "The record that the node wrote before its restart says that the backend server drains or is gone.", Fields: []string{fieldServer, fieldState, fieldVerdict}},
	eventFormerRecalled:      {Name: "FormerRecalled", Level: zerolog.InfoLevel, Description: "The node, which was started again, has asked the store and other nodes what its former process knew of the backend server. Notices that the server is ready are held back until then, and until the server has confirmed them.", Fields: []string{fieldHosts, fieldTook}},
	eventDepartureShared:     {Name: "DepartureShared", Level: zerolog.WarnLevel, Description: "The backend server leaves and the store has not taken that yet; Hosts is how many other nodes keep it. If they are too few, the server's notice is not acknowledged.", Fields: []string{fieldServer, fieldHosts}},
	eventDepartureTold:       {Name: "DepartureTold", Level: zerolog.WarnLevel, Description: "The record of a node says that its backend server is ready, and this node knows that it leaves. The server gets no calls from here, and the node is told.", Fields: []string{fieldHost, fieldServer, fieldIncarnation}},
	eventServerLimit:         {Name: "ServerLimit", Level: zerolog.InfoLevel, Description: "An answer of the backend server beside the node names another limit on requests a second than the answer before it.", Fields: []string{fieldServer, "Limit", "FormerLimit"}},
	eventServerLeaves:        {Name: "ServerLeaves", Level: zerolog.InfoLevel, Description: "An answer of the backend server beside the node says that the server leaves; it gets no new calls.", Fields: []string{fieldServer, fieldVerdict}},
	eventStatementUnreadable: {Name: "StatementUnreadable", Level: zerolog.WarnLevel, Description: "What an answer of the backend server says about the server can't be decoded and is ignored. Logged at the first such answer after a readable one.", Fields: []string{fieldServer}},
	eventServerStated:        {Name: "ServerStated", Level: zerolog.InfoLevel, Description: "An answer that the entry passed on states another limit than the one before, or that the server of another node leaves.", Fields: []string{fieldServer, fieldHost, "Limit", "Leaving"}},
	eventEvenRouting:         {Name: "EvenRouting", Level: zerolog.InfoLevel, Description: "A backend server has stated how long work takes on its host. From now on the node routes calls by expected delay and free capacity.", Fields: []string{fieldServer, fieldService}},
	eventPanic:               {Name: "Panic", Level: zerolog.ErrorLevel, Description: "A call or task ended by a panic, a fault of the node: a caller gets the status 500, and 502 for a call of another node. The message holds the stack."},
	eventAcceptFailed:        {Name: "AcceptFailed", Level: zerolog.WarnLevel, Description: "A listener could not accept a connection, for example since the process has no descriptor left. It goes on trying.", Fields: []string{fieldSource}},
	eventAcceptBack:          {Name: "AcceptBack", Level: zerolog.InfoLevel, Description: "A listener accepts connections again.", Fields: []string{fieldSource}},
	eventQuotaReached:        {Name: "QuotaReached", Level: zerolog.InfoLevel, Description: "A team sends more than its quota, over all nodes together; what is beyond it is answered with 429. Logged by the home of the team, the node that counts its requests.", Fields: []string{fieldTeam, "Rate", "Demand"}},
	eventQuotaFree:           {Name: "QuotaFree", Level: zerolog.InfoLevel, Description: "A team that was limited has not been so for some seconds. TookMicros is for how long it was.", Fields: []string{fieldTeam, "Rate", "Demand", fieldTook}},
	eventQuotaNotReported:    {Name: "QuotaNotReported", Level: zerolog.DebugLevel, Description: "The home of teams did not answer a report of what they use. Its uses are reported again, also to the node that takes its place.", Fields: []string{fieldHost}},
	eventCallersStalled:      {Name: "CallersStalled", Level: zerolog.WarnLevel, Description: "Callers were closed since they did not read their answers while the memory for bodies was short. Logged once a second at most, with the number of callers, the bytes that waited for them, and the address of the last one, which had taken nothing for TookMicros.", Fields: []string{"Callers", "Bytes", fieldAddress, fieldTook}},
	eventLoadNotAsked:        {Name: "LoadNotAsked", Level: zerolog.DebugLevel, Description: "The load of a gate could not be requested.", Fields: []string{fieldService, fieldHost}},
}

// Events returns the kinds of events that a node logs.
func Events() []kqlog.EventKind {
	return eventKinds[:]
}

// logEvent logs an event with a message for people and fields for programs.
func (n *Node) logEvent(r eventKind, message string, err error, fields ...kqlog.Field) {
	n.log.TypedEvent(eventKinds[r], message, err, fields...)
}
