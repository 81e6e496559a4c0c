//! Tests of parsing commands.

use super::*;

#[test]
fn line_is_exactly_one_command() {
    let disable = |name: &str| Command::DisableServer(name.into());
    assert_eq!(Command::parse(" disable-server  s-1\r"), Ok(disable("s-1")));
    assert_eq!(Command::parse("enable-server x"), Ok(Command::EnableServer("x".into())));
    assert_eq!(Command::parse("show-stat"), Ok(Command::ShowStat));
    for invalid in ["", "  ", "readyy", "READY", "ready now", "disable-server", "drain s-1 s-2"] {
        assert!(Command::parse(invalid).is_err(), "{invalid:?}");
    }
}
