//! Which data centres operators evacuate.

use indexmap::IndexMap;

/// The data centres that are evacuated. Nothing new is sent to their targets.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// The store's revision of each request to evacuate a data centre.
    requested: IndexMap<String, u64>,
}

impl Evacuations {
    /// Records a request to evacuate a data centre. Returns whether it was not evacuated before.
    pub fn begin(&mut self, data_centre: &str, revision: u64) -> bool {
        self.requested.insert(data_centre.to_owned(), revision).is_none()
    }

    /// Records that the request was taken back. Returns whether the data centre was evacuated.
    pub fn end(&mut self, data_centre: &str) -> bool {
        self.requested.swap_remove(data_centre).is_some()
    }

    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.requested.contains_key(data_centre)
    }
}
