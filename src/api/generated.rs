#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Which entries to use."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct AddressAnswer {
    #[doc = "Near ones first."]
    pub addresses: ::std::vec::Vec<AddressRow>,
    #[doc = "How long to keep this answer."]
    pub valid_for_s: u64,
}
#[doc = "One entry."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct AddressRow {
    #[doc = "`ip:port`."]
    pub address: ::std::string::String,
    #[doc = "Where it is."]
    pub data_centre: ::std::string::String,
    #[doc = "Share of callers, relative to the others."]
    pub weight: u32,
}
#[doc = "`Border`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(transparent)]
pub struct Border(pub ::serde_json::Value);
impl ::std::ops::Deref for Border {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<Border> for ::serde_json::Value {
    fn from(value: Border) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for Border {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "A chat-completions request."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChatRequest {
    #[doc = "Most tokens to generate."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub max_tokens: ::std::option::Option<u32>,
    #[doc = "The conversation, passed on as it is."]
    pub messages: ::std::vec::Vec<::serde_json::Map<::std::string::String, ::serde_json::Value>>,
    #[doc = "`name`, `name@version` or `auto`."]
    pub model: ::std::string::String,
    #[doc = "Whether to answer as server-sent events."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub stream: ::std::option::Option<bool>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub stream_options: ::std::option::Option<StreamOptions>,
}
#[doc = "An error as chat-completions clients read it."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ErrorBody {
    pub error: ErrorDetail,
}
#[doc = "Details of an error."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ErrorDetail {
    #[doc = "Its name for programs."]
    pub code: ::std::string::String,
    #[doc = "What is wrong and what to do."]
    pub message: ::std::string::String,
    #[doc = "The field at fault."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub param: ::std::option::Option<::std::string::String>,
    #[doc = "Class of the error."]
    #[serde(rename = "type")]
    pub type_: ::std::string::String,
}
#[doc = "What the organisation may use."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ModelList {
    #[doc = "Models and versions."]
    pub data: ::std::vec::Vec<ModelRow>,
    #[doc = "`list`."]
    pub object: ::std::string::String,
}
#[doc = "One model or version."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ModelRow {
    #[doc = "0: not kept."]
    pub created: u64,
    #[doc = "`name` or `name@version`."]
    pub id: ::std::string::String,
    #[doc = "`model`."]
    pub object: ::std::string::String,
    #[doc = "`daisyquay`."]
    pub owned_by: ::std::string::String,
}
#[doc = "How to stream."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
pub struct StreamOptions {
    #[doc = "Whether the last event carries usage figures."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub include_usage: ::std::option::Option<bool>,
}
#[doc = "Usage figures."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Usage {
    #[doc = "Tokens generated."]
    pub completion_tokens: u64,
    #[doc = "Tokens of the prompt."]
    pub prompt_tokens: u64,
    #[doc = "Their sum."]
    pub total_tokens: u64,
}
#[doc = " Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
