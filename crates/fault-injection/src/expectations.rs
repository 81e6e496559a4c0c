//! What must hold: bounds on figures of the account and of the sidecars' own, over a span of time. No I/O.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::notes::Passed;

/// Operations by how they ended, so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Totals {
    /// Asked.
    pub asked: u64,
    /// Served.
    pub served: u64,
    /// Of them within their classes' aims.
    pub in_time: u64,
    /// Refused at last.
    pub refused: u64,
    /// Failed at last.
    pub failed: u64,
}

/// Everything as it stood at one time.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sample {
    /// Seconds after the beginning.
    pub at_s: f64,
    /// Of all clients.
    pub all: Totals,
    /// By tenant.
    pub tenants: Vec<Totals>,
    /// Rules broken so far.
    pub broken: u64,
    /// What servers have seen, and what clients have sent.
    pub attempts: u64,
    /// Tries of clients.
    pub tries: u64,
    /// Notes that passed.
    pub notes: Passed,
    /// Every sidecar's own figures; none: it did not tell.
    pub own: Vec<Option<BTreeMap<String, f64>>>,
}

/// A figure.
#[derive(Clone, Debug, PartialEq)]
pub enum Measure {
    /// Rules broken.
    Broken,
    /// A share of what a tenant, or everyone, asked within the span.
    Share(Ended, Option<usize>),
    /// Operations a second within the span.
    PerS(Ended, Option<usize>),
    /// Bytes of notes that arrived, a second and sidecar.
    NoteBytes,
    /// Attempts that servers saw beyond one for each try of a client, as a share of these.
    Repeats,
    /// One of the sidecars' own figures, at every look within the span.
    Own(String),
    /// How much one of their own counts grew within the span, a second, of all of them together.
    OwnPerS(String),
}

/// How operations ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Any way, or not yet.
    Asked,
    /// Served.
    Served,
    /// Served within the class's aim.
    InTime,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
}

impl Ended {
    fn of(self, totals: &Totals) -> u64 {
        match self {
            Ended::Asked => totals.asked,
            Ended::Served => totals.served,
            Ended::InTime => totals.in_time,
            Ended::Refused => totals.refused,
            Ended::Failed => totals.failed,
        }
    }
}

impl Measure {
    /// The figure of this name.
    ///
    /// # Errors
    ///
    /// What names there are.
    pub fn named(name: &str, tenant: Option<usize>) -> Result<Measure, String> {
        Ok(match name {
            "broken" => Measure::Broken,
            "served_share" => Measure::Share(Ended::Served, tenant),
            "in_time_share" => Measure::Share(Ended::InTime, tenant),
            "refused_share" => Measure::Share(Ended::Refused, tenant),
            "failed_share" => Measure::Share(Ended::Failed, tenant),
            "asked_per_s" => Measure::PerS(Ended::Asked, tenant),
            "served_per_s" => Measure::PerS(Ended::Served, tenant),
            "note_bytes_per_s" => Measure::NoteBytes,
            "repeats_share" => Measure::Repeats,
            _ => match (name.strip_prefix("own."), name.strip_prefix("grown_per_s.")) {
                (Some(own), _) => Measure::Own(own.to_owned()),
                (_, Some(own)) => Measure::OwnPerS(own.to_owned()),
                (None, None) => {
                    return Err(format!(
                        "{name:?} is none of broken, served_share, in_time_share, refused_share, \
                         failed_share, repeats_share, asked_per_s, served_per_s, note_bytes_per_s, own.NAME, grown_per_s.NAME"
                    ));
                }
            },
        })
    }

