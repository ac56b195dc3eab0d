//! Upstreams: who is there, how loaded they are, and how they have behaved.

mod directory;
mod health;
mod in_flight;
mod load;
mod silence;

pub use self::directory::AnnounceOutcome;
pub use self::directory::Announcement;
pub use self::directory::Directory;
pub use self::directory::Presence;
pub use self::directory::Serves;
pub use self::directory::Upstream;
pub use self::health::Circuit;
pub use self::health::Health;
pub use self::in_flight::InFlight;
pub use self::load::Level;
pub use self::load::LoadReport;
pub use self::load::Loads;
pub use self::silence::Silence;
