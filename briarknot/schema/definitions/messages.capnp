@0x9f4cb5d1a7e03c16;
# Messages between the system's own processes.
using A = import "annotations.capnp";
using E = import "endpoints.capnp";
using R = import "records.capnp";
using S = import "serving.capnp";

struct PeerMessage $A.doc("One frame of a peer link.") {
  union {
    hello @0 :Hello;
    heartbeat @1 :Heartbeat;
    suspicion @2 :Suspicion;
    revision @3 :Revision;
    documentRequest @4 :DocumentRequest;
    documentBody @5 :DocumentBody;
    engineLoad @6 :EngineLoad;
    quarantine @7 :Quarantine;
    drainMark @8 :DrainMark;
    drainAck @9 :DrainAck;
    creditRequest @10 :CreditRequest;
    creditGrant @11 :CreditGrant;
    domainSummary @12 :DomainSummary;
    engineCache @13 :EngineCache;
    engineWork @14 :EngineWork;
    fleetNews @15 :FleetUpdate;
    domainWork @16 :DomainWork;
    fleetWork @17 :FleetWork;
    stageChanges @18 :StageChanges;
    crashRecords @19 :CrashRecords;
    limitRecords @20 :LimitRecords;
    permitRequest @21 :PermitRequest;
    permitAnswer @22 :PermitAnswer;
    versionRecords @23 :VersionRecords;
    streamOrigin @24 :StreamOrigin;
    originRequest @25 :OriginRequest;
    originAnswer @26 :OriginAnswer;
    usageReport @27 :UsageReport;
    usageSums @28 :UsageSums;
    usageAck @29 :UsageAck;
    cacheList @30 :CacheList;
    cacheStatusRequest @31 :CacheStatusRequest;
    cacheStatus @32 :CacheStatus;
  }
}

struct Hello $A.doc("First message of each side of a link.") {
  host @0 :Text $A.doc("Host of the sender.");
  domain @1 :Text $A.doc("Failure domain of the sender.");
  program @2 :Text $A.doc("Program of the sender: entry, control or ctl.");
  incarnation @3 :UInt64 $A.doc("Increases with each start of the process and after each pause.");
  peerUrl @4 :Text $A.doc("Peer URL of the sender; empty where it has none.");
  revision @5 :UInt64 $A.doc("Highest document revision seen.");
}

struct Heartbeat $A.doc("Evidence that the sender is alive.") {
  incarnation @0 :UInt64 $A.doc("Incarnation of the sender.");
  revision @1 :UInt64 $A.doc("Highest document revision seen.");
}

struct Suspicion $A.doc("A member is suspected to have failed, or the suspicion is withdrawn.") {
  host @0 :Text $A.doc("The suspected host.");
  incarnation @1 :UInt64 $A.doc("Incarnation that is suspected.");
  suspected @2 :Bool $A.doc("False withdraws the suspicion.");
}

struct Revision $A.doc("A document revision that the sender has in force.") {
  revision @0 :UInt64 $A.doc("Revision.");
  object @1 :Text $A.doc("Name of the object with the text.");
  attemptId @2 :Text $A.doc("Random id of the commit.");
}

struct DocumentRequest $A.doc("Requests the text of the receiver's document.") {
  atLeast @0 :UInt64 $A.doc("Lowest acceptable revision.");
}

struct DocumentBody $A.doc("Text of a document.") {
  revision @0 :UInt64 $A.doc("Revision.");
  object @1 :Text $A.doc("Name of the object with the text.");
  attemptId @2 :Text $A.doc("Random id of the commit.");
  text @3 :Text $A.doc("The document's text.");
}

struct EngineLoad $A.doc("Load report of an engine, broadcast within its failure domain.") {
  engine @0 :Text $A.doc("Engine.");
  ageS @1 :Float64 $A.unit("s") $A.doc("Age when sent.");
  report @2 :E.LoadReport $A.doc("The report.");
}

struct EngineCache $A.doc("Prefix cache changes of an engine, broadcast within its failure domain.") {
  engine @0 :Text $A.doc("Engine.");
  events @1 :List(E.CacheEvent) $A.doc("Events in order.");
}

