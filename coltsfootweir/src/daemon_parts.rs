//! What a daemon meets at its borders: the platform, other daemons, time.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::DaemonClock;
use crate::clock::SystemClock;
use crate::dialer::DirectDialer;
use crate::dialer::PeerDialer;
use crate::http_platform::ByteCounter;
use crate::http_platform::HttpPlatform;
use crate::link::LinkCause;
use crate::link::LinkMeter;
use crate::platform::PlatformStore;
use crate::settings::DaemonSettings;

/// Time a platform operation may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);

/// What a daemon meets at its borders.
pub struct DaemonParts {
    /// The platform.
    pub platform: Arc<dyn PlatformStore>,
    /// Connections to other daemons.
    pub dialer: Arc<dyn PeerDialer>,
    /// Source of time.
    pub clock: Arc<dyn DaemonClock>,
    /// Bytes by cause, counted by the daemon and by the platform's client.
    pub meter: Arc<LinkMeter>,
}

impl DaemonParts {
    /// The parts of a daemon in production: the platform over HTTP, direct connections, the
    /// operating system's clock.
    #[must_use]
    pub fn new(settings: &DaemonSettings) -> DaemonParts {
        let meter = Arc::new(LinkMeter::default());
        DaemonParts {
            platform: open_platform(settings, &meter),
            dialer: Arc::new(DirectDialer),
            clock: Arc::new(SystemClock::new()),
            meter,
        }
    }
}

/// Counts the platform's traffic on the link meter.
struct StoreCounter {
    meter: Arc<LinkMeter>,
    crosses: bool,
}

impl ByteCounter for StoreCounter {
    fn count_exchange(&self, sent: u64, received: u64) {
        self.meter
            .add(LinkCause::Store, self.crosses, (sent + received) as usize);
    }
}

fn open_platform(settings: &DaemonSettings, meter: &Arc<LinkMeter>) -> Arc<dyn PlatformStore> {
    let crosses = settings.region != settings.store_region;
    let counter = StoreCounter {
        meter: Arc::clone(meter),
        crosses,
    };
    let platform = HttpPlatform::new(settings.platform, PLATFORM_TIMEOUT);
    Arc::new(platform.with_byte_counter(Arc::new(counter)))
}
