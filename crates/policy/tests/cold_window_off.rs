//! Decisions without a window, under an overload of calls of all kinds, during and after the
//! warm-up.

use model::time::Time;
use policy::{
    admission::{Class, Decision, Limiter, Rank, Ticket},
    bucket::Rate,
    warmup::Limit,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{fmt::Debug, time::Duration};

const DEADLINE: Duration = Duration::from_millis(800);

/// FNV-1a digest of the decisions of the code before the window existed, commit 1481a23; computed
/// with the generator of the locked version of `rand`.
const DIGEST: u64 = 0xbda5_8182_883c_9dbd;

/// Guards against a mechanism that changes decisions while it is switched off.
#[test]
fn decisions_without_a_window_are_as_before() {
    let mut digest = 0xcbf2_9ce4_8422_2325_u64;
    let mut add = |byte| digest = (digest ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    (0..20).for_each(|seed| play(seed, &mut |text| text.bytes().for_each(&mut add)));
    assert_eq!(digest, DIGEST, "{digest:#x}");
}

/// Passes the text of every decision of a random script of 6 s, half of it cold, to `record`.
fn play(seed: u64, record: &mut impl FnMut(String)) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut limiter = Limiter::new(6);
    let mut running: Vec<(u64, Ticket)> = Vec::new();
    for now in 0..6_000 {
        let at = Time::from_millis(now);
        match now {
            0..3_000 => {
                let limit = Limit { rate: 13.75, burst: 4.0, until: Time::from_millis(3_000) };
                limiter.set_warm_up(limit, at);
            }
            3_000 => limiter.end_warm_up(),
            4_500 => limiter.set_named_limit(Some(Rate { per_s: 30.0, burst: 3.0 }), at),
            _ => {}
        }
        let mut granted = limiter.grant_waiting(at);
        for (_, ticket) in running.extract_if(.., |run| run.0 <= now) {
            let reached = random.random_bool(0.8);
            let time = Duration::from_millis(random.random_range(20..200));
            granted.extend(limiter.finish(ticket, at, reached.then_some(time)));
        }
        if random.random_bool(0.1) {
            let ticket = Ticket(now);
            let class = if random.random_bool(0.5) { Class::Nested } else { Class::External };
            let start_by = Some(at + Duration::from_millis(random.random_range(10..300)));
            let rank =
                Rank { priority: random.random_range(0..24), start_by, class, ..Rank::default() };
            let decision = limiter.admit_ranked(ticket, rank, at, at + DEADLINE, 16);
            note(decision, record);
            if decision == Decision::Run {
                granted.push(ticket);
            }
        }
        note(&granted, record);
        note((limiter.next_token(at), limiter.refusal_cause(at), limiter.retry_after(at)), record);
        let ends = |ticket| (now + random.random_range(20..200), ticket);
        running.extend(granted.into_iter().map(ends));
    }
}

fn note(decision: impl Debug, record: &mut impl FnMut(String)) {
    record(format!("{decision:?}"));
}
