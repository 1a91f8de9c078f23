//! Helpers that build requests with idempotency keys and the memory of the home that owns their unit.

use ids::Unit;
use policy::Idempotency;
use policy::IdempotencyKey;
use policy::MemoryBounds;
use policy::NewRequest;
use policy::RequestMemory;
use uuid::Builder;

pub(crate) type Memory = RequestMemory<String>;

pub(crate) const START_UNIX_MS: u64 = 1_800_000_000_000;

pub(crate) fn unit() -> Unit {
    Unit::Shard {
        service: "ordering".to_owned(),
        index: 3,
    }
}

pub(crate) fn key(created_unix_ms: u64, number: u64) -> IdempotencyKey {
    let mut random = [0; 10];
    random[2..].copy_from_slice(&number.to_be_bytes());
    let uuid = Builder::from_unix_timestamp_millis(created_unix_ms, &random).into_uuid();
    IdempotencyKey::parse("north".to_owned(), &uuid.to_string()).expect("the key is valid")
}

pub(crate) fn request(id: &str, key: Option<IdempotencyKey>, content: &str) -> NewRequest {
    NewRequest {
        id: id.to_owned(),
        idempotency: key.map(|key| Idempotency {
            fingerprint: content.to_owned(),
            key,
        }),
        idempotent: false,
        unit: Some(unit()),
    }
}

pub(crate) fn memory(bounds: MemoryBounds) -> Memory {
    let mut memory = Memory::new(bounds, START_UNIX_MS);
    memory.add_unit(unit(), START_UNIX_MS - 3_600_000);
    memory
}
