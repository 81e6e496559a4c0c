//! Tests of scenario files.

use super::*;

const HEAD: &str =
    "name = \"x\"\nseconds = 10\n[tier]\nsidecars = 8\nservers = 2\n[load]\nper_s = 9\n";

fn parsed(more: &str) -> Result<Scenario, ScenarioError> {
    Scenario::parse(&format!("{HEAD}{more}"), Some(7))
}

#[test]
fn errors_name_line_and_key() {
    let wrong = [
        ("[groups]\nleft = [\"s0..4\", \"s8\"]", "line 9: groups.left: \"s8\" selects no node"),
        ("[[fault]]\nwhat = \"kill\"\nat_s = 11\nof = [\"s1\"]", "line 8: at_s: from 0 to 10"),
        ("[[fault]]\nwhat = \"kill\"\nat_s = 1", "line 8: of: sidecars expected"),
        (
            "[[fault]]\nwhat = \"link\"\nat_s = 1\nfrom = [\"s1\"]\nto = [\"s2\"]",
            "line 8: link: exp",
        ),
        (
            "[[fault]]\nwhat = \"link\"\nat_s = 1\nfrom = [\"s1\"]\nto = [\"s2\"]\nlink.loss = 1.5",
            "line 8: link.loss: from 0 to 1 expected, not 1.5",
        ),
        ("[[fault]]\nwhat = \"load\"\nat_s = 1\ntimes = 2\nclub = \"x\"", "line 8: tenant: \"x\""),
        ("[[expect]]\nfigure = \"served_share\"", "line 8: expect.least, most or near"),
        ("[[expect]]\nfigure = \"served\"\nleast = 1", "line 8: expect.figure"),
        ("[[expect]]\nfigure = \"broken\"\nmost = 0\nfrom_s = 20", "line 8: expect.from_s"),
        ("[[fault]]\nwhat = \"eat\"\nat_s = 1", "line 9: unknown variant"),
        ("\n[more]", "line 9: unknown field `more`"),
    ];
    for (text, message) in wrong {
        let error = parsed(text).expect_err(text).to_string();
        assert!(error.starts_with(message), "{error} instead of {message}");
    }
    let error = Scenario::parse(&HEAD.replace("= 10", "= 3600").replace("= 8", "= 300"), None);
    let error = error.expect_err("too long for so many").to_string();
    assert!(error.starts_with("line 2: seconds: 133 at most"), "{error}");
    let error = Scenario::parse(&HEAD.replace("= 8", "= 999"), None);
    let error = error.expect_err("too many").to_string();
    assert!(error.starts_with("line 4: tier.sidecars: from 1 to 400"), "{error}");
}

#[test]
fn events_are_in_order_and_the_same_for_the_same_seed() {
    let text = "[groups]\nleft = [\"s0..4\"]\n\
        [[fault]]\nwhat = \"kill\"\nat_s = 6\nfor_s = 2\nof = [\"sidecars*0.5\"]\nspread_s = 1\n\
        [[fault]]\nwhat = \"link\"\nat_s = 1\nfor_s = 3\nfrom = [\"left\"]\nto = [\"others\"]\nlink.cut = true\n\
        [[fault]]\nwhat = \"server\"\nat_s = 9\nfor_s = 5\nof = [\"utrecht-1\"]\nhow = \"dead\"\n";
    let events_of =
        |seed| Scenario::parse(&format!("{HEAD}{text}"), Some(seed)).expect("valid").events;
    let written = |events: &[Event]| serde_json::to_string(events).expect("JSON");
    let events = events_of(7);
    assert_eq!(written(&events), written(&events_of(7)));
    assert_ne!(written(&events), written(&events_of(8)));
    let times: Vec<f64> = events.iter().map(|a| a.at_s).collect();
    assert_eq!(times, [1.0, 4.0, 6.0, 6.25, 6.5, 6.75, 8.0, 8.25, 8.5, 8.75, 9.0]);
    let Action::Inject { fault, .. } = &events[0].action else { panic!("{:?}", events[0]) };
    assert_eq!((fault.from.len(), fault.to.len()), (4, 4 + 6));
    assert!(
        matches!(&events[10].action, Action::SetServers(servers, ServerState::Dead) if servers == &[1].into())
    );
}
