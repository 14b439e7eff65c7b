//! The table of outcomes: each step, each way of losing a call there.

use policy::outcome::{Cause, Doubt, Loss, Outcome, STEPS, Step, of_loss};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Told {
    NotRun,
    Unknown,
}

#[track_caller]
fn check(step: Step, expect: [Told; 4]) {
    let losses = [Loss::Refusal(Cause::Refused), Loss::Closed, Loss::Timeout, Loss::Malformed];
    let told = losses.map(|loss| match of_loss(step, loss) {
        Outcome::NotRun(..) => Told::NotRun,
        Outcome::Unknown(_) => Told::Unknown,
    });
    assert_eq!(told, expect, "{step:?}");
}

/// A cashier is told that a payment was not run, enters it again, and it is posted twice: the
/// first had been handed to the upstream when its connection broke.
#[test]
fn not_run_is_said_only_where_it_is_proved() {
    use Told::{NotRun, Unknown};
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
fn names_on_the_wire_lead_back() {
    for cause in ["overloaded", "leaving", "late", "paused", "replaced", "no-upstream"] {
        assert_eq!(Cause::parse(cause).map(Cause::name), Some(cause));
    }
    for doubt in ["broken", "timeout", "bad-answer"] {
        assert_eq!(Doubt::parse(doubt).map(Doubt::name), Some(doubt));
    }
    assert_eq!(Cause::parse("whatever"), None);
}

/// A cashier is told that a payment was not run, since its last attempt was refused, and enters it
/// again; the attempt before had been posted, and only its answer was lost.
#[test]
fn a_later_refusal_does_not_undo_an_earlier_attempt() {
    let (lost, broken) = (Outcome::Unknown(Doubt::Timeout), Outcome::Unknown(Doubt::Broken));
    let (full, late) = (Cause::Overloaded.outcome(), Cause::Late.outcome());
    assert_eq!(full.after(lost), lost);
    assert_eq!(late.after(full), late);
    assert_eq!(lost.after(full), lost);
    assert_eq!(broken.after(lost), broken);
}
