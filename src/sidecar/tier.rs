//! This sidecar's part in its tier: what happens here goes in, notes go out to the other sidecars and come in from
//! them, and whoever asks is told what may still be spent. What is worked out from it stands in `crates/gossip`.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gossip::{Budget, Happened, Micros, Note, Record, Tier, View};
use runtime::Runtime;
use tokio::sync::Notify;

use super::config::Config;
use super::peers::Peers;

/// The longest pause of the part's task; a turn may be shorter.
const LOOK: Duration = Duration::from_secs(1);

/// The part.
pub struct Shared<P: Runtime> {
    tier: RefCell<Tier>,
    began: Instant,
    peers: Rc<Peers<P>>,
    changed: Notify,
}

impl<P: Runtime> Shared<P> {
    /// The part that a configuration asks for, if it does and the settings allow it.
    ///
    /// # Errors
    ///
    /// The key that cannot be used.
    pub fn new(
        config: &Config,
        peers: Option<&Rc<Peers<P>>>,
    ) -> Result<Option<Rc<Shared<P>>>, String> {
        let Some(turn) = config.tier_turn else { return Ok(None) };
        let Some(peers) = peers.filter(|_| config.settings.limits.may_tell) else {
            tracing::warn!(
                "no part in the tier: settings.limits.mayTell or peer_listen is missing"
            );
            return Ok(None);
        };
        let of_tier = gossip::Config {
            me: config.settings.me,
            size: config.settings.instances,
            start_ms: P::unix_time().as_millis() as u64,
            turn: turn.as_micros() as Micros,
            clubs: config.clubs(),
            classes: config.settings.classes.len(),
            seed: config.seed,
        };
        let tier = Tier::new(of_tier, 0).map_err(|why| format!("tier: {why}"))?;
        let (tier, began) = (RefCell::new(tier), P::now());
        Ok(Some(Rc::new(Shared { tier, began, peers: peers.clone(), changed: Notify::new() })))
    }

    fn now(&self) -> Micros {
        P::elapsed_since(self.began).as_micros() as Micros
    }

    /// A request of a class and of a club's comes in. False: it is beyond what may be spent here of the club's quota.
    pub fn asked(&self, class: usize, club: usize) -> bool {
        self.tier.borrow_mut().asked(class, club, self.now())
    }

    /// What may be repeated here after failures.
    pub fn budget(&self) -> Budget {
        self.tier.borrow().budget()
    }

    /// Something happens here.
    pub fn happened(&self, what: Happened) {
        self.tier.borrow_mut().happened(what, self.now());
    }

    /// Other quotas are in force.
    pub fn reconfigure(&self, clubs: (u16, Vec<f64>)) {
        self.tier.borrow_mut().reconfigure(clubs, self.now());
    }

    /// Takes in a datagram. False: it is none of the tier's.
    pub fn hear(&self, from: u32, data: &[u8]) -> bool {
        if !Note::is_one(data) {
            return false;
        }
        let answer = self.tier.borrow_mut().hear(from, data, self.now());
        if let Some(answer) = answer {
            self.peers.tell(from, &answer);
        }
        // Who waits for an answer may go on.
        self.changed.notify_one();
        true
    }

    /// Sends notes when they are due; never ends.
    pub async fn run(self: Rc<Shared<P>>) {
        loop {
            let note = self.tier.borrow_mut().turn(self.now());
            if let Some((to, data)) = note {
                self.peers.tell(to, &data);
            }
            let due = self.began + Duration::from_micros(self.tier.borrow().due());
            let wake = due.min(P::now() + LOOK);
            if wake > P::now() {
                tokio::select! {
                    biased;
                    () = P::sleep_until(wake) => {}
                    () = self.changed.notified() => {}
                }
            }
        }
    }

    /// What is known.
    pub fn view(&self) -> View {
        self.tier.borrow_mut().view(self.now())
    }

    /// What is known of every member, and for how long.
    pub fn members(&self) -> Vec<(Record, Duration)> {
        let all = self.tier.borrow().members(self.now());
        all.into_iter().map(|(record, since)| (record, Duration::from_micros(since))).collect()
    }
}
