//! An origin on its listener: members' calls, their sums, and the desk.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use super::Clock;
use super::http::{Asked, Caller, Reply, path, serve};
use crate::documents::{Body, Key, is_name};
use crate::origin::{Answer, Call, Origin, Phase, Refused};
use crate::replica::{Update, Version};
use crate::tally::{Summary, Tally};
use crate::{Generation, LONGEST_HOLD};

/// Connections at the most: of members, and of desks.
const MOST: usize = 512;
/// How long a change may take to be with most of the members before the desk is told that it is not.
const COMMITTED: Duration = Duration::from_secs(5);
/// How long a member may take to tell all that it has.
const TAKE_OVER: Duration = Duration::from_secs(5);

/// What an origin is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its own number; no other origin has it.
    pub number: u8,
    /// Differs at each start.
    pub life: u32,
    /// The control machines.
    pub members: BTreeMap<String, SocketAddr>,
}

/// What a desk asks for.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Publish {
    /// `SERVICE`, `SERVICE@ZONE` or `*`.
    pub key: String,
    /// A document; none: it is withdrawn.
    pub body: Option<Body>,
}

/// What a desk is told of a change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Published {
    /// Its number.
    pub generation: Generation,
}

struct Shared {
    origin: RefCell<Origin>,
    tally: RefCell<Tally>,
    config: Config,
    clock: Clock,
    /// Told when something has changed that somebody may wait for.
    changed: watch::Sender<()>,
}

/// Serves as an origin on `listener`; never ends.
pub async fn run(listener: TcpListener, config: Config) {
    let origin = Origin::new(config.number, config.life, config.members.keys().cloned());
    let shared = Rc::new(Shared {
        origin: RefCell::new(origin),
        tally: RefCell::default(),
        config,
        clock: Clock::default(),
        changed: watch::Sender::new(()),
    });
    tokio::task::spawn_local(shared.clone().take_over());
    serve(listener, MOST, move |asked| shared.clone().answer(asked)).await;
}

impl Shared {
    async fn answer(self: Rc<Shared>, asked: Asked) -> Reply {
        let answered = match asked.path.as_str() {
            "/config/log" => self.log(&asked).await,
            "/config/tally" => self.tally(&asked),
            "/config/publish" => self.publish(&asked).await,
            "/config/status" => Ok(self.status()),
            "/config/documents" => self.documents(&asked),
            _ => Err(Reply::error(404, "no such path")),
        };
        answered.unwrap_or_else(|refused| refused)
    }

    async fn log(&self, asked: &Asked) -> Result<Reply, Reply> {
        let call = Call {
            member: asked.value("member").to_owned(),
            promised: asked.number("promised")?,
            at: Version { epoch: asked.number("epoch")?, generation: asked.number("from")? },
            committed: asked.number("committed")?,
            recovering: asked.value("recovering") == "true",
            life: asked.number("life")?,
            lives: serde_json::from_str(asked.value("lives"))
                .map_err(|why| Reply::error(400, &format!("lives: {why}")))?,
        };
        let hold = asked.number("hold_ms")?.min(LONGEST_HOLD);
        let end = Instant::now() + Duration::from_millis(hold);
        let mut changed = self.changed.subscribe();
        let before = self.phase();
        self.origin
            .borrow_mut()
            .hear(call.clone(), self.clock.now())
            .map_err(|why| Reply::error(403, &why))?;
        self.tell_phase(&before);
        self.changed.send_replace(());
        loop {
            changed.borrow_and_update();
            let answer = self.origin.borrow().answer(&call);
            if let Some(answer) = answer {
                return Ok(Reply::json(&answer));
            }
            if timeout_at(end, changed.changed()).await.is_err() {
                return Ok(Reply::json(&Answer { epoch: self.epoch(), update: None }));
            }
        }
    }

    fn phase(&self) -> Phase {
        self.origin.borrow().phase().clone()
    }

    /// The epoch that members may promise.
    fn epoch(&self) -> crate::Epoch {
        self.origin.borrow().epoch()
    }

    fn tell_phase(&self, before: &Phase) {
        let phase = self.phase();
        if phase != *before {
            tracing::info!(epoch = self.epoch(), ?phase, "goes on");
        }
    }

    /// Takes over the newest replica, where another has it; never ends.
    async fn take_over(self: Rc<Shared>) {
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let Phase::TakingOver(member) = self.phase() else {
                if changed.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let at = self.config.members.get(&member).copied();
            let update = match at {
                Some(at) => {
                    Caller::new(at).json::<Update>("/config/log", None, TAKE_OVER).await.ok()
                }
                None => None,
            };
            let mut origin = self.origin.borrow_mut();
            match update {
                Some(update) => origin.take_over(&member, update),
                None => origin.not_taken_over(&member),
            }
            drop(origin);
            tracing::info!(%member, epoch = self.epoch(), phase = ?self.phase(), "taken over");
            self.changed.send_replace(());
        }
    }

