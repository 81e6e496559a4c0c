//! A control machine on its listener: it follows origins, keeps what it has on disk, and serves hosts.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use super::Clock;
use super::http::{Asked, Caller, Reply, path, serve};
use super::origin::log_path;
use super::store::Store;
use crate::control::{Control, HostCall, Kept, Told, TurnedAway};
use crate::documents::{Interest, is_name};
use crate::origin::Answer;
use crate::replica::Version;
use crate::{Epoch, LONGEST_HOLD};

/// How long an origin may hold a call, and how long it may then take.
const HOLD: Duration = Duration::from_millis(2000);
const PATIENCE: Duration = Duration::from_millis(1000);
/// After a call that failed, or brought nothing to follow: from a half of this up to the whole.
const AGAIN: Duration = Duration::from_millis(500);
/// Between summaries: where something has changed, and where nothing has.
const CHANGED: Duration = Duration::from_millis(250);
const UNCHANGED: Duration = Duration::from_millis(2000);
/// How long another member may take to say what it has promised.
const PROMISED: Duration = Duration::from_millis(1000);
/// What a host takes here: its row, its connection on both sides of the library, and its answer on the way.
pub const HOST_BYTES: usize = 48 << 10;

/// What a control machine is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name among the members.
    pub name: String,
    /// Where its state lies.
    pub state: PathBuf,
    /// The origins, whichever leads.
    pub origins: Vec<SocketAddr>,
    /// The other members.
    pub others: BTreeMap<String, SocketAddr>,
    /// It is new, and there is nothing that it could have lost.
    pub new: bool,
    /// The most hosts.
    pub most_hosts: usize,
    /// For what is drawn.
    pub seed: u64,
}

struct Shared {
    control: RefCell<Control>,
    store: Store,
    clock: Clock,
    /// Told when something is committed.
    changed: watch::Sender<()>,
    /// The origin that is followed, and its epoch.
    followed: Cell<Option<(SocketAddr, Epoch)>>,
    rng: RefCell<Pcg64Mcg>,
}

/// Serves as a control machine on `listener`; does not end but for what keeps it from its disk.
///
/// # Errors
///
/// That its state cannot be read or kept.
pub async fn run(listener: TcpListener, config: Config) -> Result<(), String> {
    let store = Store::open(&config.state)?;
    let kept: Option<Kept> = store.read()?;
    let kept = match (kept, config.new) {
        (None, true) => {
            store.keep(&Kept::default())?;
            Some(Kept::default())
        }
        (kept, _) => kept,
    };
    let members = config.others.len() + 1;
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let life = since.as_millis() as u64;
    let control = Control::new(config.name.clone(), kept, life, members, config.most_hosts);
    let (promised, committed) = (control.promised(), control.replica().committed());
    tracing::info!(name = %config.name, ?promised, committed, "control machine");
    let (fault, faults) = watch::channel(None::<String>);
    let shared = Rc::new(Shared {
        control: RefCell::new(control),
        store,
        clock: Clock::default(),
        changed: watch::Sender::new(()),
        followed: Cell::new(None),
        rng: RefCell::new(Pcg64Mcg::seed_from_u64(config.seed)),
    });
    for origin in &config.origins {
        let (shared, origin, fault) = (shared.clone(), *origin, fault.clone());
        tokio::task::spawn_local(async move {
            let why = shared.follow(origin).await;
            fault.send_replace(Some(why));
        });
    }
    tokio::task::spawn_local(shared.clone().tell());
    tokio::task::spawn_local(shared.clone().recover(config.name, config.others));
    // Hosts, the other members, and desks.
    let most = config.most_hosts + members + 64;
    let answering = serve(listener, most, move |asked| shared.clone().answer(asked));
    let mut faults = faults;
    tokio::select! {
        () = answering => Ok(()),
        why = faults.wait_for(Option::is_some) => {
            Err(why.ok().and_then(|why| why.clone()).unwrap_or_default())
        }
    }
}

impl Shared {
    async fn pause(&self) {
        let draw = self.rng.borrow_mut().next_u64() % (AGAIN.as_millis() as u64 / 2);
        sleep(AGAIN / 2 + Duration::from_millis(draw)).await;
    }

    /// Calls one origin for as long as the disk takes what it says; then why it does not.
    async fn follow(&self, origin: SocketAddr) -> String {
        let mut caller = Caller::new(origin);
        loop {
            let call = self.control.borrow().call();
            let path = log_path(&call, HOLD.as_millis() as u64);
            let answer: Answer = match caller.json(&path, None, HOLD + PATIENCE).await {
                Ok(answer) => answer,
                Err(why) => {
                    tracing::debug!(%origin, %why, "no answer");
                    self.pause().await;
                    continue;
                }
            };
            let epoch = answer.epoch;
            let before = self.control.borrow().replica().committed();
            let news = self.control.borrow_mut().take(answer);
            // What a member that has lost its disk keeps counts as kept once it may vote again.
            let whole = self.control.borrow().promised().is_some();
            if news && whole {
                // Danger: the next call says that all of this is on disk, and hosts are told of it.
                let kept = self.store.keep(self.control.borrow().kept());
                if let Err(why) = kept {
                    tracing::error!(error = %why, "what was promised cannot be kept: it ends");
                    return why;
                }
            }
            let (promised, committed) = {
                let control = self.control.borrow();
                (control.kept().promised, control.replica().committed())
            };
            if committed != before {
                tracing::info!(committed, epoch, "committed");
                self.changed.send_replace(());
            }
            if epoch == promised && epoch > 0 {
                if self.followed.get().is_none_or(|(at, old)| (at, old) != (origin, epoch)) {
                    tracing::info!(%origin, epoch, "followed");
                    self.followed.set(Some((origin, epoch)));
                    self.control.borrow_mut().tell_all_anew();
                }
            } else if !news {
                // One that is not followed answers at once.
                self.pause().await;
            }
        }
    }

