//! Routes and traffic splits of a snapshot, compiled for lookup.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::ids::Generation;
use crate::ids::MoveName;
use crate::ids::ServiceName;
use crate::ids::VersionName;
use crate::record::MoveRecord;
use crate::record::RouteClass;
use crate::record::RouteRecord;
use crate::record::TrafficShare;
use crate::record::VersionRecord;
use crate::snapshot::ConfigSnapshot;
use crate::snapshot::SnapshotError;

/// Share of a service's traffic that one version gets now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionSplit {
    /// The version.
    pub version: VersionName,
    /// Its share.
    pub share: TrafficShare,
    /// Name of the unfinished move to this version, if there is one.
    pub move_name: Option<MoveName>,
}

/// Routes and traffic splits of a snapshot, for lookup by path and service.
#[derive(Debug, Default)]
pub struct RouteTable {
    generation: Generation,
    routes: HashMap<Box<str>, RouteRecord>,
    services: BTreeMap<ServiceName, ServiceSplit>,
}

/// Traffic split of one service. During a move, `from` is the version it moves away from.
#[derive(Debug, Default)]
struct ServiceSplit {
    splits: Vec<VersionSplit>,
    from: Option<VersionName>,
}

impl RouteTable {
    /// Compiles a snapshot.
    ///
    /// # Errors
    /// [`SnapshotError::Inconsistent`] if a reference does not resolve.
    pub fn compile(snapshot: &ConfigSnapshot) -> Result<RouteTable, SnapshotError> {
        snapshot.validate().map_err(SnapshotError::Inconsistent)?;
        let mut table = RouteTable {
            generation: snapshot.generation,
            ..RouteTable::default()
        };
        for route in snapshot.routes.values() {
            table
                .routes
                .insert(route.trimmed_prefix().into(), route.clone());
        }
        for version in snapshot.versions.values() {
            let current = snapshot.active_move(&version.service);
            let service = table.services.entry(version.service.clone()).or_default();
            service.add(version, current);
        }
        Ok(table)
    }

    /// Returns the generation of the snapshot.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the route whose prefix matches the most whole path segments. The query is ignored.
    #[must_use]
    pub fn find(&self, path: &str) -> Option<&RouteRecord> {
        let end = path.find(['?', '#']).unwrap_or(path.len());
        let mut prefix = path[..end].trim_end_matches('/');
        loop {
            if let Some(route) = self.routes.get(prefix) {
                return Some(route);
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
    }

    /// Returns the versions of a service with their shares. The target version of a move is first.
    #[must_use]
    pub fn splits(&self, service: &str) -> &[VersionSplit] {
        self.services
            .get(service)
            .map_or(&[], |split| &split.splits)
    }

    /// Returns the version that takes the calls of `version` if it has no endpoint: the version moved
    /// away from, while a move to `version` is unfinished.
    #[must_use]
    pub fn fallback(&self, service: &str, version: &str) -> Option<&VersionName> {
        let service = self.services.get(service)?;
        let split = service
            .splits
            .iter()
            .find(|split| &*split.version == version)?;
        split.move_name.as_ref()?;
        service.from.as_ref()
    }

    /// Returns the services that have versions, ordered by name.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Returns the version for a call; `point` is a uniformly random number from 0 to 99.
    ///
    /// A condemned version gets no calls. Its share goes to the version that the move started from,
    /// or without a move to the other versions in proportion. Returns `None` if no version with a
    /// share is left.
    pub fn pick(
        &self,
        service: &str,
        class: RouteClass,
        condemned: impl Fn(&VersionSplit) -> bool,
        point: u8,
    ) -> Option<&VersionName> {
        let service = self.services.get(service)?;
        let mut shares: Vec<(&VersionName, u32)> = Vec::new();
        let mut reassigned = 0;
        for split in &service.splits {
            let percent = u32::from(split.share.of(class));
            if !condemned(split) {
                shares.push((&split.version, percent));
            } else if split.move_name.is_some() {
                reassigned += percent;
            }
        }
        for (version, percent) in &mut shares {
            if Some(*version) == service.from.as_ref() {
                *percent += reassigned;
            }
        }
        let total: u32 = shares.iter().map(|(_, percent)| percent).sum();
        let mut rest = u32::from(point.min(99)) * total / 100;
        for (version, percent) in shares {
            if rest < percent {
                return Some(version);
            }
            rest -= percent;
        }
        None
    }
}

impl ServiceSplit {
    fn add(&mut self, record: &VersionRecord, current: Option<&MoveRecord>) {
        let version = record.version.clone();
        let Some(current) = current else {
            self.splits.push(VersionSplit {
                version,
                share: record.share,
                move_name: None,
            });
            return;
        };
        if version == current.to {
            let move_name = Some(current.name.clone());
            self.splits.insert(
                0,
                VersionSplit {
                    version,
                    share: current.share,
                    move_name,
                },
            );
        } else if version == current.from {
            let share = TrafficShare {
                checks: 100 - current.share.checks,
                bookings: 100 - current.share.bookings,
            };
            self.from = Some(version.clone());
            self.splits.push(VersionSplit {
                version,
                share,
                move_name: None,
            });
        } else {
            let share = TrafficShare::NONE;
            self.splits.push(VersionSplit {
                version,
                share,
                move_name: None,
            });
        }
    }
}
