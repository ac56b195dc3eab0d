//! Calls between the processes of the system: `bincode` messages, one request and reply per `h2`
//! stream, authenticated by a key.

mod client;
mod config_update;
mod directory_update;
pub(crate) mod discovery;
mod leader;
mod message;
mod server;
mod socket;

pub use self::client::CallError;
pub use self::client::Client;
pub use self::client::repeat_until_reply;
pub use self::config_update::ConfigUpdate;
pub use self::config_update::UpdateError;
pub use self::directory_update::DirectoryUpdate;
pub use self::leader::LeaderClient;
pub use self::message::BootstrapStatus;
pub use self::message::ConfigView;
pub use self::message::EntryInfo;
pub use self::message::EntryList;
pub use self::message::Grant;
pub use self::message::OperatorChange;
pub use self::message::OperatorChangeReply;
pub use self::message::QualityRow;
pub use self::message::ReleaseStats;
pub use self::message::Renewal;
pub use self::message::Reply;
pub use self::message::Request;
pub use self::message::RolloutView;
pub use self::message::TargetCount;
pub use self::message::UpstreamLoad;
pub use self::server::Caller;
pub use self::server::Handler;
pub use self::server::Keys;
pub use self::server::MAX_CONNECTIONS;
pub use self::server::Traffic;
pub use self::server::serve;
