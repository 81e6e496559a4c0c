//! Tests of the admin state.

use super::*;

#[test]
fn repeated_command_is_reverted_by_one_command() {
    let is_listed = |name: &str| name == "a";
    let disable = Command::DisableServer("a".into());
    let enable = Command::EnableServer("a".into());
    let mut state = AdminState::default();
    assert_eq!(state.apply(&disable, is_listed), Ok(()));
    assert_eq!(
        state.apply(&disable, |_| false),
        Ok(()),
        "the server may have left the list meanwhile"
    );
    assert!(state.disabled_servers.contains("a"));
    assert_eq!(state.apply(&enable, |_| false), Ok(()));
    assert_eq!(state, AdminState::default());
    assert_eq!(state.apply(&enable, is_listed), Ok(()), "the server is enabled already");
}

#[test]
fn unknown_server_is_rejected_and_nothing_changes() {
    let mut state = AdminState::default();
    assert!(state.apply(&Command::DisableServer("b".into()), |_| false).is_err());
    assert!(state.apply(&Command::EnableServer("b".into()), |_| false).is_err());
    assert_eq!(state, AdminState::default());
}