    /// Tells the origin that is followed how far the hosts are; never ends.
    async fn tell(self: Rc<Shared>) {
        #[derive(Deserialize)]
        struct Answer {
            elsewhere: Vec<String>,
        }
        let mut caller: Option<(SocketAddr, Caller)> = None;
        let (mut last, mut at) = (None, Instant::now());
        loop {
            sleep(CHANGED).await;
            let Some((origin, _)) = self.followed.get() else { continue };
            let summary = self.control.borrow_mut().summary(self.clock.now());
            if last.as_ref() == Some(&summary) && at.elapsed() < UNCHANGED {
                continue;
            }
            if caller.as_ref().is_none_or(|(to, _)| *to != origin) {
                caller = Some((origin, Caller::new(origin)));
            }
            let Some((_, caller)) = &mut caller else { continue };
            let body = serde_json::to_vec(&summary).unwrap_or_default();
            match caller.json::<Answer>("/config/tally", Some(body), PATIENCE).await {
                Ok(answer) => {
                    let now = self.clock.now();
                    self.control.borrow_mut().elsewhere(&answer.elsewhere, now);
                    (last, at) = (Some(summary), Instant::now());
                }
                Err(why) => {
                    tracing::debug!(%origin, %why, "the summary did not come");
                    self.control.borrow_mut().tell_all_anew();
                    last = None;
                }
            }
        }
    }

    /// Asks the other members what they have promised, as long as that is not known here.
    async fn recover(self: Rc<Shared>, own: String, others: BTreeMap<String, SocketAddr>) {
        #[derive(Deserialize)]
        struct Promised {
            promised: Epoch,
            life: u64,
            lives: BTreeMap<String, u64>,
        }
        while self.control.borrow().promised().is_none() {
            for (name, at) in &others {
                let mut caller = Caller::new(*at);
                let life = self.control.borrow().life();
                let pairs = [("member", own.clone()), ("life", life.to_string())];
                let path = path("/config/promised", pairs);
                let asked = caller.json::<Promised>(&path, None, PROMISED).await;
                let Ok(Promised { promised, life, lives }) = asked else { continue };
                tracing::info!(of = %name, promised, life, "asked what may have been promised");
                self.control.borrow_mut().promised_elsewhere(name, promised, life, &lives);
            }
            self.pause().await;
        }
    }

    async fn answer(self: Rc<Shared>, asked: Asked) -> Reply {
        let answered = match asked.path.as_str() {
            "/config/documents" => self.documents(&asked).await,
            "/config/log" => self.log(&asked),
            "/config/promised" => self.promised(&asked),
            "/config/status" => Ok(self.status()),
            _ => Err(Reply::error(404, "no such path")),
        };
        answered.unwrap_or_else(|refused| refused)
    }

    fn promised(&self, asked: &Asked) -> Result<Reply, Reply> {
        let (member, life) = (asked.value("member"), asked.number("life")?);
        let known = self.control.borrow_mut().other_life(member, life);
        let (promised, life, news) = known.ok_or_else(|| Reply::error(503, "not known here"))?;
        if news {
            let kept = self.store.keep(self.control.borrow().kept());
            kept.map_err(|why| Reply::error(503, &why))?;
        }
        let lives = self.control.borrow().lives();
        Ok(Reply::json(&json!({"promised": promised, "life": life, "lives": lives})))
    }

    fn log(&self, asked: &Asked) -> Result<Reply, Reply> {
        let from = Version { epoch: asked.number("epoch")?, generation: asked.number("from")? };
        Ok(Reply::json(&self.control.borrow().update(from)))
    }

    fn status(&self) -> Reply {
        let control = self.control.borrow();
        Reply::json(&json!({
            "promised": control.promised(),
            "at": control.replica().at(),
            "committed": control.replica().committed(),
            "hosts": control.hosts(),
            "followed": self.followed.get().map(|(at, epoch)| (at.to_string(), epoch)),
        }))
    }

    async fn documents(&self, asked: &Asked) -> Result<Reply, Reply> {
        let services = asked.query.iter().filter(|(n, _)| n == "service").map(|(_, v)| v.clone());
        let interest =
            Interest { services: services.collect(), zone: asked.value("zone").to_owned() };
        if !is_name(&interest.zone) || !interest.services.iter().all(|s| is_name(s)) {
            return Err(Reply::error(400, "zone, service: names expected"));
        }
        let declined = asked.number("declined")?;
        let call = HostCall {
            host: asked.value("host").to_owned(),
            interest,
            from: asked.number("from")?,
            in_force: asked.number("in_force")?,
            declined: (declined > 0).then(|| (declined, asked.value("why").to_owned())),
        };
        let end =
            Instant::now() + Duration::from_millis(asked.number("hold_ms")?.min(LONGEST_HOLD));
        let heard = self.control.borrow_mut().hear(&call, self.clock.now());
        heard.map_err(|away| match away {
            TurnedAway::Elsewhere(why) => Reply::error(503, &why),
            TurnedAway::Unfit(why) => Reply::error(400, &why),
        })?;
        let mut changed = self.changed.subscribe();
        let answer = |last: bool| -> Option<Told> {
            self.control.borrow_mut().answer(&call, last, self.clock.now())
        };
        loop {
            changed.borrow_and_update();
            if let Some(told) = answer(false) {
                return Ok(Reply::json(&told));
            }
            if timeout_at(end, changed.changed()).await.is_err() {
                return answer(true).map(|t| Reply::json(&t)).ok_or(Reply::error(503, "nothing"));
            }
        }
    }
}
