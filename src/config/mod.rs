//! What operators load, checked: the inventory and its rules.

mod check;
mod inventory;
mod key;
mod route;

pub use self::check::parse;
pub use self::check::validate;
pub use self::inventory::EngineSpec;
pub use self::inventory::Inventory;
pub use self::inventory::Model;
pub use self::inventory::ModelCost;
pub use self::inventory::Organisation;
pub use self::inventory::Rules;
pub use self::inventory::Service;
pub use self::inventory::UpstreamKey;
pub use self::inventory::Version;
pub use self::inventory::VersionName;
pub use self::inventory::VersionState;
pub use self::key::KeyHash;
pub use self::route::RetryPolicy;
pub use self::route::Route;
pub use self::route::WeightedService;
