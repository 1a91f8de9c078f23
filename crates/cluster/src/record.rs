//! Record of the log.

use ids::RecordId;
use serde::Deserialize;
use serde::Serialize;

use crate::Body;
use crate::text_parts::split_json_text;

/// Number of bytes that the numbers of a part and of all parts take at most.
const PART_NUMBER_BYTES: usize = 20;

/// Record as its writer appends it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Content of the record.
    pub body: Body,
    /// Unique id, which stays the same if the append is repeated. Parts of a record have the id of the record.
    pub id: RecordId,
    /// VM or operator that wrote the record.
    pub writer: String,
}

impl Record {
    /// Serialises the record for the log, in parts of at most `max_bytes` each if it is longer.
    ///
    /// # Errors
    ///
    /// Returns an error if the record cannot be serialised.
    pub fn encode(&self, max_bytes: usize) -> Result<Vec<Vec<u8>>, serde_json::Error> {
        let text = serde_json::to_string(self)?;
        if text.len() <= max_bytes {
            return Ok(vec![text.into_bytes()]);
        }
        let frame = serde_json::to_vec(&self.part(0, 0, String::new()))?;
        let data_bytes = max_bytes.saturating_sub(frame.len() + PART_NUMBER_BYTES);
        let chunks = split_json_text(&text, data_bytes);
        let parts = chunks.len() as u32;
        (0..)
            .zip(chunks)
            .map(|(part, data)| serde_json::to_vec(&self.part(part, parts, data)))
            .collect()
    }

    fn part(&self, part: u32, parts: u32, data: String) -> Self {
        Self {
            body: Body::Part { part, parts, data },
            id: self.id.clone(),
            writer: self.writer.clone(),
        }
    }
}
