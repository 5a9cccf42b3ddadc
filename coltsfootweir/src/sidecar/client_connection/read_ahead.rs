//! Which requests of a connection may run beside earlier ones that have no answer yet.

/// Maximum number of requests of a connection without an answer.
pub const MAX_OUTSTANDING: usize = 16;

/// Bytes of answers that wait for earlier ones from which on no further request is started.
pub const MAX_HELD_BYTES: usize = 256 * 1024;

/// What decides whether a request may run beside others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestTraits {
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Whether the request has a body.
    pub has_body: bool,
}

impl RequestTraits {
    /// Returns whether the request may run beside others of its connection. If the connection breaks,
    /// the client can't tell which of them ran, so all of them must be repeatable.
    fn is_shareable(self) -> bool {
        self.is_repeatable && !self.has_body
    }
}

/// Returns whether a request may start while those in `outstanding` have no complete answer and
/// `held` bytes of answers wait for earlier ones.
#[must_use]
pub fn may_start(
    outstanding: impl ExactSizeIterator<Item = RequestTraits>,
    held: usize,
    next: RequestTraits,
) -> bool {
    let count = outstanding.len();
    if count == 0 {
        return true;
    }
    let mut outstanding = outstanding;
    count < MAX_OUTSTANDING
        && held < MAX_HELD_BYTES
        && next.is_shareable()
        && outstanding.all(RequestTraits::is_shareable)
}
