//! JSON types of the public API, generated from `schema.json`. The generated file is committed.
//!
//! To change them, edit the schema and run `cargo typify -B -o src/api/generated.rs
//! src/api/schema.json`.

#[expect(unreachable_pub, reason = "the generator marks all items `pub`")]
#[allow(dead_code, reason = "the generator emits an error type even where it is unused")]
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
