@0x9f4cb5d1a7e03c13;
# Settings of the programs.
using A = import "annotations.capnp";

enum TraceExporter $A.doc("Destination of spans.") {
  none @0 $A.doc("Spans only propagate their context and are not exported.");
  file @1 $A.doc("One JSON object per line.");
  otlp @2 $A.doc("OTLP over HTTP.");
}

enum LoadSpreading $A.doc("Choice among engines of nearly equal cost.") {
  nearCheapest @0 $A.doc("By chance near the lowest known cost.");
  waterFilling @1 $A.doc("By chance among the engines that are expected to be the cheapest once the requests of other gateways have filled the lowest load.");
}

enum CacheListing $A.doc("When gateways read the lists of cached prompt parts from engines.") {
  off @0 $A.doc("Never.");
  atStart @1 $A.doc("Once after a start at which no other gateway knows the caches.");
}

struct Node $A.doc("Identity and shared connections of a process.") {
  host @0 :Text $A.required $A.pattern("[a-z0-9][a-z0-9-]*") $A.doc("Name of the host, unique in the fleet.");
  domain @1 :Text $A.required $A.doc("Failure domain of the host.");
  listen @2 :Text = "127.0.0.1" $A.doc("IP number to listen on.");
  advertise @3 :Text = "127.0.0.1" $A.doc("IP number at which peers reach this host.");
  adminPort @4 :UInt16 $A.required $A.doc("Port for liveness, readiness and metrics.");
  platformUrl @5 :Text $A.required $A.pattern("https?://.+") $A.doc("Base URL of the platform.");
  platformTimeoutS @6 :Float64 = 2 $A.unit("s") $A.minimum(0.05) $A.maximum(60) $A.doc("Time limit of one platform call.");
  peerSecret @7 :Text $A.required $A.secret $A.doc("Secret that the system's own processes share.");
  peers @8 :List(Text) $A.pattern("https?://.+") $A.doc("Peer URLs to contact first.");
  drainGraceS @9 :Float64 = 2 $A.unit("s") $A.minimum(0) $A.maximum(600) $A.doc("Time for which listeners stay open after readiness turns off.");
  stopTimeoutS @10 :Float64 = 600 $A.unit("s") $A.minimum(1) $A.maximum(86400) $A.doc("Longest wait for open streams at a planned stop.");
  tracing @11 :Tracing $A.doc("Export of spans.");
}

struct Tracing $A.doc("Export of spans.") {
  exporter @0 :TraceExporter = none $A.doc("Exporter in use.");
  target @1 :Text $A.doc("File path or OTLP endpoint URL.");
  sampleShare @2 :Float64 = 1 $A.minimum(0) $A.maximum(1) $A.doc("Share of traces that are exported.");
}

struct EntrySettings $A.doc("Settings of briarknot-entry.") {
  node @0 :Node $A.required $A.doc("Identity and shared connections.");
  callerPort @1 :UInt16 $A.required $A.doc("Port for callers.");
  peerPort @2 :UInt16 $A.required $A.doc("Port for the system's own processes.");
  limits @3 :Limits $A.doc("Limits of callers' input.");
  timing @4 :Timing $A.doc("Periods and time limits.");
  connections @5 :Connections $A.doc("Limits of callers' connections.");
}

struct Limits $A.doc("Limits of callers' input.") {
  bodyBytes @0 :UInt32 = 16777216 $A.unit("bytes") $A.minimum(1024) $A.doc("Largest request body.");
  headerBytes @1 :UInt32 = 16384 $A.unit("bytes") $A.minimum(1024) $A.doc("Largest header line.");
  jsonDepth @2 :UInt32 = 32 $A.minimum(2) $A.maximum(256) $A.doc("Deepest nesting of a JSON body.");
  storedAnswerBytes @3 :UInt32 = 65536 $A.unit("bytes") $A.doc("Largest answer stored with a claim.");
  journalBytes @4 :UInt32 = 33554432 $A.unit("bytes") $A.minimum(65536) $A.doc("Largest journal buffer in memory.");
  memoryMb @5 :UInt32 = 256 $A.unit("MB") $A.minimum(64) $A.doc("Memory of the host. 19 of 100 hold bodies of callers, each of which may take as much as bodyBytes.");
  bodyIdleS @6 :Float64 = 15 $A.unit("s") $A.minimum(0.1) $A.maximum(600) $A.doc("Longest time between two parts of a body.");
}

