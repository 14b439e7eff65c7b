//! Outcome of each way of losing a call at each step.

use policy::outcome::{Cause, Loss, Outcome, STEPS, Step, Uncertainty, of_loss};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Expected {
    NotRun,
    Unknown,
}

#[track_caller]
fn check(step: Step, expect: [Expected; 4]) {
    let losses = [Loss::Refusal(Cause::Refused), Loss::Closed, Loss::Timeout, Loss::Malformed];
    let outcomes = losses.map(|loss| match of_loss(step, loss) {
        Outcome::NotRun(..) => Expected::NotRun,
        Outcome::Unknown(_) => Expected::Unknown,
    });
    assert_eq!(outcomes, expect, "{step:?}");
}

/// Guards against a payment that runs twice: its caller received "not run" although the upstream
/// had received it.
#[test]
fn not_run_is_returned_only_if_proven() {
    use Expected::{NotRun, Unknown};
    check(Step::Receive, [NotRun, NotRun, NotRun, NotRun]);
    check(Step::Connect, [NotRun, NotRun, NotRun, NotRun]);
    check(Step::Offer, [NotRun, Unknown, Unknown, Unknown]);
    check(Step::Queue, [NotRun, NotRun, NotRun, NotRun]);
    check(Step::Dial, [NotRun, NotRun, NotRun, NotRun]);
    check(Step::Run, [NotRun, Unknown, Unknown, Unknown]);
    check(Step::Answer, [Unknown, Unknown, Unknown, Unknown]);
    assert_eq!(STEPS.len(), 7);
}

#[test]
fn wire_names_round_trip() {
    let causes = ["overloaded", "leaving", "late", "paused", "replaced", "no-upstream"];
    for cause in causes.into_iter().chain(["nested-overloaded"]) {
        assert_eq!(Cause::parse(cause).map(Cause::name), Some(cause));
    }
    for name in ["broken", "timeout", "bad-answer"] {
        assert_eq!(Uncertainty::parse(name).map(Uncertainty::name), Some(name));
    }
    assert_eq!(Cause::parse("whatever"), None);
}

/// Guards against a payment that runs twice: its last attempt was refused, but an earlier one had
/// run and lost its answer.
#[test]
fn later_refusal_does_not_hide_an_earlier_unknown_outcome() {
    let (lost, broken) =
        (Outcome::Unknown(Uncertainty::Timeout), Outcome::Unknown(Uncertainty::Broken));
    let (full, late) = (Cause::Overloaded.outcome(), Cause::Late.outcome());
    assert_eq!(full.after(lost), lost);
    assert_eq!(late.after(full), late);
    assert_eq!(lost.after(full), lost);
    assert_eq!(broken.after(lost), broken);
}
