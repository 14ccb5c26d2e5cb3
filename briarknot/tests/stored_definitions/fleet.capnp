@0xaf4cb5d1a7e03c12;
# The fleet document: the single statement of what the fleet should be.
using A = import "annotations.capnp";

enum Role $A.doc("Work that an engine takes.") {
  mixed @0 $A.doc("Prefill and decode.");
  prefill @1 $A.doc("Prefill only; the KV cache is handed to a decode engine.");
  decode @2 $A.doc("Decode only; the KV cache is imported.");
}

struct Fleet $A.doc("The whole document.") {
  name @0 :Text $A.required $A.pattern("[a-z0-9][a-z0-9-]*") $A.doc("Name of the fleet.");
  domains @1 :List(Domain) $A.required $A.doc("Failure domains.");
  ranks @2 :List(Rank) $A.required $A.doc("Ranks of work, most urgent first.");
  models @3 :List(Model) $A.doc("Models that engines may serve.");
  engines @4 :List(Engine) $A.doc("Language-model engines.");
  services @5 :List(Service) $A.doc("Plain services.");
  accounts @6 :List(Account) $A.doc("Accounts of callers.");
  policies @7 :Policies $A.doc("Names of the decision policies in use.");
}

struct Domain $A.doc("A failure domain.") {
  name @0 :Text $A.required $A.pattern("[a-z0-9][a-z0-9-]*") $A.doc("Name, unique in the fleet.");
  region @1 :Text $A.required $A.doc("Region that the failure domain belongs to.");
}

struct Rank $A.doc("A rank of work with its target and worth.") {
  name @0 :Text $A.required $A.pattern("[a-z0-9][a-z0-9-]*") $A.doc("Name, unique in the fleet.");
  worth @1 :Float64 = 1 $A.minimum(0) $A.doc("Worth of one request that meets its target, relative to other ranks.");
  firstTokenS @2 :Float64 = 1.7 $A.unit("s") $A.minimum(0.01) $A.maximum(86400) $A.doc("Target for the time to the first token.");
  tokenIntervalS @3 :Float64 = 0.033 $A.unit("s") $A.minimum(0.001) $A.maximum(60) $A.doc("Target for the mean time between tokens.");
  floorShare @4 :Float64 = 0 $A.minimum(0) $A.maximum(1) $A.doc("Share of capacity that the rank keeps while others flood in.");
  maxQueueS @5 :Float64 = 30 $A.unit("s") $A.minimum(0) $A.maximum(86400) $A.doc("Longest wait in the queue before the request is refused.");
}

struct Model $A.doc("A model and the version that should run.") {
  name @0 :Text $A.required $A.doc("Name that callers use.");
  version @1 :Text = "1" $A.doc("Version that engines should run.");
  prefillTokensPerS @2 :Float64 = 8000 $A.unit("tokens/s") $A.minimum(1) $A.doc("Prior for the prefill speed of one engine.");
  decodeTokensPerS @3 :Float64 = 40 $A.unit("tokens/s") $A.minimum(1) $A.doc("Prior for the decode speed of one stream.");
  maxStreams @4 :UInt32 = 16 $A.minimum(1) $A.maximum(4096) $A.doc("Streams that one engine decodes at once.");
}

struct Engine $A.doc("One language-model engine.") {
  name @0 :Text $A.required $A.pattern("[a-z0-9][a-z0-9-]*") $A.doc("Name, unique in the fleet.");
  domain @1 :Text $A.required $A.references("domains") $A.doc("Failure domain.");
  url @2 :Text $A.required $A.pattern("https?://.+") $A.doc("Base URL.");
  group @3 :Text = "default" $A.doc("Group in which at most one engine changes role at a time.");
  model @4 :Text $A.required $A.references("models") $A.doc("Model that it should serve.");
  role @5 :Role = mixed $A.doc("Role at the start, and the fixed role with static planning.");
  leaving @6 :Bool = false $A.doc("Whether the engine is being withdrawn; it receives no new work.");
  checksFencing @7 :Bool = true $A.doc("Whether the engine refuses orders with an old fencing number.");
}

