//! Virtual times of the ranks and finish tags of the teams.
//!
//! A team's tag counts the requests that have started. A request that is displaced or expires while it
//! waits thus costs its team nothing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use super::TeamHash;
use super::tag_pace::TagPace;

/// Maximum number of teams with tags, over all ranks. Several times the teams that send to one endpoint
/// within seconds in the largest known deployment (71); about 200 KB.
pub const MAX_TEAMS: usize = 1_024;

/// Maximum time by which the measured end of a run moves a finish tag beyond the virtual time. Runs
/// end with the time limit of their route, at most 4 s in the known deployments; a run that hung must
/// not cost its team more than that.
pub const MAX_LEAD: Duration = Duration::from_secs(4);

/// Slot time that a running request of a team was charged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TeamCharge {
    rank: u8,
    team: TeamHash,
    run: Duration,
}

impl TeamCharge {
    /// Returns the rank of the request.
    #[must_use]
    pub fn rank(&self) -> u8 {
        self.rank
    }

    /// Returns the team of the request.
    #[must_use]
    pub fn team(&self) -> TeamHash {
        self.team
    }
}

type TeamKey = (u8, TeamHash);

#[derive(Clone, Copy, Debug, Default)]
struct TeamTag {
    /// Finish tag of the request that was started last.
    finish: Duration,
    /// Virtual time when the team's requests began to wait. Corrections lower the finish tag as far as
    /// this, also below the present virtual time: the team was charged too much before.
    wait_began: Duration,
    running: u32,
    waiting: u32,
    /// Sum of the expected run times of the waiting requests.
    work: Duration,
}

