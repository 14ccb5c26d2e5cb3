@0x9f4cb5d1a7e03c11;
# Annotations that the generator turns into field metadata.

annotation doc @0xb0a1f6d2c3e4a501 (struct, enum, enumerant, field) :Text;
annotation unit @0xb0a1f6d2c3e4a502 (field) :Text;
annotation minimum @0xb0a1f6d2c3e4a503 (field) :Float64;
annotation maximum @0xb0a1f6d2c3e4a504 (field) :Float64;
annotation required @0xb0a1f6d2c3e4a505 (field) :Void;
annotation secret @0xb0a1f6d2c3e4a506 (field) :Void;
annotation pattern @0xb0a1f6d2c3e4a507 (field) :Text;
annotation references @0xb0a1f6d2c3e4a508 (field) :Text;
annotation registry @0xb0a1f6d2c3e4a509 (field) :Text;
annotation hidden @0xb0a1f6d2c3e4a50a (field) :Void;
annotation deferred @0xb0a1f6d2c3e4a50b (field) :Void;