struct Service $A.doc("A plain service.") {
  name @0 :Text $A.required $A.pattern("[a-z0-9][a-z0-9-]*") $A.doc("Name; callers use /services/NAME/.");
  endpoints @1 :List(ServiceEndpoint) $A.required $A.doc("Workers of the service.");
  nonRepeatable @2 :List(CallPattern) $A.doc("Calls that run at most once.");
  rank @3 :Text $A.references("ranks") $A.doc("Rank of its calls; empty for the account's rank.");
  timeoutS @4 :Float64 = 30 $A.unit("s") $A.minimum(0.1) $A.maximum(3600) $A.doc("Time limit of one call.");
}

struct ServiceEndpoint $A.doc("One worker of a plain service.") {
  name @0 :Text $A.required $A.pattern("[a-z0-9][a-z0-9-]*") $A.doc("Name, unique in the fleet.");
  domain @1 :Text $A.required $A.references("domains") $A.doc("Failure domain.");
  url @2 :Text $A.required $A.pattern("https?://.+") $A.doc("Base URL.");
  leaving @3 :Bool = false $A.doc("Whether the endpoint is being withdrawn; it receives no new work.");
}

struct CallPattern $A.doc("Calls chosen by method and path.") {
  method @0 :Text = "POST" $A.pattern("GET|PUT|POST|PATCH|DELETE") $A.doc("HTTP method.");
  path @1 :Text $A.required $A.pattern("/.*") $A.doc("Path below the service, with * for any characters.");
}

struct Account $A.doc("An account of a caller.") {
  name @0 :Text $A.required $A.pattern("[a-z0-9][a-z0-9._-]*") $A.doc("Name, unique in the fleet.");
  keyHashes @1 :List(Text) $A.required $A.hidden $A.pattern("[0-9a-f]{64}") $A.doc("SHA-256 of each valid API key, in hexadecimal.");
  ranks @2 :List(Text) $A.references("ranks") $A.doc("Ranks that the account may use; the first is its default. Empty allows all, with the least urgent as default.");
  capShare @3 :Float64 = 1 $A.minimum(0) $A.maximum(1) $A.doc("Largest share of a failure domain's capacity that the account may use.");
  limitWorkPerS @4 :Float64 = 0 $A.unit("engine s/s") $A.minimum(0) $A.doc("Fleet-wide limit of work; 0 means no limit.");
  maxStreams @5 :UInt32 = 64 $A.minimum(1) $A.doc("Open streams per entry process.");
}

struct PlannerTimes $A.doc("Times by which roles are planned.") {
  horizonS @0 :Float64 = 60 $A.unit("s") $A.minimum(0.1) $A.maximum(86400) $A.doc("Time over which a change must pay.");
  changeS @1 :Float64 = 8 $A.unit("s") $A.minimum(0) $A.maximum(3600) $A.doc("Time for which a changing engine is unavailable.");
  persistS @2 :Float64 = 6 $A.unit("s") $A.minimum(0) $A.maximum(3600) $A.doc("Time for which a gain must last; shorter peaks are noise.");
  settleS @3 :Float64 = 30 $A.unit("s") $A.minimum(0) $A.maximum(86400) $A.doc("Time after a change without another in its group.");
  shortWindowS @4 :Float64 = 8 $A.unit("s") $A.minimum(0.1) $A.maximum(3600) $A.doc("Time constant of the short window of demand.");
  longWindowS @5 :Float64 = 120 $A.unit("s") $A.minimum(0.1) $A.maximum(86400) $A.doc("Time constant of the long window of demand.");
}

struct Policies $A.doc("Decision policies by their registered names.") {
  admission @0 :Text = "ranked" $A.registry("admission") $A.doc("Admission and queue discipline.");
  router @1 :Text = "least_work" $A.registry("router") $A.doc("Endpoint choice.");
  planner @2 :Text = "two_window" $A.registry("planner") $A.doc("Role planning.");
  plannerIntervalS @3 :Float64 = 2 $A.unit("s") $A.minimum(0.05) $A.maximum(600) $A.doc("Time between role decisions.");
  plannerTimes @4 :PlannerTimes $A.doc("Times by which roles are planned.");
}
