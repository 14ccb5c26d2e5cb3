@0x9f4cb5d1a7e03c15;
# Rows of the platform's tables and records of the journal, encoded as JSON.
using A = import "annotations.capnp";
using E = import "endpoints.capnp";
using F = import "fleet.capnp";

enum OrderPhase $A.doc("Progress of an order.") {
  open @0 $A.doc("Written; it may or may not have reached the engine.");
  done @1 $A.doc("The engine's own state shows that it was carried out.");
  void @2 $A.doc("The engine's own state shows that it was never accepted.");
  draining @3 $A.doc("Entry processes are stopping dispatch; nothing has been sent to the engine.");
}

enum ClaimPhase $A.doc("Progress of a claimed call.") {
  claimed @0 $A.doc("Sent, or about to be sent.");
  done @1 $A.doc("The answer is stored.");
  released @2 $A.doc("The call did not run; the key may be used again.");
  unknown @3 $A.doc("The call may have run; it is never sent again.");
}

struct DocumentRow $A.doc("Row that names the document in force.") {
  revision @0 :UInt64 $A.doc("Revision, incremented by one with each commit.");
  object @1 :Text $A.doc("Name of the object with the document's text.");
  attemptId @2 :Text $A.doc("Random id of the commit that wrote the row.");
  history @3 :List(Commit) $A.doc("Latest commits, newest first, bounded.");
}

struct DocumentHead $A.doc("Small row that names the revision in force; it is polled.") {
  revision @0 :UInt64 $A.doc("Revision.");
  attemptId @1 :Text $A.doc("Random id of the commit.");
}

struct RemovedNames $A.doc("Members that a document no longer has.") {
  list @0 :Text $A.doc("Name of the list.");
  names @1 :List(Text) $A.doc("Names of the members.");
}

struct DocumentDelta $A.doc("Difference between a document and the previous one.") {
  baseAttemptId @0 :Text $A.doc("Random id of the commit that it applies to.");
  changed @1 :F.Fleet $A.doc("Single fields, and the members that were added or changed.");
  removed @2 :List(RemovedNames) $A.doc("Members that were removed.");
  whole @3 :List(Text) $A.doc("Lists that are included in full, because their order changed.");
}

struct Commit $A.doc("An accepted document.") {
  revision @0 :UInt64 $A.doc("Revision.");
  attemptId @1 :Text $A.doc("Random id of the attempt.");
  operator @2 :Text $A.doc("Operator who committed it.");
  timeS @3 :Float64 $A.unit("s") $A.doc("Unix time of the commit.");
  object @4 :Text $A.doc("Name of the object with the text.");
  note @5 :Text $A.doc("The operator's note.");
}

struct LeaseRow $A.doc("Lease of a failure domain's controller.") {
  holder @0 :Text $A.doc("Holder: host and a random id of the process.");
  epoch @1 :UInt64 $A.doc("Fencing number; increases with each change of holder.");
  durationS @2 :Float64 $A.unit("s") $A.doc("Duration of the lease from its last renewal.");
  renewal @3 :UInt64 $A.doc("Number of the write, unique for the holder.");
}

struct GrantRow $A.doc("The latest authority to give orders to the engines of a service.") {
  holder @0 :Text $A.doc("Host of the process that was granted it.");
  fence @1 :UInt64 $A.doc("Fencing number; increases with each grant.");
  grantedS @2 :Float64 $A.unit("s") $A.doc("Time of the grant by the store's steady clock.");
  storeEra @3 :UInt64 $A.doc("Era of the store at the grant; 0 if it is not known.");
}

struct OrderRow $A.doc("The latest order to an engine.") {
  order @0 :E.Order $A.doc("The order.");
  phase @1 :OrderPhase $A.doc("Progress.");
  reason @2 :Text $A.doc("Reason for the order.");
  role @3 :F.Role $A.doc("The engine's role when an order was last done.");
  model @4 :Text $A.doc("The engine's model and version when an order was last done; empty where none was.");
}