impl TeamTag {
    fn is_active(&self) -> bool {
        self.running > 0 || self.waiting > 0
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct RankClock {
    /// Start tag of the request that was started last.
    virtual_time: Duration,
    /// Latest finish tag of the rank so far.
    latest_finish: Duration,
    /// Number of teams with waiting or running requests.
    active: u32,
    waiting: u32,
    pace: TagPace,
}

/// Tags of the teams of all ranks.
#[derive(Clone, Debug, Default)]
pub struct TeamTags {
    teams: HashMap<TeamKey, TeamTag>,
    clocks: BTreeMap<u8, RankClock>,
    /// Teams without waiting or running requests, by finish tag.
    idle: BTreeSet<(u8, Duration, TeamHash)>,
    /// Teams with waiting requests, by the work and the number of these.
    waiting: BTreeSet<(u8, Duration, u32, TeamHash)>,
}

impl TeamTags {
    /// Returns the number of teams with tags; a team counts for each rank.
    #[must_use]
    pub fn len(&self) -> usize {
        self.teams.len()
    }

    /// Returns whether no team has a tag.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Returns the start tag of a team's next request.
    #[must_use]
    pub fn start_tag(&self, rank: u8, team: TeamHash) -> Duration {
        match self.teams.get(&(rank, team)) {
            Some(tag) if tag.waiting > 0 => tag.finish,
            Some(tag) => tag.finish.max(self.virtual_time(rank)),
            None => self.virtual_time(rank),
        }
    }

    /// Returns the virtual time of a rank.
    #[must_use]
    pub fn virtual_time(&self, rank: u8) -> Duration {
        let clock = self.clocks.get(&rank);
        clock.map_or(Duration::ZERO, |clock| clock.virtual_time)
    }

    /// Returns the number of waiting requests of a team and the sum of their expected run times.
    #[must_use]
    pub fn waiting_work(&self, rank: u8, team: TeamHash) -> (u32, Duration) {
        let tag = self.teams.get(&(rank, team));
        tag.map_or((0, Duration::ZERO), |tag| (tag.waiting, tag.work))
    }

    /// Returns the team of a rank with the most waiting work, and its number of requests and work.
    #[must_use]
    pub fn most_waiting(&self, rank: u8) -> Option<(TeamHash, u32, Duration)> {
        let first = (rank, Duration::ZERO, 0, 0);
        let last = (rank, Duration::MAX, u32::MAX, TeamHash::MAX);
        let (_, work, count, team) = self.waiting.range(first..=last).next_back()?;
        Some((*team, *count, *work))
    }

    /// Returns the time after which the virtual time of a rank reaches `start`, at the measured pace.
    /// Teams that wait share the slots equally, so the pace is at least a team's share of them.
    #[must_use]
    pub fn pace_wait(&self, rank: u8, start: Duration, slots: u16) -> Duration {
        let Some(clock) = self.clocks.get(&rank).filter(|clock| clock.waiting > 0) else {
            return Duration::ZERO;
        };
        let Some(measured) = clock.pace.rate() else {
            return Duration::ZERO;
        };
        let share = f64::from(slots.max(1)) / f64::from(clock.active.max(1));
        let lead = start.saturating_sub(clock.virtual_time);
        lead.div_f64(measured.max(share))
    }

    /// Counts a request that waits.
    pub fn add_waiting(&mut self, rank: u8, team: TeamHash, run: Duration) {
        let virtual_time = self.virtual_time(rank);
        self.change((rank, team), |tag| {
            if tag.waiting == 0 {
                tag.wait_began = virtual_time;
                tag.finish = tag.finish.max(virtual_time);
            }
            tag.waiting += 1;
            tag.work += run;
        });
    }

    /// Counts a request that no longer waits.
    pub fn remove_waiting(&mut self, rank: u8, team: TeamHash, run: Duration) {
        self.change((rank, team), |tag| {
            tag.waiting = tag.waiting.saturating_sub(1);
            tag.work = tag.work.saturating_sub(run);
        });
    }

    /// Advances the tags for a request that starts without having waited. Capacity is not scarce then,
    /// so past use of the rank's teams is forgotten.
    pub fn start_at_once(&mut self, rank: u8, team: TeamHash, run: Duration) -> TeamCharge {
        let clock = self.clocks.entry(rank).or_default();
        clock.virtual_time = clock.virtual_time.max(clock.latest_finish);
        self.start(rank, team, run)
    }

    /// Advances the tags for a request that starts after it has waited. Call
    /// [`TeamTags::remove_waiting`] afterwards.
    pub fn start_waiting(
        &mut self,
        rank: u8,
        team: TeamHash,
        run: Duration,
        now: Duration,
    ) -> TeamCharge {
        let before = self.virtual_time(rank);
        let charge = self.start(rank, team, run);
        let advance = self.virtual_time(rank).saturating_sub(before);
        let clock = self.clocks.entry(rank).or_default();
        clock.pace.record(advance, now);
        charge
    }

    fn start(&mut self, rank: u8, team: TeamHash, run: Duration) -> TeamCharge {
        let start = self.start_tag(rank, team);
        let clock = self.clocks.entry(rank).or_default();
        clock.virtual_time = clock.virtual_time.max(start);
        self.change((rank, team), |tag| {
            tag.finish = start + run;
            tag.running += 1;
        });
        self.forget_passed(rank);
        TeamCharge { rank, team, run }
    }

    /// Corrects the finish tag of a team whose request held its slot for `run`.
    pub fn end(&mut self, charge: TeamCharge, run: Duration) {
        let most = self.virtual_time(charge.rank) + MAX_LEAD;
        self.change((charge.rank, charge.team), |tag| {
            let measured = (tag.finish + run).saturating_sub(charge.run);
            tag.finish = measured.min(tag.finish.max(most));
            if tag.waiting > 0 {
                tag.finish = tag.finish.max(tag.wait_began);
            }
            tag.running = tag.running.saturating_sub(1);
        });
    }

    /// Changes the tag of a team. A team that has neither requests nor used more than others is
    /// forgotten.
    fn change(&mut self, key: TeamKey, change: impl FnOnce(&mut TeamTag)) {
        let (rank, team) = key;
        let before = self.teams.get(&key).copied().unwrap_or_default();
        self.idle.remove(&(rank, before.finish, team));
        let listed = (rank, before.work, before.waiting, team);
        self.waiting.remove(&listed);
        let mut tag = before;
        change(&mut tag);
        let clock = self.clocks.entry(rank).or_default();
        clock.latest_finish = clock.latest_finish.max(tag.finish);
        clock.active += u32::from(tag.is_active());
        clock.active -= u32::from(before.is_active());
        clock.waiting += tag.waiting;
        clock.waiting -= before.waiting;
        if clock.waiting == 0 {
            clock.pace.pause();
        }
        if tag.waiting > 0 {
            let listed = (rank, tag.work, tag.waiting, team);
            self.waiting.insert(listed);
        }
        if tag.is_active() {
            self.teams.insert(key, tag);
            self.limit_teams();
            return;
        }
        if tag.finish <= clock.virtual_time {
            self.teams.remove(&key);
            return;
        }
        self.teams.insert(key, tag);
        self.idle.insert((rank, tag.finish, team));
    }

    /// Forgets the teams without requests whose finish tag the virtual time has passed.
    fn forget_passed(&mut self, rank: u8) {
        let passed = self.virtual_time(rank);
        let first = (rank, Duration::ZERO, 0);
        let last = (rank, passed, TeamHash::MAX);
        while let Some(entry) = self.idle.range(first..=last).next().copied() {
            self.idle.remove(&entry);
            self.teams.remove(&(rank, entry.2));
        }
    }

    /// Forgets teams beyond [`MAX_TEAMS`], first the one that is least ahead of the virtual time of its
    /// rank. Teams with requests here are kept: slots and queue limit their number.
    fn limit_teams(&mut self) {
        while self.teams.len() > MAX_TEAMS {
            let ranks = self.clocks.iter();
            let firsts = ranks.filter_map(|(rank, clock)| {
                let first = (*rank, Duration::ZERO, 0);
                let last = (*rank, Duration::MAX, TeamHash::MAX);
                let entry = self.idle.range(first..=last).next().copied()?;
                Some((entry.1.saturating_sub(clock.virtual_time), entry))
            });
            let Some((_, evicted)) = firsts.min() else {
                return;
            };
            self.idle.remove(&evicted);
            self.teams.remove(&(evicted.0, evicted.2));
        }
    }
}
