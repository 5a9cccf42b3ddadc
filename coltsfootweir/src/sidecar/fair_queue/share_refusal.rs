//! Why the guard refused a request of a team for lack of capacity.

/// Reason of a refusal, as counted in `team_share_refused`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShareRefusal {
    /// The request would be in time if its team had used no more than the others.
    OverShare,
    /// There is no capacity for it in time, whatever its team has used.
    NoCapacity,
    /// The queue is full, and no other team has more waiting work.
    QueueFull,
    /// Another request took its place in the full queue.
    Displaced,
    /// It waited until it could no longer end in time.
    Expired,
}

impl ShareRefusal {
    /// All reasons.
    pub const ALL: [ShareRefusal; 5] = [
        ShareRefusal::OverShare,
        ShareRefusal::NoCapacity,
        ShareRefusal::QueueFull,
        ShareRefusal::Displaced,
        ShareRefusal::Expired,
    ];

    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            ShareRefusal::OverShare => "over_share",
            ShareRefusal::NoCapacity => "no_capacity",
            ShareRefusal::QueueFull => "queue_full",
            ShareRefusal::Displaced => "displaced",
            ShareRefusal::Expired => "expired",
        }
    }
}
