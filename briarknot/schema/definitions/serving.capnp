@0x9f4cb5d1a7e03c17;
# The fleet as a gateway process sees it: manifest, routes, and workers.
using A = import "annotations.capnp";

enum RequestKind $A.doc("Whether a request may be repeated.") {
  idempotent @0 $A.doc("It may run more than once.");
  nonIdempotent @1 $A.doc("It runs at most once.");
  generation @2 $A.doc("It is answered by a stream of events; repeated only where its route is resumable.");
}

enum Stage $A.doc("Stage of a generation that a worker performs.") {
  none @0 $A.doc("The worker is a plain service.");
  prefill @1 $A.doc("It prefills prompts and transfers their KV cache.");
  decode @2 $A.doc("It generates tokens.");
}

struct Destination $A.doc("A share of a route's requests.") {
  service @0 :Text $A.doc("Service that runs them.");
  weight @1 :Float64 $A.doc("Share relative to the route's other destinations.");
}

struct Route $A.doc("Destinations of requests with one host and path prefix.") {
  name @0 :Text $A.doc("Name of the route.");
  host @1 :Text $A.doc("Host of the requests.");
  pathPrefix @2 :Text $A.doc("Start of the path, with a slash at both ends.");
  kind @3 :RequestKind $A.doc("Whether its requests may be repeated.");
  timeoutS @4 :Float64 $A.unit("s") $A.doc("Time limit of the whole answer.");
  targetS @5 :Float64 $A.unit("s") $A.doc("Latency target of the answer, or of the first event.");
  rank @6 :UInt8 $A.doc("Urgency; 0 is the most urgent.");
  destinations @7 :List(Destination) $A.doc("Services that run the requests.");
  maxAttempts @8 :UInt8 $A.doc("Largest number of workers that may run one request.");
  resumable @9 :Bool $A.doc("Whether a stream may be resumed at another worker.");
  eventGapS @10 :Float64 $A.unit("s") $A.doc("Longest gap between events of an answer that is on time.");
  maxSilenceS @11 :Float64 $A.unit("s") $A.doc("Time without an event after which clients abandon an answer; 0 where they don't.");
  isPublic @12 :Bool $A.doc("Whether its requests need no key.");
}

struct EngineLimits $A.doc("Properties that all engines of a service share.") {
  slots @0 :UInt32 $A.doc("Requests that an engine runs concurrently.");
  kvTokens @1 :UInt32 $A.unit("tokens") $A.doc("KV-cache memory of an engine.");
  kvTokenBytes @2 :UInt32 $A.unit("bytes") $A.doc("KV cache of one token.");
  linkBitsPerS @3 :Float64 $A.unit("bit/s") $A.doc("Speed of KV-cache transfers.");
  handleTtlS @4 :Float64 $A.unit("s") $A.doc("Time for which a prefilled prompt is kept.");
  switchS @5 :Float64 $A.unit("s") $A.doc("Duration of a stage change after the running work has ended.");
}

struct DomainPrice $A.doc("Price of a paid worker in a failure domain.") {
  domain @0 :Text $A.doc("The failure domain.");
  price @1 :Float64 $A.doc("Price of one second of a worker that can't be reclaimed.");
}

struct ScalingLimits $A.doc("Limits within which the workers of a service are ordered.") {
  least @0 :UInt32 $A.doc("Workers of both kinds that a failure domain keeps.");
  most @1 :UInt32 $A.doc("Workers of both kinds that a failure domain may have.");
  bootS @2 :Float64 $A.unit("s") $A.doc("Longest time from an order until the worker serves.");
  spotPrice @3 :Float64 $A.doc("Price of a spot worker relative to others of its failure domain.");
  prices @4 :List(DomainPrice) $A.doc("Prices by failure domain; workers can be ordered in these.");
}

struct Service $A.doc("Interchangeable workers.") {
  name @0 :Text $A.doc("Name of the service.");
  maxConnections @1 :UInt32 $A.doc("Connections that a worker accepts from all hosts.");
  hasEngines @2 :Bool $A.doc("Whether its workers are model engines.");
  engine @3 :EngineLimits $A.doc("Limits of its engines.");
  hasScaling @4 :Bool $A.doc("Whether its workers are ordered.");
  scaling @5 :ScalingLimits $A.doc("Limits of the orders.");
}

struct ClientLimits $A.doc("Limits on what a client may send.") {
  headerBytes @0 :UInt32 $A.unit("bytes") $A.doc("Largest header section.");
  bodyBytes @1 :UInt32 $A.unit("bytes") $A.doc("Largest body.");
  headerTimeoutS @2 :Float64 $A.unit("s") $A.doc("Longest time to send the header section.");
  idleTimeoutS @3 :Float64 $A.unit("s") $A.doc("Longest time that a connection stays idle.");
}

struct Account $A.doc("A client account: whose requests carry one of its keys.") {
  name @0 :Text $A.doc("Name, which workers get with each request.");
  keyHashes @1 :List(Data) $A.doc("Keyed hashes of its keys; the hash key is random in each process.");
  hasRank @2 :Bool $A.doc("Whether its rank precedes that of the route.");
  rank @3 :UInt8 $A.doc("Urgency of its requests; 0 is the most urgent.");
}

struct Manifest $A.doc("The operators' routes and services at one version.") {
  version @0 :UInt64 $A.doc("Version; it only increases.");
  routes @1 :List(Route) $A.doc("Routes.");
  services @2 :List(Service) $A.doc("Services.");
  limits @3 :ClientLimits $A.doc("Limits of clients.");
  accounts @4 :List(Account) $A.doc("Client accounts that can be used.");
  hasAccounts @5 :Bool $A.doc("Whether requests need a key, even if no account can be used.");
  invalidAccounts @6 :List(Text) $A.doc("What is wrong with entries of accounts, without their keys.");
  invalidScaling @7 :List(Text) $A.doc("What is wrong with scaling limits that are ignored.");
}

struct Worker $A.doc("A worker as it last registered itself.") {
  id @0 :Text $A.doc("Identity; a restart usually changes it.");
  service @1 :Text $A.doc("Service that it belongs to.");
  address @2 :Text $A.doc("IP number and port.");
  domain @3 :Text $A.doc("Failure domain.");
  slots @4 :UInt32 $A.doc("Requests that it runs concurrently.");
  draining @5 :Bool $A.doc("Whether it is leaving.");
  stage @6 :Stage $A.doc("Stage of a generation that it performs.");
  coldS @7 :Float64 $A.unit("s") $A.doc("Time for which it remains slow after its start.");
  bornMs @8 :UInt64 $A.unit("ms") $A.doc("Unix time of its start; distinguishes a restart under the same id.");
  version @9 :Text $A.doc("Version of its software; empty if it states none. A stream continues only at the version at which it began.");
  isSpot @10 :Bool $A.doc("Whether it may be reclaimed, and costs less.");
  leavesS @11 :Float64 $A.unit("s") $A.doc("Time until it ends, as its entry states; 0 if it states none.");
}

struct PromptPart $A.doc("A part of a prompt that requests may share.") {
  id @0 :Text $A.doc("Identity of the part's text.");
  tokens @1 :UInt32 $A.unit("tokens") $A.doc("Length of the part.");
}