struct Quarantine $A.doc("A request fingerprint seen at endpoint crashes.") {
  fingerprint @0 :Text $A.doc("Keyed hash of account and body, in hexadecimal.");
  crashes @1 :UInt32 $A.doc("Endpoint crashes at which it was in flight.");
  expiresInS @2 :Float64 $A.unit("s") $A.doc("Time until it expires.");
  endpoint @3 :Text $A.doc("Endpoint that crashed last.");
}

struct DrainMark $A.doc("Instructs entry processes to stop or resume dispatch to an engine.") {
  engine @0 :Text $A.doc("Engine.");
  drainNumber @1 :UInt64 $A.doc("Increases with each drain of the failure domain.");
  epoch @2 :UInt64 $A.doc("Lease epoch of the controller.");
  active @3 :Bool $A.doc("True stops dispatch; false resumes it.");
  reason @4 :Text $A.doc("Reason for the drain.");
}

struct DrainAck $A.doc("Answer to a drain mark.") {
  engine @0 :Text $A.doc("Engine.");
  drainNumber @1 :UInt64 $A.doc("Drain number of the mark.");
  host @2 :Text $A.doc("Host of the sender.");
  incarnation @3 :UInt64 $A.doc("Incarnation of the sender.");
  inFlight @4 :UInt32 $A.doc("Requests still in flight from this process.");
}

struct CreditRequest $A.doc("Requests credits from the owner of a limit.") {
  limit @0 :Text $A.doc("Name of the limit.");
  demand @1 :Float64 $A.unit("engine s/s") $A.doc("Recent demand for work.");
}

struct CreditGrant $A.doc("Credits granted by the owner of a limit.") {
  limit @0 :Text $A.doc("Name of the limit.");
  rate @1 :Float64 $A.unit("engine s/s") $A.doc("Work that may be admitted.");
  expiresInS @2 :Float64 $A.unit("s") $A.doc("Time until the grant expires.");
  members @3 :UInt32 $A.doc("Members among which the owner divides the limit.");
}

struct DomainSummary $A.doc("Free capacity of a failure domain, by model.") {
  domain @0 :Text $A.doc("Failure domain.");
  models @1 :List(ModelCapacity) $A.doc("Free capacity for each model.");
}

struct ModelCapacity $A.doc("Free capacity for one model.") {
  model @0 :Text $A.doc("Model.");
  engines @1 :UInt32 $A.doc("Engines that accept work.");
  queueDelayS @2 :Float64 $A.unit("s") $A.doc("Expected queueing time of new work.");
}

struct WorkerWork $A.doc("Outstanding work of a process at an engine.") {
  worker @0 :Text $A.doc("Id of the worker.");
  tokens @1 :UInt32 $A.unit("tokens") $A.doc("Prompt tokens that are still to be prefilled, weighted higher after a long context.");
  streams @2 :UInt32 $A.doc("Running generations.");
  streamTokens @3 :UInt32 $A.unit("tokens") $A.doc("KV cache that they occupy when they are complete.");
}

struct CachedPart $A.doc("A shared part of prompts that an engine has prefilled or fetched.") {
  worker @0 :Text $A.doc("Id of the worker.");
  part @1 :Text $A.doc("Identity of the part.");
  tokens @2 :UInt32 $A.unit("tokens") $A.doc("Length of the part; 0 where the engine does not prefill it after all.");
  readyInMs @3 :UInt32 $A.unit("ms") $A.doc("Expected time until it is in the engine's cache.");
}

struct EngineWork $A.doc("Outstanding work of a gateway process at the engines.") {
  host @0 :Text $A.doc("Host of the process.");
  sequence @1 :UInt64 $A.doc("Increases with each message of a process; a lower one is outdated.");
  bornMs @2 :UInt64 $A.unit("ms") $A.doc("Start of the process; sequence numbers restart with it.");
  workers @3 :List(WorkerWork) $A.deferred $A.doc("Engines with at least one prompt or generation.");
  parts @4 :List(CachedPart) $A.doc("Shared parts of prompts that were sent to engines since the previous message.");
  domain @5 :Text $A.doc("Failure domain of the process.");
  forward @6 :Bool $A.doc("Whether the receiver forwards the message to its domain peers.");
  address @7 :Text $A.doc("IP number of the process.");
  port @8 :UInt16 $A.doc("Port on which the process receives messages.");
  toRelay @9 :Bool $A.doc("Whether the receiver adds up the work of its failure domain.");
}