struct Connections $A.doc("Limits of connections of callers or operators.") {
  maxDescriptors @0 :UInt32 $A.doc("File descriptors that the process may open; 0 for the limit that the system sets. Connections get 45 of 100.");
  headerSectionBytes @1 :UInt32 = 65536 $A.unit("bytes") $A.minimum(1024) $A.doc("Largest header section; twice as much is refused with 431.");
  headerTimeoutS @2 :Float64 = 30 $A.unit("s") $A.minimum(0.1) $A.maximum(3600) $A.doc("Longest time to send a header section; twice as long is refused with 408.");
  idleS @3 :Float64 = 120 $A.unit("s") $A.minimum(0.1) $A.maximum(86400) $A.doc("Time after which an idle connection may be closed where there are too many; it is closed after twice as long.");
}

struct Timing $A.doc("Periods and time limits.") {
  documentPollS @0 :Float64 = 1 $A.unit("s") $A.minimum(0.02) $A.maximum(2) $A.doc("Polling period of the document's row.");
  loadPollS @1 :Float64 = 0.5 $A.unit("s") $A.minimum(0.02) $A.maximum(30) $A.doc("Polling period of load reports.");
  heartbeatS @2 :Float64 = 1 $A.unit("s") $A.minimum(0.02) $A.maximum(30) $A.doc("Period of heartbeats between peers.");
  suspectAfterS @3 :Float64 = 3 $A.unit("s") $A.minimum(0.05) $A.maximum(120) $A.doc("Silence after which a peer is suspected.");
  connectTimeoutS @4 :Float64 = 2 $A.unit("s") $A.minimum(0.05) $A.maximum(30) $A.doc("Time limit of opening a connection to an endpoint.");
  prefillSilenceS @5 :Float64 = 30 $A.unit("s") $A.minimum(0.1) $A.maximum(3600) $A.doc("Longest silence before the first token.");
  decodeSilenceS @6 :Float64 = 3 $A.unit("s") $A.minimum(0.1) $A.maximum(600) $A.doc("Longest silence between tokens.");
  journalFlushS @7 :Float64 = 10 $A.unit("s") $A.minimum(0.1) $A.maximum(600) $A.doc("Period of writing journal batches.");
  claimGroupS @8 :Float64 = 0.005 $A.unit("s") $A.minimum(0) $A.maximum(1) $A.doc("Time for which claims wait to share a write with others.");
}

struct ControlSettings $A.doc("Settings of briarknot-control.") {
  node @0 :Node $A.required $A.doc("Identity and shared connections.");
  leaseS @1 :Float64 = 6 $A.unit("s") $A.minimum(0.3) $A.maximum(10) $A.doc("Duration of the lease.");
  renewS @2 :Float64 = 1.5 $A.unit("s") $A.minimum(0.05) $A.maximum(100) $A.doc("Period of renewals.");
  marginS @3 :Float64 = 1 $A.unit("s") $A.minimum(0.05) $A.maximum(60) $A.doc("Time before the end of the lease by which the process must have ended.");
  orderTimeoutS @4 :Float64 = 2 $A.unit("s") $A.minimum(0.05) $A.maximum(60) $A.doc("Time limit of one order.");
  reportLagS @5 :Float64 = 2 $A.unit("s") $A.minimum(0) $A.maximum(120) $A.doc("Maximum lag of load reports.");
  entryPeers @6 :List(Text) $A.pattern("https?://.+") $A.doc("Peer URLs of the failure domain's entry processes, in addition to those of the host list.");
}