    /// Its value between two looks; one of the sidecars' own has none here.
    pub fn between(&self, from: &Sample, to: &Sample, sidecars: usize) -> Option<f64> {
        let of = |ended: Ended, tenant: &Option<usize>| -> Option<f64> {
            let totals = |s: &Sample| match tenant {
                None => Some(s.all),
                Some(tenant) => s.tenants.get(*tenant).copied(),
            };
            Some(ended.of(&totals(to)?) as f64 - ended.of(&totals(from)?) as f64)
        };
        let seconds = to.at_s - from.at_s;
        let value = match self {
            Measure::Broken => return Some(to.broken as f64),
            Measure::Share(ended, tenant) => of(*ended, tenant)? / of(Ended::Asked, tenant)?,
            Measure::PerS(ended, tenant) => of(*ended, tenant)? / seconds,
            Measure::NoteBytes => {
                (to.notes.bytes - from.notes.bytes) as f64 / seconds / sidecars.max(1) as f64
            }
            Measure::Repeats => {
                (to.attempts - from.attempts) as f64 / (to.tries - from.tries) as f64 - 1.0
            }
            Measure::OwnPerS(name) => {
                let mut grown = None;
                for (from, to) in from.own.iter().zip(&to.own) {
                    let of = |own: &Option<BTreeMap<String, f64>>| own.as_ref()?.get(name).copied();
                    if let Some(to) = of(to) {
                        // One that began anew counts from nothing.
                        let from = of(from).filter(|from| *from <= to).unwrap_or(0.0);
                        grown = Some(grown.unwrap_or(0.0) + to - from);
                    }
                }
                grown? / seconds
            }
            Measure::Own(_) => return None,
        };
        value.is_finite().then_some(value)
    }
}

/// One thing that must hold.
#[derive(Clone, Debug)]
pub struct Expectation {
    /// What is looked at.
    pub measure: Measure,
    /// Whose own figures.
    pub of: BTreeSet<u16>,
    /// The span, in seconds after the beginning.
    pub from_s: f64,
    /// Its end.
    pub to_s: f64,
    /// Bounds.
    pub least: Option<f64>,
    /// Bounds.
    pub most: Option<f64>,
    /// Another figure that it is near to, and the greatest difference as a share of that.
    pub near: Option<(Measure, f64)>,
    /// Where it stands in the file.
    pub line: usize,
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Where it stands in the file.
    pub line: usize,
    /// The figure.
    pub figure: String,
    /// It held.
    pub held: bool,
    /// What was seen: the least and the most, over `looks`.
    pub least: f64,
    /// The most.
    pub most: f64,
    /// How often it was looked at.
    pub looks: usize,
    /// The first that did not hold, in words.
    pub why: Option<String>,
}

/// A figure is compared with what it is near to over so many seconds before.
const BEFORE: f64 = 2.0;

impl Expectation {
    /// Judges by all looks. What was never seen has not held.
    pub fn judge(&self, looks: &[Sample]) -> Verdict {
        let at = |s: f64| looks.iter().rev().find(|l| l.at_s <= s + 1e-9);
        let mut verdict = Verdict {
            line: self.line,
            figure: format!("{:?}", self.measure),
            held: true,
            least: f64::INFINITY,
            most: f64::NEG_INFINITY,
            looks: 0,
            why: None,
        };
        let sidecars = looks.first().map_or(0, |l| l.own.len());
        if let Measure::Own(name) = &self.measure {
            for look in looks.iter().filter(|l| (self.from_s..=self.to_s).contains(&l.at_s)) {
                let beside = self.near.as_ref().map(|(other, within)| {
                    let before = at(look.at_s - BEFORE);
                    (before.and_then(|b| other.between(b, look, sidecars)), *within)
                });
                for &n in &self.of {
                    let own = look.own.get(usize::from(n)).and_then(Option::as_ref);
                    if let Some(&value) = own.and_then(|own| own.get(name)) {
                        self.see(
                            value,
                            beside,
                            &format!("s{n} at {:.1} s", look.at_s),
                            &mut verdict,
                        );
                    }
                }
            }
        } else if let (Some(from), Some(to)) = (at(self.from_s).or(looks.first()), at(self.to_s)) {
            let beside = self.near.as_ref().map(|(o, w)| (o.between(from, to, sidecars), *w));
            if let Some(value) = self.measure.between(from, to, sidecars) {
                self.see(value, beside, "over the span", &mut verdict);
            }
        }
        if verdict.looks == 0 {
            verdict.held = false;
            verdict.why = Some("it was never seen".to_owned());
        }
        verdict
    }

