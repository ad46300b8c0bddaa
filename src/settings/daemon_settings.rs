#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Settings of one daemon, read when it starts."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    #[doc = "Addresses to use in place of those in the fleet's document, for networks that translate them."]
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: HashMap::is_empty"
    )]
    pub address_map: ::std::collections::HashMap<::std::string::String, ::std::string::String>,
    #[doc = "Peer addresses to ask when the daemon starts while the table is down."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub bootstrap_peers: ::std::vec::Vec<::std::string::String>,
    #[doc = "IP address and port for callers."]
    pub caller_address: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub caller_tls: ::std::option::Option<TlsFiles>,
    #[doc = "Data centre of the entry host."]
    pub data_centre: ::std::string::String,
    #[doc = "Time between turning unready and closing idle connections, in milliseconds, for the balancer to notice."]
    #[serde(default = "defaults::default_u64::<u64, 2000>")]
    pub drain_notice_ms: u64,
    #[doc = "Longest time that a planned stop waits for running requests, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 60000>")]
    pub drain_timeout_ms: u64,
    #[doc = "Least severe level that is logged."]
    #[serde(default = "defaults::daemon_settings_log_level")]
    pub log_level: DaemonSettingsLogLevel,
    #[doc = "Most connections of callers at one time."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 20000>")]
    pub max_connections: ::std::num::NonZeroU64,
    #[doc = "Largest message accepted from a caller, in bytes."]
    #[serde(default = "defaults::default_u64::<u64, 16777216>")]
    pub max_message_bytes: u64,
    #[doc = "Password of that user."]
    pub member_password: ::std::string::String,
    #[doc = "User with which the daemon connects to backend servers."]
    pub member_user: ::std::string::String,
    #[doc = "Memory of the host, in MB; what callers may make the daemon hold is a share of it."]
    #[serde(default = "defaults::default_u64::<u64, 512>")]
    pub memory_mb: u64,
    #[doc = "Name of the entry host, as in the fleet's document."]
    pub name: ::std::string::String,
    #[doc = "IP address and port for operators."]
    pub operator_address: ::std::string::String,
    #[doc = "IP address and port for the exchange between daemons."]
    pub peer_address: ::std::string::String,
    #[doc = "IP address and port of the platform's table, object store and host list."]
    pub platform_address: ::std::string::String,
    #[doc = "Longest wait for the platform, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 1000>")]
    pub platform_timeout_ms: u64,
    #[doc = "IP address and port for requests that other daemons pass on."]
    pub relay_address: ::std::string::String,
    #[doc = "Secret of at least 16 characters that all daemons share: it signs session tokens and admits peers and operators."]
    pub shared_secret: DaemonSettingsSharedSecret,
    #[doc = "Longest time from connecting to being admitted, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 5000>")]
    pub startup_timeout_ms: u64,
    #[doc = "IP address and port to which metrics are sent by UDP."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub statsd_address: ::std::option::Option<::std::string::String>,
    #[doc = "Threads that serve callers."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 4>")]
    pub traffic_threads: ::std::num::NonZeroU64,
}
#[doc = "Least severe level that is logged."]
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
pub enum DaemonSettingsLogLevel {
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "warn")]
    Warn,
    #[serde(rename = "info")]
    Info,
    #[serde(rename = "debug")]
    Debug,
}
impl ::std::fmt::Display for DaemonSettingsLogLevel {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Error => f.write_str("error"),
            Self::Warn => f.write_str("warn"),
            Self::Info => f.write_str("info"),
            Self::Debug => f.write_str("debug"),
        }
    }
}
impl ::std::str::FromStr for DaemonSettingsLogLevel {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for DaemonSettingsLogLevel {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for DaemonSettingsLogLevel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for DaemonSettingsLogLevel {
    fn default() -> Self {
        DaemonSettingsLogLevel::Info
    }
}
#[doc = "Secret of at least 16 characters that all daemons share: it signs session tokens and admits peers and operators."]
#[derive(:: serde :: Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct DaemonSettingsSharedSecret(::std::string::String);
impl ::std::ops::Deref for DaemonSettingsSharedSecret {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<DaemonSettingsSharedSecret> for ::std::string::String {
    fn from(value: DaemonSettingsSharedSecret) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for DaemonSettingsSharedSecret {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() < 16usize {
            return Err("shorter than 16 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for DaemonSettingsSharedSecret {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for DaemonSettingsSharedSecret {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for DaemonSettingsSharedSecret {
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
#[doc = "Files with a certificate chain and its private key, in PEM."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    #[doc = "File with the certificate chain."]
    pub certificate_file: ::std::string::String,
    #[doc = "File with the private key."]
    pub key_file: ::std::string::String,
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
    pub(super) fn daemon_settings_log_level() -> super::DaemonSettingsLogLevel {
        super::DaemonSettingsLogLevel::Info
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