struct ConsoleSettings $A.doc("Settings of briarknot-console.") {
  node @0 :Node $A.required $A.doc("Identity and shared connections.");
  port @1 :UInt16 $A.required $A.doc("Port for operators.");
  operators @2 :List(Operator) $A.required $A.doc("Operators who may sign in.");
  connections @3 :Connections $A.doc("Limits of operators' connections.");
  memoryMb @4 :UInt32 = 256 $A.unit("MB") $A.minimum(64) $A.doc("Memory of the host. An eighth of it holds bodies of operators; one body always has room.");
  bodyTimeoutS @5 :Float64 = 60 $A.unit("s") $A.minimum(0.1) $A.maximum(3600) $A.doc("Longest time to send a body.");
}

struct Operator $A.doc("An operator.") {
  name @0 :Text $A.required $A.pattern("[a-z0-9][a-z0-9._-]*") $A.doc("Name shown in the history.");
  tokenHash @1 :Text $A.required $A.hidden $A.pattern("[0-9a-f]{64}") $A.doc("SHA-256 of the operator's token, in hexadecimal.");
}

struct CtlSettings $A.doc("Settings of briarknotctl.") {
  platformUrl @0 :Text $A.required $A.pattern("https?://.+") $A.doc("Base URL of the platform.");
  consoleUrl @1 :Text $A.pattern("(https?://.+)?") $A.doc("Base URL of a console.");
  operator @2 :Text $A.doc("Name of the operator.");
  token @3 :Text $A.secret $A.doc("Token of the operator.");
  peerUrl @4 :Text $A.pattern("(https?://.+)?") $A.doc("Peer URL of an entry process, for status and drain.");
  peerSecret @5 :Text $A.secret $A.doc("Secret that the system's own processes share.");
}

struct DomainRegion $A.doc("Region of a failure domain.") {
  domain @0 :Text $A.required $A.doc("Name of the failure domain.");
  region @1 :Text $A.required $A.doc("Name of its region.");
}

struct GatewaySettings $A.doc("Settings of briarknot-gateway.") {
  host @0 :Text $A.required $A.doc("Name of the host, unique in the fleet.");
  domain @1 :Text $A.required $A.doc("Failure domain of the host.");
  region @2 :Text $A.required $A.doc("Region of the host.");
  domains @3 :List(DomainRegion) $A.doc("All failure domains of the fleet.");
  address @4 :Text $A.required $A.doc("IP number of the host.");
  frontAddress @5 :Text $A.required $A.doc("IP number and port for clients.");
  readinessAddress @6 :Text $A.required $A.doc("IP number and port of the readiness check.");
  metricsPort @7 :UInt16 = 9100 $A.doc("Port of the metrics.");
  storeAddress @8 :Text $A.required $A.doc("IP number and port of the platform's store.");
  peerPort @9 :UInt16 $A.doc("Port for the system's own processes; 0 for none.");
  stopGraceS @10 :Float64 = 8 $A.unit("s") $A.doc("Time from SIGTERM until the process is killed.");
  retryShare @11 :Float64 = 0.2 $A.doc("Retries at a service for each request, over the whole fleet.");
  retryExtra @12 :Float64 = 50 $A.doc("Retries at a service in a window in addition to that share, over the whole fleet.");
  retryWindowS @13 :Float64 = 10 $A.unit("s") $A.doc("Window of the two limits above.");
  memoryMb @14 :UInt32 = 256 $A.unit("MB") $A.doc("Memory of the host; 0 for 256. A quarter of it holds what clients send and don't read.");
  maxDescriptors @15 :UInt32 = 1024 $A.doc("File descriptors that the process may open; 0 for 1,024. Clients get 45 of 100.");
  dutyAddress @16 :Text $A.doc("IP number and port at which the platform takes usage reports and worker orders; empty for none.");
  duties @17 :List(Text) $A.doc("Duties of the fleet; usage_report reports the requests of client accounts, autoscale orders paid workers, others are ignored.");
  usageWindowS @18 :Float64 = 5 $A.unit("s") $A.minimum(0.1) $A.doc("Window of usage reports.");
  usageLateS @19 :Float64 = 10 $A.unit("s") $A.minimum(0.1) $A.doc("Time after the end of its window at which a usage report is due.");
  loadSpreading @20 :LoadSpreading = nearCheapest $A.doc("Choice among engines of nearly equal cost.");
  cacheListing @21 :CacheListing = off $A.doc("When the engines' lists of cached prompt parts are read.");
}
