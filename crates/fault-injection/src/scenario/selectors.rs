//! The selectors of nodes in scenario files: `sidecars`, `s3`, `s0..4`, `servers`, a zone, a server such as
//! `utrecht-1`, `discovery`, a group of the file, or a random share of any of them (`sidecars*0.5`).

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use fakes::world::ZONES;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use super::error::Problem;
use crate::links::Node;

/// The nodes of a scenario, to which selectors refer.
pub(super) struct Nodes {
    pub sidecar_count: u16,
    pub servers_per_zone: u16,
    pub groups: BTreeMap<String, BTreeSet<Node>>,
    pub seed: u64,
}

impl Nodes {
    /// Returns all nodes that a list of selectors selects. `key` is the key of the list in the file.
    pub fn select(&self, words: &[String], key: &str) -> Result<BTreeSet<Node>, Problem> {
        let mut all = BTreeSet::new();
        for word in words {
            let nodes = self.select_word(word).filter(|nodes| !nodes.is_empty());
            let unknown = || Problem::UnknownNodes { key: key.to_owned(), word: word.clone() };
            all.extend(nodes.ok_or_else(unknown)?);
        }
        Ok(all)
    }

    /// Returns the sidecars among the selected nodes. There must be at least one.
    pub fn select_sidecars(&self, words: &[String], key: &str) -> Result<BTreeSet<u16>, Problem> {
        let number = |node| match node {
            Node::Sidecar(n) => Some(n),
            _ => None,
        };
        self.select_numbers(words, key, number, "sidecars")
    }

    /// Returns the servers among the selected nodes. There must be at least one.
    pub fn select_servers(&self, words: &[String], key: &str) -> Result<BTreeSet<u16>, Problem> {
        let number = |node| match node {
            Node::Server(n) => Some(n),
            _ => None,
        };
        self.select_numbers(words, key, number, "servers")
    }

    fn select_numbers(
        &self,
        words: &[String],
        key: &str,
        number: fn(Node) -> Option<u16>,
        expected: &'static str,
    ) -> Result<BTreeSet<u16>, Problem> {
        let numbers: BTreeSet<u16> =
            self.select(words, key)?.into_iter().filter_map(number).collect();
        if numbers.is_empty() {
            return Err(Problem::Expected { key: key.to_owned(), expected });
        }
        Ok(numbers)
    }

    /// Returns all sidecars and servers that are not among `nodes`.
    pub fn others(&self, nodes: &BTreeSet<Node>) -> BTreeSet<Node> {
        let sidecars = (0..self.sidecar_count).map(Node::Sidecar);
        let servers = (0..self.server_count()).map(Node::Server);
        sidecars.chain(servers).filter(|node| !nodes.contains(node)).collect()
    }

    fn server_count(&self) -> u16 {
        ZONES.len() as u16 * self.servers_per_zone
    }

    fn select_word(&self, word: &str) -> Option<BTreeSet<Node>> {
        let (name, share) = match word.split_once('*') {
            Some((name, share)) => (name, Some(share.parse::<f64>().ok()?)),
            None => (word, None),
        };
        let nodes = self.select_name(name)?;
        match share {
            None => Some(nodes),
            Some(share) if (0.0..=1.0).contains(&share) => Some(self.sample(nodes, share, name)),
            Some(_) => None,
        }
    }

    fn select_name(&self, name: &str) -> Option<BTreeSet<Node>> {
        match name {
            "sidecars" => return Some(sidecars(0..self.sidecar_count).collect()),
            "servers" => return Some(servers(0..self.server_count()).collect()),
            "discovery" => return Some([Node::Discovery].into()),
            _ => {}
        }
        if let Some(group) = self.groups.get(name) {
            return Some(group.clone());
        }
        let number = |text: &str| text.parse::<u16>().ok().filter(|n| *n <= self.sidecar_count);
        if let Some((from, to)) = name.strip_prefix('s').and_then(|range| range.split_once("..")) {
            return Some(sidecars(number(from)?..number(to)?).collect());
        }
        if let Some(n) = name.strip_prefix('s').and_then(number) {
            return (n < self.sidecar_count).then(|| [Node::Sidecar(n)].into());
        }
        match zone_number(name) {
            Some(zone) => Some(self.zone(zone)),
            None => self.server(name),
        }
    }

    /// Returns the servers and sidecars of a zone.
    fn zone(&self, zone: u16) -> BTreeSet<Node> {
        let in_zone = |n: &u16| n % ZONES.len() as u16 == zone;
        let sidecars = (0..self.sidecar_count).filter(in_zone).map(Node::Sidecar);
        let first = zone * self.servers_per_zone;
        servers(first..first + self.servers_per_zone).chain(sidecars).collect()
    }

    /// Returns the server with a name such as `utrecht-1`.
    fn server(&self, name: &str) -> Option<BTreeSet<Node>> {
        let (zone, number) = name.rsplit_once('-')?;
        let zone = zone_number(zone)?;
        let number = number.parse::<u16>().ok().filter(|n| *n < self.servers_per_zone)?;
        Some([Node::Server(zone * self.servers_per_zone + number)].into())
    }

    /// Returns a random share of nodes, at least one. The choice depends only on the seed and the name.
    fn sample(&self, nodes: BTreeSet<Node>, share: f64, name: &str) -> BTreeSet<Node> {
        let mut nodes: Vec<Node> = nodes.into_iter().collect();
        let count = (share * nodes.len() as f64).round().max(1.0) as usize;
        let hash = name.bytes().fold(0_u64, |n, b| n.wrapping_mul(31).wrapping_add(b.into()));
        nodes.shuffle(&mut StdRng::seed_from_u64(self.seed ^ hash));
        nodes.truncate(count);
        nodes.into_iter().collect()
    }
}

fn sidecars(numbers: Range<u16>) -> impl Iterator<Item = Node> {
    numbers.map(Node::Sidecar)
}

fn servers(numbers: Range<u16>) -> impl Iterator<Item = Node> {
    numbers.map(Node::Server)
}

fn zone_number(name: &str) -> Option<u16> {
    ZONES.iter().position(|zone| *zone == name).map(|n| n as u16)
}
