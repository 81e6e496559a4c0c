//! What came of a trial as one page: plots, what happened when, and what held. It opens without a network.

use std::fmt::Write as _;

use plotters::prelude::*;

use crate::expectations::{Ended, Measure, Sample};
use crate::play::Outcome;
use crate::scenario::Scenario;

const SIZE: (u32, u32) = (900, 260);
/// The most of the sidecars' own figures that get a plot.
const MOST: usize = 40;

struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// The page.
pub fn html(scenario: &Scenario, outcome: &Outcome) -> String {
    let mut page = String::from(
        "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><style>\
         body{font:14px sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse}\
         td,th{border:1px solid #ccc;padding:2px 8px;text-align:left}.bad{color:#b00}\
         svg{display:block;margin:1em 0}</style>",
    );
    let name = escape(&scenario.name);
    let held = if outcome.held { "held" } else { "did <span class=\"bad\">not</span> hold" };
    let _ = write!(
        page,
        "<title>{name}</title></head><body><h1>{name}</h1><p>{} sidecars, {} servers, {:.0} \
         requests/s, seed {}: it {held}.</p>",
        scenario.sidecars,
        scenario.servers * 3,
        scenario.load.per_s,
        scenario.seed
    );
    verdicts(&mut page, outcome);
    page.push_str("<h2>What happened</h2><table><tr><th>s</th><th>what</th></tr>");
    for act in &scenario.acts {
        let action = serde_json::to_string(&act.action).unwrap_or_default();
        let action: String = action.chars().take(200).collect();
        let _ = write!(page, "<tr><td>{:.2}</td><td>{}</td></tr>", act.at_s, escape(&action));
    }
    page.push_str("</table><h2>Figures</h2>");
    let looks = &outcome.looks;
    let all = [("asked", Ended::Asked), ("served", Ended::Served), ("refused", Ended::Refused)];
    let lines = all.map(|(name, ended)| rate(looks, name, ended, None)).into();
    plot(&mut page, scenario, "operations a second", lines);
    let of = |(n, tenant): (usize, &crate::scenario::Tenant)| {
        rate(looks, &tenant.name, Ended::Served, Some(n))
    };
    let lines = scenario.load.tenants.iter().enumerate().map(of).collect();
    plot(&mut page, scenario, "served a second, by tenant", lines);
    let notes = Line {
        name: "bytes".to_owned(),
        points: steps(looks, |a, b| {
            Some(
                (b.notes.bytes - a.notes.bytes) as f64
                    / (b.at_s - a.at_s)
                    / b.own.len().max(1) as f64,
            )
        }),
    };
    plot(&mut page, scenario, "notes: bytes a second and sidecar", vec![notes]);
    for name in own_names(looks) {
        let spread = |pick: fn(&[f64]) -> f64, label: &str| Line {
            name: label.to_owned(),
            points: looks.iter().filter_map(|l| Some((l.at_s, pick(&own(l, &name)?)))).collect(),
        };
        let lines = vec![
            spread(|v| v[0], "least"),
            spread(|v| v[v.len() / 2], "median"),
            spread(|v| v[v.len() - 1], "most"),
        ];
        plot(&mut page, scenario, &format!("own figure {name}"), lines);
    }
    page.push_str("</body></html>\n");
    page
}

fn verdicts(page: &mut String, outcome: &Outcome) {
    page.push_str(
        "<table><tr><th>line</th><th>figure</th><th>held</th><th>least</th><th>most</th>\
         <th>looks</th><th>why</th></tr>",
    );
    for v in &outcome.verdicts {
        let held = if v.held { "yes" } else { "<span class=\"bad\">no</span>" };
        let _ = write!(
            page,
            "<tr><td>{}</td><td>{}</td><td>{held}</td><td>{:.3}</td><td>{:.3}</td><td>{}</td><td>{}</td></tr>",
            v.line,
            escape(&v.figure),
            v.least,
            v.most,
            v.looks,
            escape(v.why.as_deref().unwrap_or_default())
        );
    }
    let broken = outcome.account.broken();
    let _ = write!(page, "</table><p>Rules broken: {broken}.</p><ul>");
    for text in outcome.account.examples.iter().chain(&outcome.troubles) {
        let _ = write!(page, "<li>{}</li>", escape(text));
    }
    page.push_str("</ul>");
}

