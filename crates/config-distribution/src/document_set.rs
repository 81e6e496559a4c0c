//! A set of documents that is ordered by key, with at most one document per key.

use serde::{Deserialize, Serialize};

use crate::documents::{Document, DocumentKey};

/// Documents in the order of their keys. It is serialized as a plain list.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(transparent)]
pub struct DocumentSet {
    documents: Vec<Document>,
}

impl DocumentSet {
    /// Returns the position of the document with this key, or the position at which to insert it, as an error.
    fn position(&self, key: &DocumentKey) -> Result<usize, usize> {
        self.documents.binary_search_by(|document| document.key.cmp(key))
    }

    /// Returns the document with this key.
    pub fn get(&self, key: &DocumentKey) -> Option<&Document> {
        self.position(key).ok().map(|position| &self.documents[position])
    }

    /// Returns whether there is a document with this key.
    pub fn contains(&self, key: &DocumentKey) -> bool {
        self.position(key).is_ok()
    }

    /// Inserts a document, and replaces the one with the same key.
    pub fn insert(&mut self, document: Document) {
        match self.position(&document.key) {
            Ok(position) => self.documents[position] = document,
            Err(position) => self.documents.insert(position, document),
        }
    }

    /// Removes the document with this key, if there is one.
    pub fn remove(&mut self, key: &DocumentKey) {
        if let Ok(position) = self.position(key) {
            self.documents.remove(position);
        }
    }

    /// Removes all documents.
    pub fn clear(&mut self) {
        self.documents.clear();
    }

    /// Keeps the documents that satisfy `keep`.
    pub fn retain(&mut self, keep: impl FnMut(&Document) -> bool) {
        self.documents.retain(keep);
    }

    /// Removes and returns the documents whose generation is at most `generation`.
    pub fn take_up_to(&mut self, generation: crate::Generation) -> Vec<Document> {
        let (taken, kept) = std::mem::take(&mut self.documents)
            .into_iter()
            .partition(|document| document.generation <= generation);
        self.documents = kept;
        taken
    }

    /// Returns the documents in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &Document> {
        self.documents.iter()
    }
}
