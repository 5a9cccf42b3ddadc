//! Deployments as presets: regions, availability zones and services.

use clap::ValueEnum;

/// A service of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSize {
    /// Name of the service.
    pub name: &'static str,
    /// Endpoints of the service.
    pub endpoints: usize,
}

/// Where a daemon stands.
#[derive(Clone, Copy, Debug)]
pub struct DaemonPlace {
    /// Region.
    pub region: &'static str,
    /// Availability zone.
    pub zone: &'static str,
}

/// A deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum DeploymentPreset {
    /// Coöperatie Trekpaardstalling Waterland
    Waterland,
    /// Hanbit Petanque Grounds Trust
    Hanbit,
}

const WATERLAND_PLACES: [DaemonPlace; 4] = [
    place("noord-holland", "zaandam"),
    place("zuid-holland", "gouda"),
    place("noord-holland", "purmerend"),
    place("zuid-holland", "delft"),
];

const HANBIT_PLACES: [DaemonPlace; 4] = [
    place("sudogwon", "suwon-a"),
    place("yeongnam", "busan-a"),
    place("sudogwon", "incheon-b"),
    place("yeongnam", "daegu-b"),
];

/// Two regions of three availability zones.
pub const FULL_SIZE_PLACES: [DaemonPlace; 6] = [
    place("north", "north-a"),
    place("south", "south-a"),
    place("north", "north-b"),
    place("south", "south-b"),
    place("north", "north-c"),
    place("south", "south-c"),
];

const fn place(region: &'static str, zone: &'static str) -> DaemonPlace {
    DaemonPlace { region, zone }
}

impl DeploymentPreset {
    /// Places in the order in which daemons fill them; the store stands in the first one's region.
    #[must_use]
    pub fn places(self) -> &'static [DaemonPlace] {
        match self {
            DeploymentPreset::Waterland => &WATERLAND_PLACES,
            DeploymentPreset::Hanbit => &HANBIT_PLACES,
        }
    }

    /// The service that moves and the one that does not.
    #[must_use]
    pub fn services(self) -> [ServiceSize; 2] {
        match self {
            DeploymentPreset::Waterland => [service("stalls", 6), service("register", 4)],
            DeploymentPreset::Hanbit => [service("bookings", 6), service("crew", 5)],
        }
    }

    /// Connections an endpoint takes.
    #[must_use]
    pub fn connection_limit(self) -> u32 {
        match self {
            DeploymentPreset::Waterland => 120,
            DeploymentPreset::Hanbit => 130,
        }
    }
}

const fn service(name: &'static str, endpoints: usize) -> ServiceSize {
    ServiceSize { name, endpoints }
}
