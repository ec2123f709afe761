///One part of an event.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct ChatChoice {
    pub delta: ChatDelta,
    ///Why the answer ended.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub finish_reason: ::std::option::Option<::std::string::String>,
    ///The number of the choice.
    pub index: u32,
}
///One event of a streamed answer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct ChatChunk {
    ///The parts of the answer.
    pub choices: ::std::vec::Vec<ChatChoice>,
    ///When the answer was made, in seconds since the Unix epoch.
    #[serde(default)]
    pub created: u64,
    ///The id of the answer.
    pub id: ::std::string::String,
    ///The name of the model.
    #[serde(default)]
    pub model: ::std::string::String,
    ///The kind of object.
    #[serde(default = "defaults::chat_chunk_object")]
    pub object: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub usage: ::std::option::Option<Usage>,
}
///Text that follows the text sent before.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default)]
pub struct ChatDelta {
    ///The text.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub content: ::std::option::Option<::std::string::String>,
    ///Who speaks.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub role: ::std::option::Option<::std::string::String>,
}
///One message of a conversation.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct ChatMessage {
    ///Text, or a list of content parts.
    pub content: ::serde_json::Value,
    ///Who speaks.
    pub role: ::std::string::String,
}
///A chat completion request. Fields that are not listed are not read; the body is passed on as it came.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct ChatRequest {
    ///Most output tokens, in place of `max_tokens`.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub max_completion_tokens: ::std::option::Option<::std::num::NonZeroU32>,
    ///Most output tokens.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub max_tokens: ::std::option::Option<::std::num::NonZeroU32>,
    ///The conversation, oldest message first.
    pub messages: ::std::vec::Vec<ChatMessage>,
    ///The name of the model.
    pub model: ChatRequestModel,
    ///Whether the answer comes as events.
    #[serde(default)]
    pub stream: bool,
}
///The name of the model.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct ChatRequestModel(::std::string::String);
impl ::std::ops::Deref for ChatRequestModel {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<ChatRequestModel> for ::std::string::String {
    fn from(value: ChatRequestModel) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for ChatRequestModel {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for ChatRequestModel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ChatRequestModel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for ChatRequestModel {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///One entry that a caller may use.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct EntryAddress {
    ///The IP address and port.
    pub address: ::std::string::String,
    ///The share of requests to send there, relative to the other entries.
    pub weight: u32,
}
///The entries that a caller may use.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct EntryList {
    ///The entries, in the order in which to try them.
    pub entries: ::std::vec::Vec<EntryAddress>,
    ///How long the list may be kept, in seconds.
    pub lifetime_s: u64,
    ///The configuration revision that the list was made from.
    pub revision: u64,
}
///The body of an error.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct ErrorAnswer {
    pub error: ErrorDetail,
}
///What went wrong, and whether the request ran.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct ErrorDetail {
    ///The kind, from the closed list.
    pub kind: ::std::string::String,
    ///What happened and what the reader can do.
    pub message: ::std::string::String,
    ///Whether the request ran.
    pub ran: ErrorDetailRan,
    ///Whether it may be sent again.
    pub retry: ErrorDetailRetry,
}
///Whether the request ran.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ErrorDetailRan {
    #[serde(rename = "not_run")]
    NotRun,
    #[serde(rename = "may_have_run")]
    MayHaveRun,
    #[serde(rename = "ran")]
    Ran,
}
impl ::std::fmt::Display for ErrorDetailRan {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NotRun => f.write_str("not_run"),
            Self::MayHaveRun => f.write_str("may_have_run"),
            Self::Ran => f.write_str("ran"),
        }
    }
}
impl ::std::str::FromStr for ErrorDetailRan {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "not_run" => Ok(Self::NotRun),
            "may_have_run" => Ok(Self::MayHaveRun),
            "ran" => Ok(Self::Ran),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ErrorDetailRan {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ErrorDetailRan {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Whether it may be sent again.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ErrorDetailRetry {
    #[serde(rename = "safe")]
    Safe,
    #[serde(rename = "with_key")]
    WithKey,
    #[serde(rename = "useless")]
    Useless,
}
impl ::std::fmt::Display for ErrorDetailRetry {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Safe => f.write_str("safe"),
            Self::WithKey => f.write_str("with_key"),
            Self::Useless => f.write_str("useless"),
        }
    }
}
impl ::std::str::FromStr for ErrorDetailRetry {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "safe" => Ok(Self::Safe),
            "with_key" => Ok(Self::WithKey),
            "useless" => Ok(Self::Useless),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ErrorDetailRetry {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ErrorDetailRetry {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Tokens as the engine counted them.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Usage {
    ///Tokens of the answer.
    pub completion_tokens: u32,
    ///Tokens of the prompt.
    pub prompt_tokens: u32,
}
/// Generation of default values for serde.
pub mod defaults {
    pub(super) fn chat_chunk_object() -> ::std::string::String {
        "chat.completion.chunk".to_string()
    }
}
/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
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
