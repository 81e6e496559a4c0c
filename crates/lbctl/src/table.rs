//! Tables of status, history and reports.

use std::time::{SystemTime, UNIX_EPOCH};

use fakes::account::Report;
use serde_json::Value;

fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Prints the status of a daemon: some lines about the fleet, then one line per instance.
pub fn status(status: &Value) {
    println!(
        "daemon {} (process {}), generation {} of {}",
        text(&status["version"]),
        text(&status["pid"]),
        text(&status["base"]),
        text(&status["target"])
    );
    if !status["rollout"].is_null() {
        let stage = if status["rollout"]["waves"] == true { "in waves" } else { "at the canary" };
        println!("rollout in progress, {stage}: {}", text(&status["rollout"]["canaries"]));
    }
    if !status["trouble"].is_null() {
        println!("trouble: {}", text(&status["trouble"]));
    }
    println!(
        "{:20} {:9} {:>7} {:>4} {:21} {:>7} {:>7} {:>9} {:>7} {:>6}  why",
        "instance",
        "state",
        "pid",
        "gen",
        "listens",
        "up s",
        "clients",
        "served",
        "refused",
        "failed"
    );
    status["slots"].as_array().into_iter().flatten().for_each(instance);
}

fn instance(instance: &Value) {
    println!(
        "{:20} {:9} {:>7} {:>4} {:21} {:>7} {:>7} {:>9} {:>7} {:>6}  {}",
        text(&instance["slot"]),
        text(&instance["state"]),
        text(&instance["pid"]),
        text(&instance["generation"]),
        text(&instance["listen"]),
        text(&instance["up_s"]),
        text(&instance["clients"]),
        text(&instance["counts"]["served"]),
        text(&instance["counts"]["refused"]),
        text(&instance["counts"]["failed"]),
        instance["why"].as_str().unwrap_or_default()
    );
}

/// Prints the history of a daemon: one line per entry, with its age.
pub fn history(history: &Value) {
    let now_s = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    for entry in history.as_array().into_iter().flatten() {
        let age_s = now_s.saturating_sub(entry["at"].as_u64().unwrap_or(now_s));
        println!("{age_s:>8} s ago  {}", text(&entry["what"]));
    }
}

/// Prints the outcomes of all requests, by class.
pub fn account(report: &Report) {
    println!(
        "{:14} {:>7} {:>7} {:>8} {:>7} {:>5} {:>9} {:>9} {:>9}",
        "class", "asked", "served", "refused", "failed", "open", "p50 ms", "p99 ms", "max ms"
    );
    for c in &report.classes {
        println!(
            "{:14} {:>7} {:>7} {:>8} {:>7} {:>5} {:>9.1} {:>9.1} {:>9.1}",
            c.name,
            c.requested,
            c.served,
            c.rejected,
            c.failed,
            c.open,
            c.p50_ms,
            c.p99_ms,
            c.max_ms
        );
    }
}

/// Prints the request counts of each server.
pub fn servers(report: &Report) {
    println!("{:14} {:>7} {:>7} {:>11} {:>8}", "server", "came", "ran", "rejected", "dropped");
    for (name, s) in &report.servers {
        println!(
            "{:14} {:>7} {:>7} {:>11} {:>8}",
            name, s.received, s.executed, s.rejected, s.deduplicated
        );
    }
}

/// Prints the numbers of lost, timed out and duplicated requests and of some other violations, with examples.
pub fn rules(report: &Report) {
    println!("lost                            {:>5}", report.lost);
    println!("lost by killed processes        {:>5}", report.lost_by_kill);
    println!("timed out                       {:>5}", report.timed_out);
    println!("duplicated non-idempotent       {:>5}", report.duplicated_non_idempotent);
    println!("duplicated with idempotency key {:>5}", report.duplicated_keyed);
    println!("rejected but executed           {:>5}", report.rejected_but_executed);
    println!("sent after the answer           {:>5}", report.after_answer);
    println!("wrong response body             {:>5}", report.wrong_body);
    println!("refused connections             {:>5}", report.refused_connections);
    for example in &report.examples {
        println!("  {example}");
    }
}