struct DomainWork $A.doc("Sum of the work of the gateway processes of a failure domain, sent between relays.") {
  domain @0 :Text $A.doc("The failure domain.");
  relay @1 :Text $A.doc("Host of the process that added it up.");
  bornMs @2 :UInt64 $A.unit("ms") $A.doc("Start of that process; sequence numbers restart with it.");
  sequence @3 :UInt64 $A.doc("Increases with each message of a process; a lower one is outdated.");
  workers @4 :List(WorkerWork) $A.deferred $A.doc("Engines with work.");
  processes @5 :UInt16 $A.doc("Number of processes whose work is part of the sum.");
}

struct IncludedReport $A.doc("A report that is part of a sum.") {
  host @0 :Text $A.doc("Host of the process that reported.");
  sequence @1 :UInt64 $A.doc("Sequence number of its report.");
}

struct FleetWork $A.doc("Sum of the work of all gateway processes, sent by a relay to its failure domain.") {
  relay @0 :Text $A.doc("Host of the process that added it up.");
  bornMs @1 :UInt64 $A.unit("ms") $A.doc("Start of that process; sequence numbers restart with it.");
  sequence @2 :UInt64 $A.doc("Increases with each message of a process; a lower one is outdated.");
  workers @3 :List(WorkerWork) $A.deferred $A.doc("Engines with work.");
  included @4 :List(IncludedReport) $A.deferred $A.doc("Reports of the domain's processes that are part of the sum.");
  processes @5 :UInt16 $A.doc("Number of processes whose work is part of the sum.");
}

struct StageChanges $A.doc("Engines to which a gateway process has given an order. It says nothing about the store.") {
  host @0 :Text $A.doc("Host of the process.");
  engines @1 :List(Text) $A.doc("Ids of engines that change their stage and accept no requests.");
}

struct FleetUpdate $A.doc("State of the fleet that a gateway process has just read from the store.") {
  host @0 :Text $A.doc("Host of the process.");
  manifestVersion @1 :UInt64 $A.doc("Version of the manifest.");
  workersDigest @2 :UInt64 $A.doc("Digest of the list of workers.");
  listVersion @3 :UInt64 $A.doc("Store version of the list of workers.");
  changed @4 :List(S.Worker) $A.doc("Workers that were added or changed in the last seconds.");
  gone @5 :List(Text) $A.doc("Ids of workers that were removed in the last seconds.");
  storeEra @6 :UInt64 $A.doc("Era of the store; versions of different eras can't be compared. 0 if it is not known.");
  listStoreS @7 :Float64 $A.unit("s") $A.doc("Time of the store's clock at which the list of workers was read; 0 if it is not known.");
  manifestStoreS @8 :Float64 $A.unit("s") $A.doc("Time of the store's clock, or an earlier one, at which the manifest was the newest; 0 if it is not known.");
}

struct CrashRecords $A.doc("Evidence of a gateway process on parts of prompts, and on requests, that make workers crash.") {
  host @0 :Text $A.doc("Host of the process.");
  evidence @1 :List(R.CrashRecord) $A.doc("The evidence, as it is merged by each receiver.");
}

struct LimitRecord $A.doc("What a worker has stated about the requests that it takes from all gateway processes together.") {
  worker @0 :Text $A.doc("Id of the worker, and its start.");
  isLimited @1 :Bool $A.doc("Whether it named a limit; false where it named one before and no longer does.");
  perS @2 :Float64 $A.unit("1/s") $A.doc("The limit.");
  ageMs @3 :UInt32 $A.unit("ms") $A.doc("Time since the statement.");
  sinceMs @4 :UInt32 $A.unit("ms") $A.doc("Time since the worker first named a limit without an end between.");
}

struct LimitRecords $A.doc("What workers have stated in answers about the requests that they want.") {
  host @0 :Text $A.doc("Host of the process.");
  domain @1 :Text $A.doc("Failure domain of the process.");
  address @2 :Text $A.doc("IP number of the process.");
  port @3 :UInt16 $A.doc("Port on which the process receives messages.");
  limits @4 :List(LimitRecord) $A.doc("The limits, as they are merged by each receiver.");
  leaving @5 :List(Text) $A.doc("Ids and starts of workers that have said in answers that they are leaving.");
}

