//! Decides in which regions a request may run.

use crate::ids::RegionName;

/// Regions in which a request may run. It refers to the lists of the route and of the team, so that
/// a request costs no allocation.
#[derive(Clone, Copy, Debug)]
pub struct RegionFilter<'a> {
    route: &'a [RegionName],
    team: &'a [RegionName],
}

impl<'a> RegionFilter<'a> {
    /// Combines the lists of a route and of a team. An empty list allows all regions.
    #[must_use]
    pub fn new(route: &'a [RegionName], team: &'a [RegionName]) -> RegionFilter<'a> {
        RegionFilter { route, team }
    }

    /// Returns whether a request may run in a region.
    #[must_use]
    pub fn allows(&self, region: &str) -> bool {
        let is_in =
            |list: &[RegionName]| list.is_empty() || list.iter().any(|name| **name == *region);
        is_in(self.route) && is_in(self.team)
    }

    /// Returns whether any region may be excluded.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        !self.route.is_empty() || !self.team.is_empty()
    }

    /// Returns whether no region is allowed, whatever the deployment's regions are.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        let mut common = self.route.iter().filter(|region| self.allows(region));
        !self.route.is_empty() && common.next().is_none()
    }
}