struct ClaimRow $A.doc("Claim of a call that runs at most once.") {
  requestId @0 :Text $A.doc("Request that holds the claim.");
  bodyHash @1 :Text $A.doc("Hash of method, path and body.");
  phase @2 :ClaimPhase $A.doc("Progress.");
  status @3 :UInt16 $A.doc("HTTP status of the stored answer.");
  contentType @4 :Text $A.doc("Content type of the stored answer.");
  answer @5 :Text $A.doc("Stored answer in base64; empty where it was too large.");
  timeS @6 :Float64 $A.unit("s") $A.doc("Unix time of the claim.");
  attemptId @7 :Text $A.doc("Random id of the attempt that wrote the claim; distinguishes a process's own unacknowledged write from another's.");
  answerBytes @8 :UInt32 $A.unit("bytes") $A.doc("Size of the answer, also where it was too large to be stored.");
  reason @9 :Text $A.doc("Why the phase is unknown.");
}

struct Attempt $A.doc("One attempt of a request at an endpoint.") {
  endpoint @0 :Text $A.doc("Endpoint, or peer host for a hop to another failure domain.");
  startS @1 :Float64 $A.unit("s") $A.doc("Start time, from the receipt of the request.");
  endS @2 :Float64 $A.unit("s") $A.doc("End time, from the receipt of the request.");
  choice @3 :Text $A.doc("Why the endpoint was chosen.");
  outcome @4 :Text $A.doc("How the attempt ended.");
  offset @5 :UInt32 $A.unit("tokens") $A.doc("Token offset at which it started.");
  tokens @6 :UInt32 $A.unit("tokens") $A.doc("Tokens that it delivered.");
  cachedTokens @7 :UInt32 $A.unit("tokens") $A.doc("Prompt tokens found in the prefix cache.");
}

struct RequestRecord $A.doc("Journal record of one request.") {
  requestId @0 :Text $A.doc("Request id: host, time slot and a random part.");
  host @1 :Text $A.doc("Entry host that received it.");
  domain @2 :Text $A.doc("Failure domain of that host.");
  receivedS @3 :Float64 $A.unit("s") $A.doc("Unix time of receipt.");
  account @4 :Text $A.doc("Account.");
  kind @5 :Text $A.doc("completion or service.");
  target @6 :Text $A.doc("Model, or service with method and path.");
  rank @7 :Text $A.doc("Rank.");
  revision @8 :UInt64 $A.doc("Document revision in force.");
  queuedS @9 :Float64 $A.unit("s") $A.doc("Time in the queue.");
  queueReason @10 :Text $A.doc("What it waited for.");
  attempts @11 :List(Attempt) $A.doc("Attempts in order.");
  firstTokenS @12 :Float64 $A.unit("s") $A.doc("Time to the first token; 0 where there was none.");
  totalS @13 :Float64 $A.unit("s") $A.doc("Time to the end.");
  promptTokens @14 :UInt32 $A.unit("tokens") $A.doc("Prompt tokens.");
  outputTokens @15 :UInt32 $A.unit("tokens") $A.doc("Tokens delivered.");
  outcome @16 :Text $A.doc("completed, not run or unknown.");
  cause @17 :Text $A.doc("Cause of a refusal or failure; empty where completed.");
  detail @18 :Text $A.doc("Figures that explain the cause.");
  late @19 :Bool $A.doc("Whether the rank's target was missed.");
  idempotencyKeyHash @20 :Text $A.doc("Hash of the caller's idempotency key.");
  repeatOf @21 :Text $A.doc("Earlier request with the same idempotency key.");
  peerOf @22 :Text $A.doc("Entry host that forwarded it, for a hop between failure domains.");
}

struct LostCount $A.doc("Number of lost journal records of one kind.") {
  reason @0 :Text $A.doc("Why the records were lost.");
  outcome @1 :Text $A.doc("Outcome of the requests.");
  cause @2 :Text $A.doc("Cause of a refusal or failure; empty where completed.");
  records @3 :UInt64 $A.doc("Number of records.");
}

