//! The workspaces of one configuration.

use crate::KeyDigest;
use displaydoc::Display;
use indexmap::IndexMap;

/// A workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// Its rank, which goes before that of a route; 0 is the most urgent.
    pub priority: Option<u32>,
}

/// A workspace as the operators configure it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkspaceConfig {
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Its name.
    pub name: String,
    /// Its rank, which goes before that of a route; 0 is the most urgent.
    pub priority: Option<u32>,
}

/// Why workspaces cannot be put in force.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum WorkspaceError {
    /// the name of workspace {index} is {name:?}, which is empty or no text for a header
    BadName {
        /// Its place in the list, counted from 0.
        index: usize,
        /// What stands there.
        name: String,
    },
    /// the name {name} stands for two workspaces
    DuplicateName {
        /// The name.
        name: String,
    },
    /// the key with the digest {digest} stands in the workspaces {first} and {second}
    SharedKey {
        /// The short form of the key's digest.
        digest: String,
        /// The workspace that has it first.
        first: String,
        /// The workspace that has it too.
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
    /// Takes the workspaces of a configuration.
    ///
    /// # Errors
    /// When a name is unfit or stands twice, or a key stands in two workspaces: nobody could tell whose
    /// request it is.
    pub fn open(terms: impl IntoIterator<Item = WorkspaceConfig>) -> Result<Self, WorkspaceError> {
        let mut all = Self::default();
        for terms in terms {
            all.add(terms)?;
        }
        Ok(all)
    }

    fn add(&mut self, terms: WorkspaceConfig) -> Result<(), WorkspaceError> {
        let WorkspaceConfig { keys, name, priority } = terms;
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

    /// Finds the workspace that holds a key.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Workspace> {
        self.by_key.get(key).map(|index| &self.list[*index])
    }

    /// Returns how many workspaces there are.
    pub const fn len(&self) -> usize {
        self.list.len()
    }

    /// Tells whether there is no workspace.
    pub const fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns how many keys there are.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }
}
