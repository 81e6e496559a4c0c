//! Parses values that occur in several tables of a scenario file.

use std::time::Duration;

use serde_json::Value;

use super::Tenant;
use super::error::{Problem, in_range};
use super::file::ImpairmentTable;
use crate::links::Impairment;

/// The longest delay and jitter of a link, in milliseconds.
const MAX_DELAY_MS: f64 = 60_000.0;

/// Returns the index of the tenant with this name.
pub(super) fn tenant_number(
    tenants: &[Tenant],
    name: Option<&str>,
) -> Result<Option<usize>, Problem> {
    let Some(name) = name else { return Ok(None) };
    let number = tenants.iter().position(|tenant| tenant.name == name);
    number.map(Some).ok_or_else(|| Problem::UnknownTenant { name: name.to_owned() })
}

/// Returns the impairment that a table of the file defines.
pub(super) fn impairment(table: &ImpairmentTable) -> Result<Impairment, Problem> {
    let share = |value, key| in_range(value, key, 0.0, 1.0);
    let duration = |ms, key| {
        let ms = in_range(ms, key, 0.0, MAX_DELAY_MS)?;
        Ok::<_, Problem>(Duration::from_secs_f64(ms / 1e3))
    };
    Ok(Impairment {
        cut: table.cut,
        delay: duration(table.delay_ms, "delay_ms")?,
        jitter: duration(table.jitter_ms, "jitter_ms")?,
        loss: share(table.loss, "loss")?,
        duplicate: share(table.duplicate, "twice")?,
        reorder: share(table.reorder, "late")?,
        corrupt: share(table.corrupt, "spoilt")?,
        rate: table.bytes_per_s,
    })
}

/// Converts a table of the file to a JSON object.
pub(super) fn json_table(table: &toml::Value, key: &str) -> Result<Value, Problem> {
    let key = key.to_owned();
    match serde_json::to_value(table) {
        Ok(value) if value.is_object() => Ok(value),
        Ok(_) => Err(Problem::Expected { key, expected: "a table" }),
        Err(source) => Err(Problem::Json { key, source }),
    }
}
