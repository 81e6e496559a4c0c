//! The HTML report of a run: plots, events and verdicts on one self-contained page.

use std::fmt::Write as _;

use plotters::prelude::*;

use crate::expectations::{Completion, Metric, Verdict};
use crate::runner::Outcome;
use crate::sample::Sample;
use crate::scenario::{Scenario, Tenant};

/// The size of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (900, 260);
/// The maximum number of sidecar metrics that are plotted.
const MAX_SIDECAR_METRICS: usize = 40;
/// The maximum length of an action's text, in characters.
const MAX_ACTION_CHARS: usize = 200;
const EVENT_COLOUR: RGBColor = RGBColor(190, 190, 190);
const LINE_COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(44, 160, 44),
    RGBColor(214, 39, 40),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(23, 190, 207),
];
const HEAD: &str = "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><style>\
     body{font:14px sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse}\
     td,th{border:1px solid #ccc;padding:2px 8px;text-align:left}.bad{color:#b00}\
     svg{display:block;margin:1em 0}</style>";

/// A line of a plot.
struct Line {
    name: String,
    /// Pairs of seconds from the start of the run and values.
    points: Vec<(f64, f64)>,
}

/// Returns the HTML report of a run.
pub fn html(scenario: &Scenario, outcome: &Outcome) -> String {
    let mut page = String::from(HEAD);
    heading(&mut page, scenario, outcome);
    verdicts(&mut page, outcome);
    events(&mut page, scenario);
    page.push_str("<h2>Figures</h2>");
    let samples = &outcome.samples;
    plot(&mut page, scenario, "operations per second", rates(samples));
    plot(&mut page, scenario, "served per second, by tenant", tenant_rates(scenario, samples));
    plot(&mut page, scenario, "gossip: bytes per second and sidecar", gossip_bytes(samples));
    for name in sidecar_metric_names(samples) {
        let lines = sidecar_metric(samples, &name);
        plot(&mut page, scenario, &format!("sidecar metric {name}"), lines);
    }
    page.push_str("</body></html>\n");
    page
}

fn heading(page: &mut String, scenario: &Scenario, outcome: &Outcome) {
    let name = escape(&scenario.name);
    let result = if outcome.passed { "passed" } else { "<span class=\"bad\">failed</span>" };
    let _ = write!(
        page,
        "<title>{name}</title></head><body><h1>{name}</h1><p>{} sidecars, {} servers, {:.0} \
         requests/s, seed {}: the run {result}.</p>",
        scenario.sidecar_count,
        scenario.servers_per_zone * 3,
        scenario.load.requests_per_s,
        scenario.seed
    );
}

fn verdicts(page: &mut String, outcome: &Outcome) {
    page.push_str(
        "<table><tr><th>line</th><th>figure</th><th>held</th><th>least</th><th>most</th>\
         <th>looks</th><th>why</th></tr>",
    );
    outcome.verdicts.iter().for_each(|verdict| verdict_row(page, verdict));
    let violations = outcome.account.violations();
    let _ = write!(page, "</table><p>Violations: {violations}.</p><ul>");
    for text in outcome.account.examples.iter().chain(&outcome.problems) {
        let _ = write!(page, "<li>{}</li>", escape(text));
    }
    page.push_str("</ul>");
}

fn verdict_row(page: &mut String, verdict: &Verdict) {
    let held = if verdict.passed { "yes" } else { "<span class=\"bad\">no</span>" };
    let _ = write!(
        page,
        "<tr><td>{}</td><td>{}</td><td>{held}</td><td>{:.3}</td><td>{:.3}</td><td>{}</td><td>{}</td></tr>",
        verdict.line,
        escape(&verdict.metric),
        verdict.min,
        verdict.max,
        verdict.observations,
        escape(verdict.reason.as_deref().unwrap_or_default())
    );
}

fn events(page: &mut String, scenario: &Scenario) {
    page.push_str("<h2>Events</h2><table><tr><th>s</th><th>action</th></tr>");
    for event in &scenario.events {
        let action = serde_json::to_string(&event.action).unwrap_or_default();
        let action: String = action.chars().take(MAX_ACTION_CHARS).collect();
        let _ = write!(page, "<tr><td>{:.2}</td><td>{}</td></tr>", event.at_s, escape(&action));
    }
    page.push_str("</table>");
}

/// Returns the operations per second by outcome.
fn rates(samples: &[Sample]) -> Vec<Line> {
    let completions = [
        ("asked", Completion::Any),
        ("served", Completion::Served),
        ("refused", Completion::Rejected),
    ];
    completions.map(|(name, completion)| rate(samples, name, completion, None)).into()
}

