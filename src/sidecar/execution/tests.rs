//! Tests of which facts prove that an attempt was not executed.

use super::*;

const REJECTED: ExecutionFacts = ExecutionFacts {
    copies_sent: 1,
    response: ResponseFacts {
        status: Some(503),
        unprocessed: Unprocessed::Promised,
        complete: true,
        in_turn: true,
    },
    connection_settled: true,
};

fn with_response(change: impl FnOnce(&mut ResponseFacts)) -> ExecutionFacts {
    let mut facts = REJECTED;
    change(&mut facts.response);
    facts
}

#[test]
fn complete_rejection_and_incomplete_request_are_proofs() {
    assert_eq!(REJECTED.never_ran(), Ok(NonExecutionProof::Rejected));
    assert_eq!(
        with_response(|r| r.status = Some(504)).never_ran(),
        Ok(NonExecutionProof::Rejected)
    );
    assert_eq!(ExecutionFacts::NOT_SENT.never_ran(), Ok(NonExecutionProof::NotSent));
}

#[test]
fn each_part_of_the_proof_is_required() {
    let doubts = [
        (with_response(|r| r.status = None), ExecutionDoubt::NoResponse),
        (with_response(|r| r.status = Some(500)), ExecutionDoubt::NotRejected),
        (with_response(|r| r.unprocessed = Unprocessed::Unsaid), ExecutionDoubt::NotRejected),
        (
            with_response(|r| r.unprocessed = Unprocessed::Contradictory),
            ExecutionDoubt::Contradictory,
        ),
        (with_response(|r| r.complete = false), ExecutionDoubt::Incomplete),
        (with_response(|r| r.in_turn = false), ExecutionDoubt::OutOfTurn),
        (ExecutionFacts { copies_sent: 2, ..REJECTED }, ExecutionDoubt::EarlierCopy),
        (ExecutionFacts { connection_settled: false, ..REJECTED }, ExecutionDoubt::Unsettled),
    ];
    for (facts, doubt) in doubts {
        assert_eq!(facts.never_ran(), Err(doubt), "{facts:?}");
    }
}
