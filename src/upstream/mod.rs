//! The upstreams: which ones are available, their load, and their health.

mod directory;
mod failure_detector;
mod health;
mod in_flight;
mod load;

pub use self::directory::AnnounceOutcome;
pub use self::directory::Announcement;
pub use self::directory::Directory;
pub use self::directory::Presence;
pub use self::directory::Serves;
pub use self::directory::Upstream;
pub use self::failure_detector::FailureDetector;
pub use self::health::Circuit;
pub use self::health::Health;
pub use self::in_flight::InFlightHistory;
pub use self::load::LoadLevel;
pub use self::load::LoadReport;
pub use self::load::LoadTable;
