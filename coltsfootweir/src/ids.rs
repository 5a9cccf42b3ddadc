//! Aliases for the identifiers that records, members and messages carry.

/// Name of a service, such as `stalls`.
pub type ServiceName = Box<str>;

/// Name of one version of a service, unique within the service.
pub type VersionName = Box<str>;

/// Name of a route record.
pub type RouteName = Box<str>;

/// Name of a move record.
pub type MoveName = Box<str>;

/// Name of a region.
pub type RegionName = Box<str>;

/// Name of an availability zone.
pub type ZoneName = Box<str>;

/// Identity of a daemon: its control address as `ip:port`, the same over restarts.
pub type MemberId = Box<str>;

/// Number of one run of a daemon; a later run of the same daemon has a higher one.
pub type Incarnation = u64;

/// Number of an accepted configuration; each acceptance adds one.
pub type Generation = u64;

/// Version of a table row, as the platform counts it.
pub type RowVersion = u64;

/// Identity of a write, by which a write whose answer was lost is settled.
pub type WriteId = Box<str>;

/// SHA-256 digest in lower-case hex.
pub type Digest = Box<str>;

/// Hash of a request's method, path and body.
pub type Fingerprint = u64;

/// Position of a member among those that sent evidence.
pub type MemberIndex = u32;

/// Position of a route among those that have evidence.
pub type RouteIndex = u32;
