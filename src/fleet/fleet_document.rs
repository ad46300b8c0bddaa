#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Values that hold unless an exception names another."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Defaults {
    #[doc = "Longest wait for a majority of members to hold a write, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 5000>")]
    pub acknowledge_timeout_ms: u64,
    #[doc = "Statements that a workspace may run at once over all hosts, beyond its rate."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 200>")]
    pub burst: ::std::num::NonZeroU64,
    #[doc = "Connections to a group's members over all hosts."]
    #[serde(default = "defaults::default_u64::<u64, 20>")]
    pub connections_per_group: u64,
    #[doc = "Silence of a primary after which another is promoted, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 1000>")]
    pub failover_after_ms: u64,
    #[doc = "Daemons that hold a group's connections; the others pass requests on to them."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 3>")]
    pub homes_per_group: ::std::num::NonZeroU64,
    #[doc = "Longest wait for a connection to a member, in milliseconds."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 5000>")]
    pub queue_timeout_ms: ::std::num::NonZeroU64,
    #[doc = "Statements a second that a workspace may run over all hosts."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 200>")]
    pub rate_per_s: ::std::num::NonZeroU64,
    #[doc = "Longest wait of a statement for its workspace's rate, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 100>")]
    pub rate_wait_ms: u64,
    #[doc = "What a read without a token must see: the group as of the session's start, or as of the read."]
    #[serde(default = "defaults::defaults_read_floor")]
    pub read_floor: DefaultsReadFloor,
}
impl ::std::default::Default for Defaults {
    fn default() -> Self {
        Self {
            acknowledge_timeout_ms: defaults::default_u64::<u64, 5000>(),
            burst: defaults::default_nzu64::<::std::num::NonZeroU64, 200>(),
            connections_per_group: defaults::default_u64::<u64, 20>(),
            failover_after_ms: defaults::default_u64::<u64, 1000>(),
            homes_per_group: defaults::default_nzu64::<::std::num::NonZeroU64, 3>(),
            queue_timeout_ms: defaults::default_nzu64::<::std::num::NonZeroU64, 5000>(),
            rate_per_s: defaults::default_nzu64::<::std::num::NonZeroU64, 200>(),
            rate_wait_ms: defaults::default_u64::<u64, 100>(),
            read_floor: defaults::defaults_read_floor(),
        }
    }
}
#[doc = "What a read without a token must see: the group as of the session's start, or as of the read."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum DefaultsReadFloor {
    #[serde(rename = "session")]
    Session,
    #[serde(rename = "latest")]
    Latest,
}
impl ::std::fmt::Display for DefaultsReadFloor {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Session => f.write_str("session"),
            Self::Latest => f.write_str("latest"),
        }
    }
}
impl ::std::str::FromStr for DefaultsReadFloor {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "session" => Ok(Self::Session),
            "latest" => Ok(Self::Latest),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for DefaultsReadFloor {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for DefaultsReadFloor {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for DefaultsReadFloor {
    fn default() -> Self {
        DefaultsReadFloor::Session
    }
}
#[doc = "A host on which a daemon runs."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct EntryHost {
    #[doc = "Data centre of the host."]
    pub data_centre: ::std::string::String,
    #[doc = "Name of the host."]
    pub name: ::std::string::String,
    #[doc = "IP address and port for operators."]
    pub operator_address: ::std::string::String,
    #[doc = "IP address and port for the exchange between daemons."]
    pub peer_address: ::std::string::String,
    #[doc = "IP address and port for requests that other daemons pass on."]
    pub relay_address: ::std::string::String,
}
#[doc = "A departure from a default."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    #[doc = "Name of the workspace or group."]
    pub name: ::std::string::String,
    #[doc = "Why the default does not fit."]
    pub reason: ExceptionReason,
    #[doc = "What the exception is for."]
    pub scope: ExceptionScope,
    #[doc = "Name of the default."]
    pub setting: ExceptionSetting,
    #[doc = "Value in place of the default."]
    pub value: ExceptionValue,
}
#[doc = "Why the default does not fit."]
#[derive(:: serde :: Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct ExceptionReason(::std::string::String);
impl ::std::ops::Deref for ExceptionReason {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<ExceptionReason> for ::std::string::String {
    fn from(value: ExceptionReason) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for ExceptionReason {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() < 10usize {
            return Err("shorter than 10 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for ExceptionReason {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ExceptionReason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for ExceptionReason {
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
#[doc = "What the exception is for."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum ExceptionScope {
    #[serde(rename = "workspace")]
    Workspace,
    #[serde(rename = "group")]
    Group,
}
impl ::std::fmt::Display for ExceptionScope {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Workspace => f.write_str("workspace"),
            Self::Group => f.write_str("group"),
        }
    }
}
impl ::std::str::FromStr for ExceptionScope {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "workspace" => Ok(Self::Workspace),
            "group" => Ok(Self::Group),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ExceptionScope {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ExceptionScope {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Name of the default."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum ExceptionSetting {
    #[serde(rename = "rate_per_s")]
    RatePerS,
    #[serde(rename = "burst")]
    Burst,
    #[serde(rename = "connections_per_group")]
    ConnectionsPerGroup,
    #[serde(rename = "homes_per_group")]
    HomesPerGroup,
    #[serde(rename = "queue_timeout_ms")]
    QueueTimeoutMs,
    #[serde(rename = "rate_wait_ms")]
    RateWaitMs,
    #[serde(rename = "acknowledge_timeout_ms")]
    AcknowledgeTimeoutMs,
    #[serde(rename = "failover_after_ms")]
    FailoverAfterMs,
    #[serde(rename = "read_floor")]
    ReadFloor,
}
impl ::std::fmt::Display for ExceptionSetting {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::RatePerS => f.write_str("rate_per_s"),
            Self::Burst => f.write_str("burst"),
            Self::ConnectionsPerGroup => f.write_str("connections_per_group"),
            Self::HomesPerGroup => f.write_str("homes_per_group"),
            Self::QueueTimeoutMs => f.write_str("queue_timeout_ms"),
            Self::RateWaitMs => f.write_str("rate_wait_ms"),
            Self::AcknowledgeTimeoutMs => f.write_str("acknowledge_timeout_ms"),
            Self::FailoverAfterMs => f.write_str("failover_after_ms"),
            Self::ReadFloor => f.write_str("read_floor"),
        }
    }
}
impl ::std::str::FromStr for ExceptionSetting {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "rate_per_s" => Ok(Self::RatePerS),
            "burst" => Ok(Self::Burst),
            "connections_per_group" => Ok(Self::ConnectionsPerGroup),
            "homes_per_group" => Ok(Self::HomesPerGroup),
            "queue_timeout_ms" => Ok(Self::QueueTimeoutMs),
            "rate_wait_ms" => Ok(Self::RateWaitMs),
            "acknowledge_timeout_ms" => Ok(Self::AcknowledgeTimeoutMs),
            "failover_after_ms" => Ok(Self::FailoverAfterMs),
            "read_floor" => Ok(Self::ReadFloor),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ExceptionSetting {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ExceptionSetting {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Value in place of the default."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(untagged)]
pub enum ExceptionValue {
    Integer(i64),
    String(::std::string::String),
}
impl ::std::fmt::Display for ExceptionValue {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match self {
            Self::Integer(x) => x.fmt(f),
            Self::String(x) => x.fmt(f),
        }
    }
}
impl ::std::convert::From<i64> for ExceptionValue {
    fn from(value: i64) -> Self {
        Self::Integer(value)
    }
}
#[doc = "Configuration of the whole fleet: defaults, the short list of exceptions, and what there is to serve."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct FleetDocument {
    pub defaults: Defaults,
    #[doc = "Hosts on which daemons run."]
    pub entry_hosts: ::std::vec::Vec<EntryHost>,
    #[doc = "Departures from the defaults, each with its reason."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub exceptions: ::std::vec::Vec<Exception>,
    #[doc = "Database groups."]
    pub groups: ::std::vec::Vec<Group>,
    #[doc = "Workspaces of callers."]
    pub workspaces: ::std::vec::Vec<Workspace>,
}
#[doc = "A database group."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Group {
    #[doc = "Members of the group."]
    pub members: ::std::vec::Vec<Member>,
    #[doc = "Name of the group; callers give it as the database."]
    pub name: ::std::string::String,
}
#[doc = "A backend server that is a member of a group."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Member {
    #[doc = "IP address and port on which it speaks PostgreSQL."]
    pub address: ::std::string::String,
    #[doc = "Data centre of the member."]
    pub data_centre: ::std::string::String,
    #[doc = "Name of the member, unique in its group."]
    pub name: ::std::string::String,
}
#[doc = "A workspace of callers."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    #[doc = "Groups that the workspace may use."]
    pub groups: ::std::vec::Vec<::std::string::String>,
    #[doc = "Name of the workspace; callers give it as the user."]
    pub name: ::std::string::String,
}
#[doc = " Generation of default values for serde."]
pub mod defaults {
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_nzu64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<::std::num::NonZeroU64>,
        <T as ::std::convert::TryFrom<::std::num::NonZeroU64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(::std::num::NonZeroU64::try_from(V).unwrap()).unwrap()
    }
    pub(super) fn defaults_read_floor() -> super::DefaultsReadFloor {
        super::DefaultsReadFloor::Session
    }
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