    fn see(&self, value: f64, beside: Option<(Option<f64>, f64)>, whose: &str, into: &mut Verdict) {
        into.looks += 1;
        into.least = into.least.min(value);
        into.most = into.most.max(value);
        let mut why = None;
        if self.least.is_some_and(|least| value < least) || self.most.is_some_and(|m| value > m) {
            why = Some(format!("{whose}: {value:.3}"));
        }
        match beside {
            Some((Some(other), within)) if (value - other).abs() > within * other.abs() => {
                why = Some(format!("{whose}: {value:.3} beside {other:.3}"));
            }
            Some((None, _)) => why = Some(format!("{whose}: nothing to compare with")),
            _ => {}
        }
        if let Some(why) = why {
            into.held = false;
            into.why.get_or_insert(why);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn look(at_s: f64, asked: u64, served: u64, members: &[f64]) -> Sample {
        let all = Totals { asked, served, ..Totals::default() };
        let own = |m: &f64| (*m > 0.0).then(|| [("members".to_owned(), *m)].into());
        let own = members.iter().map(own).collect();
        Sample { at_s, all, tenants: vec![all], own, ..Sample::default() }
    }

    fn hold(figure: &str, from_s: f64, to_s: f64) -> Expectation {
        let measure = Measure::named(figure, None).expect("a figure");
        let of = [0, 1].into();
        Expectation { measure, of, from_s, to_s, least: None, most: None, near: None, line: 1 }
    }

    #[test]
    fn a_span_counts_what_happened_in_it() {
        let looks = [
            look(0.0, 0, 0, &[]),
            look(1.0, 100, 90, &[]),
            look(2.0, 200, 140, &[]),
            look(3.0, 300, 240, &[]),
        ];
        let share = |from, to, least| {
            let hold = Expectation { least: Some(least), ..hold("served_share", from, to) };
            hold.judge(&looks)
        };
        assert!(share(0.0, 3.0, 0.8).held && !share(0.0, 3.0, 0.81).held);
        assert!(share(2.0, 3.0, 1.0).held && !share(1.0, 2.0, 0.51).held);
        let never = hold("served_share", 2.0, 2.0).judge(&looks);
        assert!(!never.held && never.looks == 0, "a span without requests shows nothing");
    }

    #[test]
    fn own_figures_are_looked_at_one_by_one() {
        let looks = [
            look(1.0, 8, 8, &[2.0, 2.0]),
            look(2.0, 16, 8, &[2.0, 0.0]),
            look(3.0, 24, 8, &[9.0, 1.0]),
        ];
        let two =
            Expectation { least: Some(2.0), most: Some(2.0), ..hold("own.members", 0.0, 2.5) };
        let seen = two.judge(&looks);
        assert!(seen.held && seen.looks == 3, "who does not tell is passed over: {seen:?}");
        let late = Expectation { to_s: 3.0, ..two.clone() }.judge(&looks);
        assert!(!late.held && late.why.as_deref() == Some("s0 at 3.0 s: 9.000"), "{late:?}");
        assert!(
            !Expectation { from_s: 3.5, to_s: 4.0, ..two }.judge(&looks).held,
            "nobody told anything"
        );
        let asked = Measure::named("asked_per_s", None).expect("a figure");
        let near = Expectation { near: Some((asked, 0.15)), ..hold("own.members", 3.0, 3.0) };
        let seen = near.judge(&looks);
        assert!(
            !seen.held && seen.why.as_deref() == Some("s1 at 3.0 s: 1.000 beside 8.000"),
            "{seen:?}"
        );
    }
}
