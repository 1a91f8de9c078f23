//! Fingerprint of a request's content.

use blake3::Hasher;
use ids::VmId;

/// Hash of a request's content in hexadecimal digits, the same in every process.
pub type Fingerprint = String;

/// Parts of a request that its fingerprint covers, which excludes the request id.
#[derive(Clone, Copy, Debug)]
pub struct Content<'a> {
    /// Body of the request.
    pub body: &'a [u8],
    /// Key that the request is about.
    pub key: Option<&'a str>,
    /// HTTP method.
    pub method: &'a str,
    /// Path with the query.
    pub path: &'a str,
    /// Name of the service.
    pub service: &'a str,
    /// Name of the workspace, absent on routes open to all.
    pub workspace: Option<&'a str>,
}

impl Content<'_> {
    /// Returns the fingerprint of the content.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hasher = Hasher::new();
        hash_part(&mut hasher, self.workspace.map(str::as_bytes));
        hash_part(&mut hasher, Some(self.service.as_bytes()));
        hash_part(&mut hasher, Some(self.method.as_bytes()));
        hash_part(&mut hasher, Some(self.path.as_bytes()));
        hash_part(&mut hasher, self.key.map(str::as_bytes));
        hash_part(&mut hasher, Some(self.body));
        hasher.finalize().to_hex().to_string()
    }
}

/// Returns the only home, chosen by rendezvous hashing, at which a suspect of a keyless service runs, so
/// that it can't crash several upstreams at once.
pub fn isolation_home<'a>(
    fingerprint: &str,
    homes: impl Iterator<Item = &'a VmId>,
) -> Option<&'a VmId> {
    homes.max_by_key(|vm| {
        let mut hasher = Hasher::new();
        hash_part(&mut hasher, Some(fingerprint.as_bytes()));
        hash_part(&mut hasher, Some(vm.as_bytes()));
        *hasher.finalize().as_bytes()
    })
}

/// Hashes a part after its length, so that moving bytes between adjacent parts changes the hash.
fn hash_part(hasher: &mut Hasher, part: Option<&[u8]>) {
    let length = part.map_or(u64::MAX, |bytes| bytes.len() as u64);
    hasher.update(&length.to_le_bytes());
    hasher.update(part.unwrap_or_default());
}
