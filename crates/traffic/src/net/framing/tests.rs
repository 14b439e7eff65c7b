//! Tests of how an answer's end is told.

use hyper::{Method, Response};

use super::{Framing, Unusable};

#[track_caller]
fn check(method: Method, status: u16, headers: &[(&str, &str)], expect: Result<Framing, Unusable>) {
    let head = headers
        .iter()
        .fold(Response::builder().status(status), |head, (name, value)| head.header(*name, *value));
    let (parts, ()) = head.body(()).expect("the head is valid").into_parts();
    assert_eq!(Framing::of(&method, &parts), expect, "{method} {status} {headers:?}");
}

/// Guards against a cut answer that is taken for whole, since the sign of its end is misread.
#[test]
fn each_sign_of_the_end_is_read() {
    check(Method::GET, 200, &[("content-length", "4")], Ok(Framing::Length(4)));
    check(Method::GET, 200, &[("transfer-encoding", "Chunked")], Ok(Framing::Chunked));
    let both = [("transfer-encoding", "chunked"), ("content-length", "4")];
    check(Method::GET, 200, &both, Ok(Framing::Chunked));
    check(Method::GET, 200, &[], Ok(Framing::Close));
    check(Method::HEAD, 200, &[("content-length", "4")], Ok(Framing::Empty));
    check(Method::POST, 204, &[], Ok(Framing::Empty));
    check(Method::POST, 304, &[("content-length", "4")], Ok(Framing::Empty));
}

/// Guards against answers without a meaning that are passed on.
#[test]
fn statuses_and_codings_without_a_meaning_are_unusable() {
    for status in [100, 101, 103, 199, 600, 999] {
        check(Method::GET, status, &[("content-length", "4")], Err(Unusable));
    }
    for coding in ["gzip", "gzip, chunked", "identity", "chunked, chunked", ""] {
        check(Method::GET, 200, &[("transfer-encoding", coding)], Err(Unusable));
    }
    check(Method::GET, 200, &[("content-length", "x")], Err(Unusable));
}

/// Guards against a body without a declared length whose connection was reset.
#[test]
fn a_body_until_the_end_needs_an_end_in_order() {
    assert!(Framing::Close.is_complete(4, true));
    assert!(!Framing::Close.is_complete(4, false));
    assert!(!Framing::Length(4).is_complete(3, true));
    assert!(!Framing::Empty.is_complete(1, true));
}