/// Returns the served operations per second by tenant.
fn tenant_rates(scenario: &Scenario, samples: &[Sample]) -> Vec<Line> {
    let line =
        |(n, tenant): (usize, &Tenant)| rate(samples, &tenant.name, Completion::Served, Some(n));
    scenario.load.tenants.iter().enumerate().map(line).collect()
}

fn rate(samples: &[Sample], name: &str, completion: Completion, tenant: Option<usize>) -> Line {
    let metric = Metric::Rate(completion, tenant);
    let points = differences(samples, |a, b| metric.between(a, b, b.sidecar_metrics.len()));
    Line { name: name.to_owned(), points }
}

fn gossip_bytes(samples: &[Sample]) -> Vec<Line> {
    let points = differences(samples, |a, b| {
        let bytes = (b.gossip.bytes - a.gossip.bytes) as f64;
        Some(bytes / (b.at_s - a.at_s) / b.sidecar_metrics.len().max(1) as f64)
    });
    vec![Line { name: "bytes".to_owned(), points }]
}

/// Returns a value for each pair of samples that are a second apart.
fn differences(
    samples: &[Sample],
    value: impl Fn(&Sample, &Sample) -> Option<f64>,
) -> Vec<(f64, f64)> {
    // Two samples are taken per second.
    let pairs = samples.windows(3).map(|window| (&window[0], &window[2]));
    pairs.filter_map(|(a, b)| Some((b.at_s, value(a, b)?))).collect()
}

/// Returns the minimum, median and maximum of a sidecar metric over all sidecars.
fn sidecar_metric(samples: &[Sample], name: &str) -> Vec<Line> {
    let line = |pick: fn(&[f64]) -> f64, label: &str| Line {
        name: label.to_owned(),
        points: samples
            .iter()
            .filter_map(|sample| Some((sample.at_s, pick(&sorted_values(sample, name)?))))
            .collect(),
    };
    vec![
        line(|values| values[0], "least"),
        line(|values| values[values.len() / 2], "median"),
        line(|values| values[values.len() - 1], "most"),
    ]
}

/// Returns the values of a metric of all sidecars that have reported it, in ascending order.
fn sorted_values(sample: &Sample, name: &str) -> Option<Vec<f64>> {
    let reported = sample.sidecar_metrics.iter().flatten();
    let mut values: Vec<f64> = reported.filter_map(|metrics| metrics.get(name).copied()).collect();
    values.sort_by(f64::total_cmp);
    (!values.is_empty()).then_some(values)
}

fn sidecar_metric_names(samples: &[Sample]) -> Vec<String> {
    let reported = samples.iter().flat_map(|sample| sample.sidecar_metrics.iter().flatten());
    let mut names: Vec<String> = reported.flat_map(|metrics| metrics.keys()).cloned().collect();
    names.sort_unstable();
    names.dedup();
    names.truncate(MAX_SIDECAR_METRICS);
    names
}

/// Adds a plot with a legend. If it cannot be drawn, adds the error instead.
fn plot(page: &mut String, scenario: &Scenario, title: &str, lines: Vec<Line>) {
    let mut svg = String::new();
    match draw(&mut svg, scenario, title, &lines) {
        Ok(()) => page.push_str(&svg),
        Err(error) => {
            let _ = write!(page, "<p>{}: {}</p>", escape(title), escape(&error.to_string()));
        }
    }
    page.push_str("<p>");
    for (n, line) in lines.iter().enumerate() {
        let RGBColor(r, g, b) = line_colour(n);
        let _ = write!(
            page,
            "<span style=\"color:rgb({r},{g},{b})\">&#9644; {}</span> ",
            escape(&line.name)
        );
    }
    page.push_str("</p>");
}

fn line_colour(n: usize) -> RGBColor {
    LINE_COLOURS[n % LINE_COLOURS.len()]
}

/// Draws a plot as SVG.
fn draw(
    svg: &mut String,
    scenario: &Scenario,
    title: &str,
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error>> {
    let values = lines.iter().flat_map(|line| &line.points).map(|point| point.1);
    let max = values.fold(1e-9, f64::max) * 1.05;
    let duration_s = scenario.duration.as_secs_f64();
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(6)
        .x_label_area_size(24)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..duration_s, 0.0..max)?;
    chart.configure_mesh().x_desc("s").draw()?;
    for event in &scenario.events {
        let vertical = [(event.at_s, 0.0), (event.at_s, max)];
        chart.draw_series(LineSeries::new(vertical, &EVENT_COLOUR))?;
    }
    for (n, line) in lines.iter().enumerate() {
        chart.draw_series(LineSeries::new(line.points.iter().copied(), &line_colour(n)))?;
    }
    area.present()?;
    Ok(())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
