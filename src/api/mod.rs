//! Types of the outer interface, generated from `schema.json` and committed.
//!
//! To change them, edit the schema and run `cargo typify -B -o src/api/generated.rs
//! src/api/schema.json`.

#[expect(unreachable_pub, reason = "generated code keeps the generator's style")]
#[allow(dead_code, reason = "the generator adds an error type whether it is used or not")]
#[rustfmt::skip]
mod generated;

pub(crate) use self::generated::AddressAnswer;
pub(crate) use self::generated::AddressRow;
pub(crate) use self::generated::ChatRequest;
pub(crate) use self::generated::ErrorBody;
pub(crate) use self::generated::ErrorDetail;
pub(crate) use self::generated::ModelList;
pub(crate) use self::generated::ModelRow;
pub(crate) use self::generated::Usage;