    fn tally(&self, asked: &Asked) -> Result<Reply, Reply> {
        let summary: Summary = serde_json::from_slice(&asked.body)
            .map_err(|why| Reply::error(400, &format!("a summary expected: {why}")))?;
        if !self.config.members.contains_key(&summary.member) {
            return Err(Reply::error(403, "none of the members"));
        }
        let elsewhere = self.tally.borrow_mut().take(summary, self.clock.now());
        Ok(Reply::json(&json!({"elsewhere": elsewhere})))
    }

    async fn publish(&self, asked: &Asked) -> Result<Reply, Reply> {
        let wanted: Publish = serde_json::from_slice(&asked.body)
            .map_err(|why| Reply::error(400, &format!("key and body expected: {why}")))?;
        let key = Key::parse(&wanted.key).map_err(|why| Reply::error(400, &why))?;
        let body = wanted.body.map(|body| Body::new(body.text())).transpose();
        let body = body.map_err(|why| Reply::error(400, &format!("{key}: {why}")))?;
        let published = self.origin.borrow_mut().publish(key.clone(), body);
        let generation = published.map_err(|refused| match refused {
            Refused::NotLeading(why) => Reply::error(503, &why),
            Refused::Unfit(why) => Reply::error(400, &why),
        })?;
        tracing::info!(%key, generation, "ordered");
        self.changed.send_replace(());
        let end = Instant::now() + COMMITTED;
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let committed = {
                let origin = self.origin.borrow();
                // A change is only this one where it was made in the epoch that still is.
                *origin.phase() == Phase::Leading && origin.replica().committed() >= generation
            };
            if committed {
                return Ok(Reply::json(&Published { generation }));
            }
            if timeout_at(end, changed.changed()).await.is_err() {
                let why = format!(
                    "change {generation} is not with most of the control machines yet, and may still come to be"
                );
                return Err(Reply::error(504, &why));
            }
        }
    }

    fn status(&self) -> Reply {
        let (origin, now) = (self.origin.borrow(), self.clock.now());
        let names: Vec<_> = self.config.members.keys().collect();
        let total = self.tally.borrow().total(names.into_iter(), now);
        let members: BTreeMap<_, _> = origin
            .members(now)
            .map(|(name, call)| {
                let told = call.map(|c| {
                    json!({"promised": c.promised, "at": c.at.generation, "committed": c.committed,
                           "recovering": c.recovering})
                });
                (name, told)
            })
            .collect();
        Reply::json(&json!({
            "epoch": origin.epoch(),
            "leading": *origin.phase() == Phase::Leading,
            "phase": format!("{:?}", origin.phase()),
            "generation": origin.replica().at().generation,
            "committed": origin.replica().committed(),
            "bytes": origin.replica().bytes(),
            "members": members,
            "total": total,
        }))
    }

    fn documents(&self, asked: &Asked) -> Result<Reply, Reply> {
        let origin = self.origin.borrow();
        match asked.value("key") {
            "" => {
                let all = origin.replica().newest().filter(|d| d.body.is_some()).map(|d| {
                    let bytes = d.body.as_ref().map_or(0, |b| b.text().len());
                    json!({"key": d.key.to_string(), "generation": d.generation, "bytes": bytes})
                });
                Ok(Reply::json(&all.collect::<Vec<_>>()))
            }
            key => {
                let key = Key::parse(key).map_err(|why| Reply::error(400, &why))?;
                match origin.replica().document(&key) {
                    Some(document) => Ok(Reply::json(document)),
                    None => Err(Reply::error(404, &format!("{key}: there is none"))),
                }
            }
        }
    }
}

/// The path of a member's call.
pub(super) fn log_path(call: &Call, hold: u64) -> String {
    path(
        "/config/log",
        [
            ("member", call.member.clone()),
            ("promised", call.promised.to_string()),
            ("epoch", call.at.epoch.to_string()),
            ("from", call.at.generation.to_string()),
            ("committed", call.committed.to_string()),
            ("recovering", call.recovering.to_string()),
            ("life", call.life.to_string()),
            ("lives", serde_json::to_string(&call.lives).unwrap_or_default()),
            ("hold_ms", hold.to_string()),
        ],
    )
}

/// A member given as `NAME=ADDRESS`.
///
/// # Errors
///
/// What was expected.
pub fn member(text: &str) -> Result<(String, SocketAddr), String> {
    let expected = || format!("NAME=ADDRESS:PORT expected, not {text:?}");
    let (name, at) = text.split_once('=').ok_or_else(expected)?;
    let at = at.parse().map_err(|_| expected())?;
    if is_name(name) { Ok((name.to_owned(), at)) } else { Err(expected()) }
}