struct JournalLoss $A.doc("Journal records of one time slot that were lost.") {
  host @0 :Text $A.doc("Entry host.");
  slot @1 :Text $A.doc("Time slot of the requests.");
  counts @2 :List(LostCount) $A.doc("Numbers of lost records.");
}

struct JournalBatch $A.doc("One object of the journal, compressed JSON.") {
  host @0 :Text $A.doc("Entry host that wrote it.");
  slot @1 :Text $A.doc("Time slot of its requests.");
  records @2 :List(RequestRecord) $A.doc("Records in the order in which the requests ended.");
  losses @3 :List(JournalLoss) $A.doc("Losses that were detected since the last batch.");
}

struct WorkerCrash $A.doc("Crash of a worker at which requests with a key were starting.") {
  worker @0 :Text $A.doc("The worker and its start.");
  ageMs @1 :Int64 $A.unit("ms") $A.doc("Time since the crash.");
}

struct CrashRecord $A.doc("Evidence that a part of prompts, or a request, makes workers crash.") {
  key @0 :Text $A.doc("Names the part or the request.");
  crashes @1 :List(WorkerCrash) $A.doc("Crashes at which requests with it were starting.");
  successAgeMs @2 :Int64 = -1 $A.unit("ms") $A.doc("Time since the latest successful answer; -1 for none.");
  trialAgeMs @3 :Int64 = -1 $A.unit("ms") $A.doc("Time since the start of the latest trial; -1 for none.");
  isFirst @4 :Bool $A.doc("Whether it is the first part of prompts.");
}

struct QuarantineRow $A.doc("Row with the quarantined parts and requests.") {
  storeS @0 :Float64 $A.unit("s") $A.doc("Time of the store's clock from which the ages count.");
  evidence @1 :List(CrashRecord) $A.doc("Evidence on each of them.");
}

struct VersionRecord $A.doc("A version of the software of a service's engines.") {
  service @0 :Text $A.doc("The service.");
  version @1 :Text $A.doc("The version.");
  listedAgeMs @2 :Int64 $A.unit("ms") $A.doc("Time since a worker of it was last listed.");
  storedAgeMs @3 :Int64 = -1 $A.unit("ms") $A.doc("Time since the store has had it; -1 if it is not known to.");
}

struct VersionsRow $A.doc("Row with the versions that may have begun streams.") {
  storeS @0 :Float64 $A.unit("s") $A.doc("Time of the store's clock from which the ages count.");
  era @1 :UInt64 $A.doc("Era of the store in which the row was written.");
  knownAgeMs @2 :Int64 $A.unit("ms") $A.doc("Time since which the row has all versions that began streams.");
  versions @3 :List(VersionRecord) $A.doc("The versions.");
}

struct AccountUsage $A.doc("Requests of a client account that began to run in a window.") {
  account @0 :Text $A.doc("Name of the account.");
  requests @1 :UInt64 $A.doc("Number of requests.");
}

struct UsageRow $A.doc("Report of a window. It is inserted before it is first sent, and never changes.") {
  window @0 :UInt64 $A.doc("Index of the window.");
  counts @1 :List(AccountUsage) $A.doc("Accounts with at least one request.");
  holder @2 :Text $A.doc("Host of the process that wrote it.");
  fence @3 :UInt64 $A.doc("Fencing number of its grant.");
}

struct OrderedWorkers $A.doc("Latest order for the workers of one kind in one failure domain.") {
  domain @0 :Text $A.doc("The failure domain.");
  isSpot @1 :Bool $A.doc("Whether they are spot workers.");
  desired @2 :UInt32 $A.doc("Desired number of workers.");
}

struct ScalingRow $A.doc("Row with the latest worker orders of a service. It is written before they are sent.") {
  era @0 :UInt64 $A.doc("Era of the store in which it was written; the orders of an earlier one are ignored.");
  holder @1 :Text $A.doc("Host of the process that wrote it.");
  fence @2 :UInt64 $A.doc("Fencing number of its grant.");
  orders @3 :List(OrderedWorkers) $A.doc("The orders.");
}
