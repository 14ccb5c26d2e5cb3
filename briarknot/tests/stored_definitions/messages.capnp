@0xaf4cb5d1a7e03c16;
# Messages between the system's own processes.
using A = import "annotations.capnp";
using E = import "endpoints.capnp";
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
    fleetNews @15 :FleetNews;
  }
}

struct Hello $A.doc("First message of each side of a link.") {
  host @0 :Text $A.doc("Host of the sender.");
  domain @1 :Text $A.doc("Failure domain of the sender.");
  program @2 :Text $A.doc("entry, control or ctl.");
  incarnation @3 :UInt64 $A.doc("Grows with each start of the process and after each pause.");
  peerUrl @4 :Text $A.doc("Peer URL of the sender; empty where it has none.");
  revision @5 :UInt64 $A.doc("Highest document revision seen.");
}

struct Heartbeat $A.doc("Sign of life.") {
  incarnation @0 :UInt64 $A.doc("Incarnation of the sender.");
  revision @1 :UInt64 $A.doc("Highest document revision seen.");
}

struct Suspicion $A.doc("A member is suspected to have failed, or no longer is.") {
  host @0 :Text $A.doc("The suspected host.");
  incarnation @1 :UInt64 $A.doc("Incarnation that is suspected.");
  suspected @2 :Bool $A.doc("False withdraws the suspicion.");
}

struct Revision $A.doc("A document revision that the sender has in force.") {
  revision @0 :UInt64 $A.doc("Revision.");
  object @1 :Text $A.doc("Name of the object with the text.");
  attemptId @2 :Text $A.doc("Random id of the commit.");
}

struct DocumentRequest $A.doc("Asks for the text of the sender's document.") {
  atLeast @0 :UInt64 $A.doc("Lowest revision of use.");
}

struct DocumentBody $A.doc("Text of a document.") {
  revision @0 :UInt64 $A.doc("Revision.");
  object @1 :Text $A.doc("Name of the object with the text.");
  attemptId @2 :Text $A.doc("Random id of the commit.");
  text @3 :Text $A.doc("The document's text.");
}

struct EngineLoad $A.doc("Load report of an engine, spread within its failure domain.") {
  engine @0 :Text $A.doc("Engine.");
  ageS @1 :Float64 $A.unit("s") $A.doc("Age when sent.");
  report @2 :E.LoadReport $A.doc("The report.");
}

struct EngineCache $A.doc("Prefix cache changes of an engine, spread within its failure domain.") {
  engine @0 :Text $A.doc("Engine.");
  events @1 :List(E.CacheEvent) $A.doc("Events in order.");
}

struct Quarantine $A.doc("A request fingerprint seen at endpoint crashes.") {
  fingerprint @0 :Text $A.doc("Keyed hash of account and body, in hexadecimal.");
  crashes @1 :UInt32 $A.doc("Endpoint crashes at which it was in flight.");
  expiresInS @2 :Float64 $A.unit("s") $A.doc("Time until it is forgotten.");
  endpoint @3 :Text $A.doc("Endpoint that crashed last.");
}

struct DrainMark $A.doc("Tells entry processes to stop or resume dispatch to an engine.") {
  engine @0 :Text $A.doc("Engine.");
  drainNumber @1 :UInt64 $A.doc("Grows with each drain of the failure domain.");
  epoch @2 :UInt64 $A.doc("Lease epoch of the controller.");
  active @3 :Bool $A.doc("True stops dispatch; false resumes it.");
  reason @4 :Text $A.doc("Why.");
}

struct DrainAck $A.doc("Answer to a drain mark.") {
  engine @0 :Text $A.doc("Engine.");
  drainNumber @1 :UInt64 $A.doc("The mark's number.");
  host @2 :Text $A.doc("Host that answers.");
  incarnation @3 :UInt64 $A.doc("Its incarnation.");
  inFlight @4 :UInt32 $A.doc("Requests still in flight from this process.");
}

struct CreditRequest $A.doc("Asks the owner of a limit for credits.") {
  limit @0 :Text $A.doc("Name of the limit.");
  demand @1 :Float64 $A.unit("engine s/s") $A.doc("Recent demand for work.");
}

struct CreditGrant $A.doc("Credits that the owner of a limit hands out.") {
  limit @0 :Text $A.doc("Name of the limit.");
  rate @1 :Float64 $A.unit("engine s/s") $A.doc("Work that may be admitted.");
  expiresInS @2 :Float64 $A.unit("s") $A.doc("Time until the grant lapses.");
  members @3 :UInt32 $A.doc("Members among which the owner divides the limit.");
}

struct DomainSummary $A.doc("Free capacity of a failure domain, by model.") {
  domain @0 :Text $A.doc("Failure domain.");
  models @1 :List(ModelCapacity) $A.doc("Per model.");
}

struct ModelCapacity $A.doc("Free capacity for one model.") {
  model @0 :Text $A.doc("Model.");
  engines @1 :UInt32 $A.doc("Engines that take work.");
  queueDelayS @2 :Float64 $A.unit("s") $A.doc("Expected wait of new work.");
}

struct WorkerWork $A.doc("Work that a process has at an engine.") {
  worker @0 :Text $A.doc("Id of the worker.");
  tokens @1 :UInt32 $A.unit("tokens") $A.doc("Prompt tokens that are still to be read, those with much before them counted as more.");
  streams @2 :UInt32 $A.doc("Generations that it runs.");
  streamTokens @3 :UInt32 $A.unit("tokens") $A.doc("KV cache that they take when they are complete.");
}

struct CachedPart $A.doc("A shared part of prompts that an engine has read or fetched.") {
  worker @0 :Text $A.doc("Id of the worker.");
  part @1 :Text $A.doc("Identity of the part.");
  tokens @2 :UInt32 $A.unit("tokens") $A.doc("Its length.");
}

struct EngineWork $A.doc("Work that a gateway process has at the engines now.") {
  host @0 :Text $A.doc("Host of the process.");
  sequence @1 :UInt64 $A.doc("Grows with each message of a process; a lower one is late.");
  bornMs @2 :UInt64 $A.unit("ms") $A.doc("Start of the process; sequences begin anew with it.");
  workers @3 :List(WorkerWork) $A.doc("Engines with at least one prompt or generation.");
  parts @4 :List(CachedPart) $A.doc("Shared parts of prompts that were sent to engines since the message before.");
  domain @5 :Text $A.doc("Failure domain of the process.");
  forward @6 :Bool $A.doc("Whether the receiver tells the others of its failure domain.");
  address @7 :Text $A.doc("IP number of the process.");
  port @8 :UInt16 $A.doc("Port of the process for messages.");
}

struct FleetNews $A.doc("What a gateway process has just read from the store.") {
  host @0 :Text $A.doc("Host of the process.");
  manifestVersion @1 :UInt64 $A.doc("Version of the manifest.");
  workersDigest @2 :UInt64 $A.doc("Digest of the list of workers.");
  listVersion @3 :UInt64 $A.doc("Version of the store of which the list of workers is.");
  changed @4 :List(S.Worker) $A.doc("Workers that came or changed in the last seconds.");
  gone @5 :List(Text) $A.doc("Ids of workers that went in the last seconds.");
}
