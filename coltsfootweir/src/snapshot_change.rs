//! Changes to a snapshot: records added or removed by an operator, and move steps.

use crate::record::ConfigRecord;
use crate::record::MovePhase;
use crate::record::MoveRecord;
use crate::record::TrafficShare;
use crate::record_fault::RecordFault;
use crate::snapshot::ConfigSnapshot;

/// Number of ended moves carried over to the next generation, so that the configuration does not
/// grow with its age.
pub const ENDED_MOVES_KEPT: usize = 64;

impl ConfigSnapshot {
    /// Returns the next generation with the records added or, if the name exists, replaced.
    ///
    /// Only `done_by` of an active move may change. Its phase, share and reason are kept.
    ///
    /// # Errors
    /// Every fault: a fixed field of an active move changed, the name of an ended move reused, or
    /// inconsistent records (see [`ConfigSnapshot::validate`]).
    pub fn with_records(
        &self,
        records: impl IntoIterator<Item = ConfigRecord>,
    ) -> Result<ConfigSnapshot, Vec<RecordFault>> {
        let mut next = self.next_generation();
        let mut faults = Vec::new();
        for record in records {
            match record {
                ConfigRecord::Route(route) => {
                    next.routes.insert(route.name.clone(), route);
                }
                ConfigRecord::Version(version) => {
                    next.versions.insert(version.key(), version);
                }
                ConfigRecord::Move(record) => match self.merge_operator_move(record) {
                    Ok(record) => {
                        next.moves.insert(record.name.clone(), record);
                    }
                    Err(fault) => faults.push(fault),
                },
            }
        }
        next.validated_with(faults)
    }

    /// Returns the next generation without the records with the given labels, such as
    /// `route/stalls`, `upstream-version/stalls/v1` or `move/to-v2`.
    ///
    /// # Errors
    /// Every fault: an unknown label, an active move, or inconsistent records.
    pub fn without_records(&self, labels: &[Box<str>]) -> Result<ConfigSnapshot, Vec<RecordFault>> {
        let mut next = self.next_generation();
        let mut faults = Vec::new();
        for label in labels {
            if let Err(reason) = next.remove_record(label) {
                faults.push(RecordFault::new(label.clone(), "name", reason));
            }
        }
        next.validated_with(faults)
    }

    /// Validates the snapshot and returns it, or `faults` together with those found.
    fn validated_with(
        self,
        mut faults: Vec<RecordFault>,
    ) -> Result<ConfigSnapshot, Vec<RecordFault>> {
        if let Err(found) = self.validate() {
            faults.extend(found);
        }
        if faults.is_empty() {
            Ok(self)
        } else {
            Err(faults)
        }
    }

    fn remove_record(&mut self, label: &str) -> Result<(), &'static str> {
        let (kind, name) = label.split_once('/').unwrap_or((label, ""));
        let removed = match kind {
            "route" => self.routes.remove(name).is_some(),
            "upstream-version" => self.versions.remove(name).is_some(),
            "move" => match self.moves.get(name) {
                Some(record) if !record.phase.is_ended() => return Err("the move is under way"),
                _ => self.moves.remove(name).is_some(),
            },
            _ => return Err("no such kind; known are route, upstream-version and move"),
        };
        if removed {
            Ok(())
        } else {
            Err("no such record")
        }
    }

    /// Returns the next generation with a move set to a phase.
    ///
    /// [`MovePhase::Done`] sets the standing share of the new version to all of the traffic,
    /// [`MovePhase::TakenBack`] that of the old version. `share` is used only in the other phases.
    ///
    /// # Errors
    /// A fault if the move is unknown or has ended, or the faults of inconsistent records.
    pub fn with_move_step(
        &self,
        name: &str,
        phase: MovePhase,
        share: TrafficShare,
        reason: &str,
    ) -> Result<ConfigSnapshot, Vec<RecordFault>> {
        let label = format!("move/{name}");
        let mut next = self.next_generation();
        let Some(record) = next.moves.get_mut(name) else {
            return Err(vec![RecordFault::new(label, "name", "no such move")]);
        };
        if record.phase.is_ended() {
            return Err(vec![RecordFault::new(label, "phase", "the move has ended")]);
        }
        record.phase = phase;
        record.reason = reason.into();
        record.share = match phase {
            MovePhase::Done => TrafficShare::ALL,
            MovePhase::TakenBack => TrafficShare::NONE,
            MovePhase::Waiting | MovePhase::Climbing | MovePhase::Settling => share,
        };
        let record = record.clone();
        next.set_standing_shares(&record);
        next.validate()?;
        Ok(next)
    }

    fn next_generation(&self) -> ConfigSnapshot {
        let mut next = self.clone();
        next.generation += 1;
        next.drop_old_moves();
        next
    }

    /// Removes the ended moves in excess of [`ENDED_MOVES_KEPT`], the earliest `done_by` first.
    fn drop_old_moves(&mut self) {
        let mut ended = Vec::new();
        for record in self.moves.values().filter(|record| record.phase.is_ended()) {
            ended.push((record.done_by, record.name.clone()));
        }
        ended.sort_unstable();
        let surplus = ended.len().saturating_sub(ENDED_MOVES_KEPT);
        for (_, name) in ended.into_iter().take(surplus) {
            self.moves.remove(&name);
        }
    }

    /// Returns an operator's move record with the phase, share and reason of the current move of that
    /// name, or with the initial ones if there is none.
    fn merge_operator_move(&self, record: MoveRecord) -> Result<MoveRecord, RecordFault> {
        let Some(current) = self.moves.get(&record.name) else {
            let phase = MovePhase::Waiting;
            return Ok(MoveRecord {
                phase,
                share: TrafficShare::NONE,
                reason: "".into(),
                ..record
            });
        };
        if current.phase.is_ended() {
            let reason = "the move of this name has ended; use a new name";
            return Err(RecordFault::new(record.label(), "name", reason));
        }
        let fields = [
            ("service", &current.service, &record.service),
            ("from", &current.from, &record.from),
            ("to", &current.to, &record.to),
        ];
        for (field, old, new) in fields {
            if old != new {
                let reason = format!("the move is under way with {old:?}; only done_by may change");
                return Err(RecordFault::new(record.label(), field, reason));
            }
        }
        Ok(MoveRecord {
            done_by: record.done_by,
            ..current.clone()
        })
    }

    /// Assigns all standing traffic to the version that serves after an ended move.
    fn set_standing_shares(&mut self, record: &MoveRecord) {
        let serving = match record.phase {
            MovePhase::Done => &record.to,
            MovePhase::TakenBack => &record.from,
            MovePhase::Waiting | MovePhase::Climbing | MovePhase::Settling => return,
        };
        for version in self.versions.values_mut() {
            if version.service != record.service {
                continue;
            }
            let serves = version.version == *serving;
            version.share = if serves {
                TrafficShare::ALL
            } else {
                TrafficShare::NONE
            };
        }
    }
}