fn steps(looks: &[Sample], of: impl Fn(&Sample, &Sample) -> Option<f64>) -> Vec<(f64, f64)> {
    // Over a second each: two looks.
    let pairs = looks.windows(3).map(|w| (&w[0], &w[2]));
    pairs.filter_map(|(a, b)| Some((b.at_s, of(a, b)?))).collect()
}

fn rate(looks: &[Sample], name: &str, ended: Ended, tenant: Option<usize>) -> Line {
    let measure = Measure::PerS(ended, tenant);
    let points = steps(looks, |a, b| measure.between(a, b, b.own.len()));
    Line { name: name.to_owned(), points }
}

/// One figure of all sidecars that told it, in order.
fn own(look: &Sample, name: &str) -> Option<Vec<f64>> {
    let mut all: Vec<f64> =
        look.own.iter().flatten().filter_map(|o| o.get(name).copied()).collect();
    all.sort_by(f64::total_cmp);
    (!all.is_empty()).then_some(all)
}

fn own_names(looks: &[Sample]) -> Vec<String> {
    let told = looks.iter().flat_map(|l| l.own.iter().flatten()).flat_map(|o| o.keys());
    let mut names: Vec<String> = told.cloned().collect();
    names.sort_unstable();
    names.dedup();
    names.truncate(MOST);
    names
}

/// Adds a plot; one that cannot be drawn is left out, with the reason in its place.
fn plot(page: &mut String, scenario: &Scenario, title: &str, lines: Vec<Line>) {
    let mut svg = String::new();
    match draw(&mut svg, scenario, title, &lines) {
        Ok(()) => page.push_str(&svg),
        Err(why) => drop(write!(page, "<p>{}: {}</p>", escape(title), escape(&why))),
    }
    // The picture's letters are the page's: of each line its colour and name.
    page.push_str("<p>");
    for (n, line) in lines.iter().enumerate() {
        let RGBColor(r, g, b) = colour(n);
        let _ = write!(
            page,
            "<span style=\"color:rgb({r},{g},{b})\">&#9644; {}</span> ",
            escape(&line.name)
        );
    }
    page.push_str("</p>");
}

fn colour(n: usize) -> RGBColor {
    let all = [
        (31, 119, 180),
        (44, 160, 44),
        (214, 39, 40),
        (148, 103, 189),
        (255, 127, 14),
        (23, 190, 207),
    ];
    let (r, g, b) = all[n % all.len()];
    RGBColor(r, g, b)
}

fn draw(svg: &mut String, scenario: &Scenario, title: &str, lines: &[Line]) -> Result<(), String> {
    let text = |e: &dyn std::fmt::Display| e.to_string();
    let most = lines.iter().flat_map(|l| &l.points).map(|p| p.1).fold(1e-9, f64::max) * 1.05;
    let length = scenario.length.as_secs_f64();
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|e| text(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(6)
        .x_label_area_size(24)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..length, 0.0..most)
        .map_err(|e| text(&e))?;
    chart.configure_mesh().x_desc("s").draw().map_err(|e| text(&e))?;
    for act in &scenario.acts {
        let at = [(act.at_s, 0.0), (act.at_s, most)];
        let grey = RGBColor(190, 190, 190);
        chart.draw_series(LineSeries::new(at, &grey)).map_err(|e| text(&e))?;
    }
    for (n, line) in lines.iter().enumerate() {
        let series = LineSeries::new(line.points.iter().copied(), &colour(n));
        chart.draw_series(series).map_err(|e| text(&e))?;
    }
    area.present().map_err(|e| text(&e))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