struct PermitRequest $A.doc("Requests a permit to send one request to a worker that has named a limit.") {
  host @0 :Text $A.doc("Host of the process.");
  domain @1 :Text $A.doc("Failure domain of the process.");
  address @2 :Text $A.doc("IP number of the process.");
  port @3 :UInt16 $A.doc("Port on which the process receives messages.");
  number @4 :UInt64 $A.doc("Number of the message; the answer repeats it.");
  worker @5 :Text $A.doc("Id of the worker.");
  limit @6 :LimitRecord $A.doc("Its limit, as far as the process knows.");
  maxWaitMs @7 :UInt32 $A.unit("ms") $A.doc("Longest time for which the request waits for its turn.");
  rank @8 :UInt8 $A.doc("Urgency of the request; 0 is the most urgent.");
  isStart @9 :Bool $A.doc("Whether the request is to be prefilled first, and gets a permit to be sent later.");
}

struct PermitAnswer $A.doc("Answers a request for a permit.") {
  host @0 :Text $A.doc("Host of the process that issues the permits.");
  number @1 :UInt64 $A.doc("Number of the request.");
  isGranted @2 :Bool $A.doc("Whether the request may be sent when its turn comes.");
  waitMs @3 :UInt32 $A.unit("ms") $A.doc("Time until its turn, or until another attempt may be granted.");
}

struct VersionRecords $A.doc("Versions of the software of engines that a gateway process knows.") {
  host @0 :Text $A.doc("Host of the process.");
  versions @1 :List(R.VersionRecord) $A.doc("The versions, as they are merged by each receiver.");
}

struct StreamOrigin $A.doc("The worker that began a stream, or last went on with it.") {
  stream @0 :Text $A.doc("Id of the client's attempt that got the first event.");
  service @1 :Text $A.doc("Service of the worker.");
  version @2 :Text $A.doc("Version of its software.");
  worker @3 :Text $A.doc("Id of the worker.");
  ageMs @4 :UInt32 $A.unit("ms") $A.doc("Time since the first event of that worker.");
  host @5 :Text $A.doc("Host of the process that sends it.");
  number @6 :UInt64 $A.doc("Number of the message; an answer confirms it. 0 where none is wanted.");
}

struct OriginRequest $A.doc("Asks for the origin of a stream that a client takes up again.") {
  host @0 :Text $A.doc("Host of the process.");
  domain @1 :Text $A.doc("Failure domain of the process.");
  address @2 :Text $A.doc("IP number of the process.");
  port @3 :UInt16 $A.doc("Port on which the process receives messages.");
  number @4 :UInt64 $A.doc("Number of the message; the answer repeats it.");
  stream @5 :Text $A.doc("Id of the client's attempt that got the first event.");
  service @6 :Text $A.doc("Service at which the stream is to go on.");
}

struct OriginAnswer $A.doc("Answers a request for the origin of a stream, or confirms one.") {
  host @0 :Text $A.doc("Host of the process that answers.");
  number @1 :UInt64 $A.doc("Number of the request.");
  isKnown @2 :Bool $A.doc("Whether the process knows the origin.");
  origin @3 :StreamOrigin $A.doc("The origin.");
  isWitness @4 :Bool $A.doc("Whether the process would know a stream that began at another version than the next one.");
  soleVersion @5 :Text $A.doc("Version of the service that must have begun the stream.");
}

struct UsageCount $A.doc("Requests of a client account that began to run in a window.") {
  window @0 :UInt64 $A.doc("Index of the window.");
  account @1 :Text $A.doc("Name of the account.");
  requests @2 :UInt32 $A.doc("Number of requests since the start of the window.");
}

struct UsageHost $A.doc("A process whose counts are part of a domain's sums.") {
  host @0 :Text $A.doc("Host of the process.");
  clockMs @1 :Int64 $A.unit("ms") $A.doc("Its wall clock less the store's clock; 0 if it is not known.");
  clockEra @2 :UInt64 $A.doc("Era of the store for which that holds.");
}

