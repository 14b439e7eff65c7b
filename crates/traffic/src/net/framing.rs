//! How an answer's end is told, and whether a received body has reached it.

use hyper::{
    Method, StatusCode,
    header::{self, HeaderMap},
    http::response::Parts,
};

/// How the end of an answer's body is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    /// It has no body.
    Empty,
    /// By its length in bytes.
    Length(usize),
    /// By its last chunk, which `hyper` checks.
    Chunked,
    /// By the end of the connection.
    Close,
}

/// An answer that the protocol gives no meaning: its status is not final, or the end of its body is ambiguous.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Unusable;

impl Framing {
    /// Returns the framing of an answer to a request with `method`.
    pub(crate) fn of(method: &Method, answer: &Parts) -> Result<Self, Unusable> {
        if !(200..600).contains(&answer.status.as_u16()) {
            return Err(Unusable);
        }
        let framing = of_headers(&answer.headers)?;
        let has_no_body = *method == Method::HEAD
            || matches!(answer.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        Ok(if has_no_body { Framing::Empty } else { framing })
    }

    /// Returns whether a body of `bytes` bytes is complete; `is_closed` tells whether the connection has ended
    /// in order.
    pub(crate) fn is_complete(self, bytes: usize, is_closed: bool) -> bool {
        match self {
            Framing::Empty => bytes == 0,
            Framing::Length(length) => bytes == length,
            Framing::Chunked => true,
            Framing::Close => is_closed,
        }
    }
}

fn of_headers(headers: &HeaderMap) -> Result<Framing, Unusable> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => {}
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            return Ok(Framing::Chunked);
        }
        // The body would be passed on without its coding.
        _ => return Err(Unusable),
    }
    match headers.get(header::CONTENT_LENGTH) {
        Some(length) => {
            let length = length.to_str().ok().and_then(|text| text.parse().ok());
            length.map(Framing::Length).ok_or(Unusable)
        }
        None => Ok(Framing::Close),
    }
}

#[cfg(test)]
mod tests;
