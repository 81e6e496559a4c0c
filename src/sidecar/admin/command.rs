//! What operators can ask for, and what the answers look like. No I/O here.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use gossip::{Presence, Record, View};
use instance_status::RequestCounts;

use crate::sidecar::status::Reloads;

/// The longest line of a call, in bytes.
pub const LONGEST: usize = 512;

/// One call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Whether clients may come.
    Ready,
    /// The figures.
    ShowStat,
    /// What is known of the other sidecars.
    ShowTier,
    /// Nothing more to a server, until it is put back.
    DisableServer(String),
    /// A server is put back.
    EnableServer(String),
    /// Clients are sent away, until the sidecar is resumed.
    Drain,
    /// Clients may come again.
    Resume,
}

impl Command {
    /// Reads a line.
    ///
    /// # Errors
    ///
    /// What is wrong with it, in a few words.
    pub fn parse(line: &str) -> Result<Command, String> {
        let mut words = line.split_ascii_whitespace();
        let name = words.next().ok_or("a call expected")?;
        let server = |word: Option<&str>| {
            word.map(str::to_owned).ok_or_else(|| format!("{name}: the name of a server expected"))
        };
        let command = match name {
            "ready" => Command::Ready,
            "show-stat" => Command::ShowStat,
            "show-tier" => Command::ShowTier,
            "disable-server" => Command::DisableServer(server(words.next())?),
            "enable-server" => Command::EnableServer(server(words.next())?),
            "drain" => Command::Drain,
            "resume" => Command::Resume,
            _ => return Err("no such call".into()),
        };
        match words.next() {
            None => Ok(command),
            Some(_) => Err(format!("{name}: more words than expected")),
        }
    }
}

/// What a call came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// It is so.
    Done,
    /// It is not, and why.
    Error(String),
    /// The figures.
    Stat(Box<Figures>),
    /// The other sidecars, and since when they are as they are.
    Tier(Vec<(Record, Duration)>),
}

impl Display for Answer {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Answer::Done => writeln!(f, "done"),
            Answer::Error(why) => writeln!(f, "error: {}", why.replace(['\r', '\n'], " ")),
            Answer::Stat(figures) => writeln!(f, "{figures}end"),
            Answer::Tier(members) => {
                for (member, since) in members {
                    let Record { who, incarnation, presence } = member;
                    let presence = match presence {
                        Presence::Unknown => "unknown",
                        Presence::Alive => "alive",
                        Presence::Suspect => "suspect",
                        Presence::Gone => "gone",
                    };
                    writeln!(f, "member.{who}={presence},{incarnation},{}", since.as_millis())?;
                }
                writeln!(f, "end")
            }
        }
    }
}

/// The figures of a sidecar. Counts are since the start of the process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Final answers by class.
    pub classes: Vec<(String, RequestCounts)>,
    /// Attempts written whole to servers.
    pub tries: u64,
    /// Requests taken and not ended.
    pub active: usize,
    /// Servers in the list.
    pub listed: usize,
    /// Those of them that get nothing, by hand or by choice.
    pub ejected: usize,
    /// How many servers may be known.
    pub most_servers: usize,
    /// Lists that were too long, or held more servers than that.
    pub lists_too_long: u64,
    /// New configurations.
    pub reloads: Reloads,
    /// What is known of the tier, where this sidecar takes part, and its clubs' names.
    pub tier: Option<(View, Vec<String>)>,
}

impl Display for Figures {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (class, counts) in &self.classes {
            writeln!(f, "sidecar.ok.{class}={}", counts.served)?;
            writeln!(f, "sidecar.shed.{class}={}", counts.rejected)?;
            writeln!(f, "sidecar.errors.{class}={}", counts.failed)?;
        }
        writeln!(f, "sidecar.tries={}", self.tries)?;
        writeln!(f, "sidecar.active={}", self.active)?;
        writeln!(f, "sidecar.pool_size={}", self.listed)?;
        writeln!(f, "sidecar.pool_ejected={}", self.ejected)?;
        writeln!(f, "sidecar.pool_most={}", self.most_servers)?;
        writeln!(f, "sidecar.lists_too_long={}", self.lists_too_long)?;
        writeln!(f, "sidecar.config_applied={}", self.reloads.applied)?;
        writeln!(f, "sidecar.config_rejected={}", self.reloads.declined)?;
        match &self.tier {
            Some((view, clubs)) => tier(f, view, clubs),
            None => Ok(()),
        }
    }
}

fn tier(f: &mut Formatter<'_>, view: &View, clubs: &[String]) -> fmt::Result {
    let age = view.age.map_or(-1.0, |age| age as f64 / 1e6);
    for (name, value) in [
        ("incarnation", f64::from(view.incarnation)),
        ("reach", view.reach),
        ("members", view.members.0 as f64),
        ("gone", view.members.1 as f64),
        ("links_up", view.links.0 as f64),
        ("links", view.links.1 as f64),
        ("age_s", age),
        ("attempts_per_s", view.attempts),
        ("repeats_per_s", view.repeats),
        ("refused_per_s", view.refused),
        ("failed_per_s", view.failed),
        ("broke_per_s", view.broke),
        ("repeat_share", view.budget.share),
        ("repeats_saved", view.budget.saved),
        ("notes_sent", view.notes[0] as f64),
        ("notes_taken", view.notes[1] as f64),
        ("notes_spoilt", view.notes[2] as f64),
        ("notes_old", view.notes[3] as f64),
    ] {
        writeln!(f, "sidecar.tier.{name}={}", (value * 1000.0).round() / 1000.0)?;
    }
    for (club, name) in view.clubs.iter().zip(clubs) {
        writeln!(f, "sidecar.tier.asked_per_s.{name}={:.3}", club.asked)?;
        writeln!(f, "sidecar.tier.own_per_s.{name}={:.3}", club.own)?;
        writeln!(f, "sidecar.tier.quota_per_s.{name}={:.3}", club.quota)?;
        writeln!(f, "sidecar.tier.lease_per_s.{name}={:.3}", club.lease)?;
        writeln!(f, "sidecar.tier.within.{name}={}", club.spent.0)?;
        writeln!(f, "sidecar.tier.beyond.{name}={}", club.spent.1)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_is_one_call_and_nothing_else() {
        let server = |name: &str| Command::DisableServer(name.into());
        assert_eq!(Command::parse(" disable-server  s-1\r"), Ok(server("s-1")));
        assert_eq!(Command::parse("enable-server x"), Ok(Command::EnableServer("x".into())));
        assert_eq!(Command::parse("show-stat"), Ok(Command::ShowStat));
        for bad in ["", "  ", "readyy", "READY", "ready now", "disable-server", "drain s-1 s-2"] {
            assert!(Command::parse(bad).is_err(), "{bad:?}");
        }
    }

    #[test]
    fn figures_are_a_line_each_and_end() {
        let counts = RequestCounts { served: 812, rejected: 3, failed: 1 };
        let figures =
            Figures { classes: vec![("look".into(), counts)], active: 14, ..Figures::default() };
        let text = Answer::Stat(figures.into()).to_string();
        assert!(
            text.starts_with("sidecar.ok.look=812\nsidecar.shed.look=3\nsidecar.errors.look=1")
        );
        assert!(text.contains("\nsidecar.active=14\n") && text.ends_with("=0\nend\n"), "{text}");
        assert_eq!(Answer::Error("two\nlines".into()).to_string(), "error: two lines\n");
    }
}
