//! The workspaces of one configuration.

use crate::KeyDigest;
use displaydoc::Display;
use indexmap::IndexMap;

/// A workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// Priority, which overrides that of a route; 0 is the most urgent.
    pub priority: Option<u32>,
}

/// A workspace as the operators configure it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkspaceConfig {
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Name of the workspace.
    pub name: String,
    /// Priority, which overrides that of a route; 0 is the most urgent.
    pub priority: Option<u32>,
}

/// Why a configuration's workspaces are rejected.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum WorkspaceError {
    /// the name of workspace {index} is {name:?}, which is empty or not valid in a header
    BadName {
        /// Position in the list, from 0.
        index: usize,
        /// The name as configured.
        name: String,
    },
    /// the workspace name {name} is used twice
    DuplicateName {
        /// The name.
        name: String,
    },
    /// the key with the digest {digest} is listed for the workspaces {first} and {second}
    SharedKey {
        /// Short form of the key's digest.
        digest: String,
        /// The workspace that lists the key first.
        first: String,
        /// The workspace that lists the key again.
        second: String,
    },
}

impl std::error::Error for WorkspaceError {}

/// The workspaces of one configuration, by name and by the digests of their keys.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Workspaces {
    by_key: IndexMap<KeyDigest, usize>,
    list: Vec<Workspace>,
}

impl Workspaces {
    /// Creates the workspaces of a configuration.
    ///
    /// # Errors
    /// Returns an error if a name is empty, not usable in a header or used twice, or if two
    /// workspaces share a key, because a request with that key could belong to either.
    pub fn open(config: impl IntoIterator<Item = WorkspaceConfig>) -> Result<Self, WorkspaceError> {
        let mut all = Self::default();
        for config in config {
            all.add(config)?;
        }
        Ok(all)
    }

    fn add(&mut self, config: WorkspaceConfig) -> Result<(), WorkspaceError> {
        let WorkspaceConfig { keys, name, priority } = config;
        let index = self.list.len();
        if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(WorkspaceError::BadName { index, name });
        }
        if self.list.iter().any(|workspace| workspace.name == name) {
            return Err(WorkspaceError::DuplicateName { name });
        }
        for key in keys {
            if let Some(first) = self.by_key.insert(key, index).filter(|first| *first != index) {
                let first = self.list[first].name.clone();
                return Err(WorkspaceError::SharedKey { digest: key.short(), first, second: name });
            }
        }
        self.list.push(Workspace { name, priority });
        Ok(())
    }

    /// Returns the workspace that a key belongs to.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Workspace> {
        self.by_key.get(key).map(|index| &self.list[*index])
    }

    /// Returns the number of workspaces.
    pub const fn len(&self) -> usize {
        self.list.len()
    }

    /// Returns whether there is no workspace.
    pub const fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the number of keys.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }
}