struct UsageReport $A.doc("Counts of a process, as far as they have changed.") {
  host @0 :Text $A.doc("Host of the process.");
  domain @1 :Text $A.doc("Failure domain of the process.");
  address @2 :Text $A.doc("IP number of the process.");
  port @3 :UInt16 $A.doc("Port on which the process receives messages.");
  bornMs @4 :UInt64 $A.unit("ms") $A.doc("Start of the process; numbers of changes restart with it.");
  after @5 :UInt64 $A.doc("Change after which the message has all changes.");
  sequence @6 :UInt64 $A.doc("Latest change that the message has.");
  counts @7 :List(UsageCount) $A.doc("The changed counts.");
  clockMs @8 :Int64 $A.unit("ms") $A.doc("Wall clock of the process less the store's clock; 0 if it is not known.");
  clockEra @9 :UInt64 $A.doc("Era of the store for which that holds.");
}

struct UsageSums $A.doc("Sums of the counts of a failure domain, as far as they have changed.") {
  host @0 :Text $A.doc("Host of the process that added them up.");
  domain @1 :Text $A.doc("The failure domain.");
  bornMs @2 :UInt64 $A.unit("ms") $A.doc("Start of that process; numbers of changes restart with it.");
  after @3 :UInt64 $A.doc("Change after which the message has all changes.");
  sequence @4 :UInt64 $A.doc("Latest change that the message has.");
  counts @5 :List(UsageCount) $A.doc("The changed sums.");
  hosts @6 :List(UsageHost) $A.doc("Processes that have reported in the last seconds.");
}

struct UsageAck $A.doc("Answers a report or sums, and says what is known of usage reports. The holder also sends it to those that would replace it.") {
  host @0 :Text $A.doc("Host of the receiver.");
  domain @1 :Text $A.doc("Failure domain of the sums; empty for a report.");
  bornMs @2 :UInt64 $A.unit("ms") $A.doc("Start of the process that gets the answer; 0 where it has not asked.");
  sequence @3 :UInt64 $A.doc("Latest change that the receiver has.");
  holder @4 :Text $A.doc("Host of the latest known holder; empty if none is known.");
  fence @5 :UInt64 $A.doc("Fencing number of its latest known grant.");
  holderAgeMs @6 :UInt32 $A.unit("ms") $A.doc("Time since that grant.");
  fixedWindow @7 :UInt64 $A.doc("Latest window whose report is stored; 0 if none is known.");
  clockMs @8 :Int64 $A.unit("ms") $A.doc("True time less the store's clock, as most processes see it; 0 if it is not known.");
  clockEra @9 :UInt64 $A.doc("Era of the store for which that holds.");
}

struct HeldPart $A.doc("A shared part of prompts that an engine has reported.") {
  part @0 :Text $A.doc("Identity of the part.");
  tokens @1 :UInt32 $A.unit("tokens") $A.doc("Number of its tokens in the cache.");
}

struct CacheList $A.doc("Contents of an engine's KV cache that a gateway process has read from the engine.") {
  host @0 :Text $A.doc("Host of the process.");
  worker @1 :Text $A.doc("Id of the engine.");
  bornMs @2 :UInt64 $A.unit("ms") $A.doc("Unix time of the engine's start as it was listed before the read.");
  parts @3 :List(HeldPart) $A.doc("The parts, or some of them.");
  isRead @4 :Bool $A.doc("Whether the engine answered with a readable list.");
  forward @5 :Bool $A.doc("Whether the receiver forwards the message to its domain peers.");
}

struct CacheStatusRequest $A.doc("Asks, after a start, whether a process knows the engines' caches.") {
  host @0 :Text $A.doc("Host of the process.");
  domain @1 :Text $A.doc("Failure domain of the process.");
  address @2 :Text $A.doc("IP number of the process.");
  port @3 :UInt16 $A.doc("Port on which the process receives messages.");
  wantsParts @4 :Bool $A.doc("Whether the receiver sends what it knows of the caches too.");
}

struct CacheStatus $A.doc("Whether a process knows the engines' caches.") {
  host @0 :Text $A.doc("Host of the process.");
  isKnown @1 :Bool $A.doc("Whether it was told of the caches, or has run long enough to know their use.");
  hasParts @2 :Bool $A.doc("Whether it has sent what it knows before this message.");
  listed @3 :List(Text) $A.doc("Ids and starts of engines whose lists are part of what it knows.");
}
