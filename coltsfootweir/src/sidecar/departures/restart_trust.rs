//! Whether an endpoint that announces itself to a daemon that was started again may be used.
//!
//! An earlier run may have acknowledged a departure that neither the store nor another daemon keeps: all
//! daemons may have been killed while the store was out of reach. An announcement from before that
//! departure may still arrive. What remains as evidence are the announcements themselves. One at an
//! address that only this run has named comes from an endpoint that has heard from this run. Without
//! such an address, late ones come to an end, as an endpoint that has departed sends none.

use std::time::Duration;

use crate::sidecar::announcement::StartMillis;

/// Time after which no announcement from before a departure arrives any more.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(5);

/// Time for which a doubt of an earlier run matters: the longest for which an endpoint serves after its
/// departure.
const DOUBT_TIME: Duration = Duration::from_secs(60);

/// Time before the start of this run in which no departure can have been acknowledged without the
/// store: an earlier run would still have waited for the store.
const BIRTH_MARGIN: Duration = Duration::from_millis(500);

/// Number of announcement intervals after the start in which each endpoint that lives has announced
/// itself.
const PROMPT_INTERVALS: u32 = 2;

/// Share of the time after its start in which a daemon does not count as in touch for which a lifetime
/// may be used on trial, in eighths. The rest is for requests on their way.
const TRIAL_EIGHTHS: u32 = 7;

/// Number of announcement intervals without an announcement that interrupt a series.
const SERIES_GAP_INTERVALS: u32 = 3;

/// Returns the time after which a lifetime on trial counts as silent. An endpoint that lives has announced
/// itself by then at the address that it was told.
#[must_use]
pub fn trial_silence(interval: Duration) -> Duration {
    interval * 3 / 2
}

/// What a daemon knows of the departures that its earlier runs acknowledged.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum DepartureNews {
    /// Nothing, or a row in the store that may lack some: the store was out of reach at the start.
    Awaited,
    /// The row in the store, which was in reach at the start.
    Stored,
    /// All of them: there is no earlier run, or a daemon that the earlier run kept informed has reported.
    #[default]
    Complete,
}

/// Announcements of one lifetime. Times are since the start of the daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnnouncementSeries {
    since: Duration,
    last: Duration,
    /// Whether one of them arrived at an address that only this run of the daemon has named.
    is_confirmed: bool,
}

impl AnnouncementSeries {
    /// Starts a series with an announcement received at `now`.
    #[must_use]
    pub fn new(now: Duration) -> AnnouncementSeries {
        AnnouncementSeries {
            since: now,
            last: now,
            is_confirmed: false,
        }
    }

    /// Adds an announcement. After a pause of several of the intervals at which endpoints announce
    /// themselves, a new series starts.
    pub fn add(&mut self, now: Duration, interval: Duration) {
        if now > self.last + interval * SERIES_GAP_INTERVALS {
            self.since = now;
        }
        self.last = now;
    }

    /// Records that the endpoint has heard from this run of the daemon.
    pub fn confirm(&mut self) {
        self.is_confirmed = true;
    }

    /// Returns when the last announcement was received.
    #[must_use]
    pub fn last(&self) -> Duration {
        self.last
    }

    fn span(&self) -> Duration {
        self.last.saturating_sub(self.since)
    }
}

/// How well it is known that a lifetime did not depart before this run of the daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LifetimeProof {
    /// It is certain.
    Certain,
    /// It may be used on trial: while its announcements go on, and until the daemon is in touch.
    Likely,
    /// It must not be used.
    Missing,
}

/// Decides which lifetimes a daemon that was started again may use.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestartTrust {
    news: DepartureNews,
    started_at: StartMillis,
    interval: Duration,
    /// Time since the start of the daemon until which a lifetime may be used on trial.
    trial: Duration,
    /// Lifetimes that started before this time may have departed, whatever the store and other daemons
    /// keep. In milliseconds since the Unix epoch; 0 if there is no such doubt.
    doubted_before: StartMillis,
}

impl RestartTrust {
    /// Creates the trust of a daemon that was started again at `started_at`, in milliseconds since the
    /// Unix epoch. Endpoints announce themselves at `interval`. For `stability` after its start the daemon
    /// does not count as in touch.
    #[must_use]
    pub fn new(started_at: StartMillis, interval: Duration, stability: Duration) -> RestartTrust {
        RestartTrust {
            news: DepartureNews::Awaited,
            started_at,
            interval,
            trial: stability * TRIAL_EIGHTHS / 8,
            doubted_before: 0,
        }
    }

    /// Returns when this run started, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn started_at(&self) -> StartMillis {
        self.started_at
    }

    /// Adds that a run which started at `started_at` found neither the store nor an informed daemon, and
    /// said so at `doubted_at`; both in milliseconds since the Unix epoch.
    pub fn doubt(&mut self, started_at: StartMillis, doubted_at: StartMillis) {
        let until = doubted_at.saturating_add(DOUBT_TIME.as_millis() as StartMillis);
        if self.started_at <= until {
            self.doubted_before = self.doubted_before.max(started_at);
        }
    }

    /// Adds what has become known; lesser news than before changes nothing.
    pub fn learn(&mut self, news: DepartureNews) {
        self.news = self.news.max(news);
    }

    /// Returns whether all departures of earlier runs are known. The row in the store alone does not tell:
    /// a departure may have been acknowledged while the store was away, before it came back.
    #[must_use]
    pub fn is_informed(&self) -> bool {
        self.news == DepartureNews::Complete
    }

    /// Returns the time since the start of the daemon until which a lifetime may be used on trial.
    #[must_use]
    pub fn trial(&self) -> Duration {
        self.trial
    }

    /// Returns the interval at which endpoints announce themselves.
    #[must_use]
    pub fn interval(&self) -> Duration {
        self.interval
    }

    /// Returns how well it is known that the lifetime `born` did not depart before this run.
    #[must_use]
    pub fn proof(&self, born: StartMillis, series: &AnnouncementSeries) -> LifetimeProof {
        let margin = BIRTH_MARGIN.as_millis() as StartMillis;
        let is_newer = born.saturating_add(margin) >= self.started_at;
        let goes_on = series.span() >= MAX_ANNOUNCEMENT_DELAY;
        let is_doubted = born.saturating_add(margin) < self.doubted_before;
        let is_known = self.news == DepartureNews::Complete && !is_doubted;
        if is_known || is_newer || goes_on || series.is_confirmed {
            return LifetimeProof::Certain;
        }
        if is_doubted {
            return LifetimeProof::Missing;
        }
        // An announcement that comes later than those of endpoints that live may be a late one.
        let is_prompt = series.since <= self.interval * PROMPT_INTERVALS;
        let is_on_trial = series.last <= self.trial && series.span() < trial_silence(self.interval);
        match self.news == DepartureNews::Stored && is_prompt && is_on_trial {
            true => LifetimeProof::Likely,
            false => LifetimeProof::Missing,
        }
    }
}
