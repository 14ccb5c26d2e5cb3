@0xaf4cb5d1a7e03c14;
# Formats that endpoints use. They travel as JSON with snake_case names.
using A = import "annotations.capnp";
using F = import "fleet.capnp";

enum OrderKind $A.doc("What an order changes.") {
  role @0 $A.doc("The engine's role.");
  model @1 $A.doc("The engine's model and version.");
  withdraw @2 $A.doc("The engine stops taking work.");
}

enum EnginePhase $A.doc("Whether an engine is carrying out an order.") {
  idle @0 $A.doc("No order is open.");
  changing @1 $A.doc("An order is being carried out; no work is taken.");
  withdrawn @2 $A.doc("The engine takes no more work.");
}

struct LoadReport $A.doc("Load of an engine as it was some time ago.") {
  asOfAgeS @0 :Float64 $A.unit("s") $A.doc("Age of the figures.");
  role @1 :F.Role $A.doc("Role in force.");
  model @2 :Text $A.doc("Model and version in force, as NAME@VERSION.");
  phase @3 :EnginePhase $A.doc("Whether an order is open.");
  running @4 :UInt32 $A.doc("Requests that run.");
  queued @5 :UInt32 $A.doc("Requests that wait.");
  queuedPrefillTokens @6 :UInt32 $A.unit("tokens") $A.doc("Prompt tokens that wait for prefill.");
  activeDecodeStreams @7 :UInt32 $A.doc("Streams in decode.");
  kvBlocksFree @8 :UInt32 $A.unit("blocks") $A.doc("Free KV-cache blocks.");
  kvBlocksTotal @9 :UInt32 $A.unit("blocks") $A.doc("All KV-cache blocks.");
  prefillTokensPerS @10 :Float64 $A.unit("tokens/s") $A.doc("Measured prefill speed.");
  decodeTokensPerS @11 :Float64 $A.unit("tokens/s") $A.doc("Measured decode speed of one stream.");
  epoch @12 :UInt64 $A.doc("Fencing number of the last accepted order.");
  sequence @13 :UInt64 $A.doc("Sequence number of the last accepted order.");
  instance @14 :Text $A.doc("Random id of the engine's process; it changes with a restart.");
}

struct Order $A.doc("An order to an engine.") {
  epoch @0 :UInt64 $A.doc("Fencing number: the sender's lease epoch.");
  sequence @1 :UInt64 $A.doc("Sequence number, growing for each engine.");
  kind @2 :OrderKind $A.doc("What is changed.");
  value @3 :Text $A.doc("The role, or the model as NAME@VERSION.");
}

struct EngineState $A.doc("What an engine says of its orders.") {
  epoch @0 :UInt64 $A.doc("Fencing number of the last accepted order.");
  sequence @1 :UInt64 $A.doc("Sequence number of the last accepted order.");
  phase @2 :EnginePhase $A.doc("Whether an order is open.");
  role @3 :F.Role $A.doc("Role in force.");
  model @4 :Text $A.doc("Model and version in force, as NAME@VERSION.");
  log @5 :List(Order) $A.doc("Accepted orders, oldest first, bounded.");
}

struct CacheEvent $A.doc("A change of an engine's prefix cache.") {
  seq @0 :UInt64 $A.doc("Sequence number; a gap means that events were lost.");
  stored @1 :Bool $A.doc("Whether the block was stored; otherwise it was evicted.");
  block @2 :Text $A.doc("Chained hash of the block, in hexadecimal.");
}

struct CacheEvents $A.doc("Cache events after a sequence number.") {
  events @0 :List(CacheEvent) $A.doc("Events in order.");
  next @1 :UInt64 $A.doc("Sequence number to ask after next time.");
}
