//! Start-up of a caller's connection: encryption, authentication and authorisation.

use std::collections::BTreeMap;
use std::sync::Arc;

use futures::SinkExt;
use futures::StreamExt;
use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::PgWireFrontendMessage as Request;
use pgwire::messages::SslNegotiationMetaMessage;
use pgwire::messages::response::GssEncResponse;
use pgwire::messages::response::SslResponse;
use pgwire::messages::startup::Authentication;
use pgwire::messages::startup::SecretKey;
use pgwire::messages::startup::Startup;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::codec::FramedParts;

use super::gated_io::CallerIo;
use super::gated_io::GatedIo;
use super::session_bytes::SessionBytes;
use crate::fleet::key::Key;
use crate::traffic::cancel_registry::CancelKey;
use crate::traffic::context::TrafficContext;
use crate::wire::frontend_codec::FrontendCodec;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

/// Framed messages to and from a caller.
pub type CallerWire = Framed<Box<dyn CallerIo>, FrontendCodec>;

/// A caller whose key is valid for its workspace and group.
pub struct AuthenticatedCaller {
    /// Connection to the caller.
    pub wire: CallerWire,
    /// What its messages hold.
    pub bytes: Arc<SessionBytes>,
    /// Workspace of the caller.
    pub workspace: Arc<str>,
    /// Id of the key that the caller presented.
    pub key_id: Arc<str>,
    /// Group that the caller connects to.
    pub group: Arc<str>,
    /// Settings from the startup message.
    pub options: BTreeMap<String, String>,
}

/// Authenticates a caller. Returns `None` when the connection is over.
pub async fn authenticate(
    context: &TrafficContext,
    stream: TcpStream,
) -> Option<AuthenticatedCaller> {
    let (mut wire, startup) = read_startup(context, stream).await?;
    wire.send(Reply::Authentication(Authentication::CleartextPassword)).await.ok()?;
    let Request::PasswordMessageFamily(password) = wire.next().await?.ok()? else {
        return None;
    };
    let password = password.into_password().ok()?.password;
    match authorize(context, &startup, &password) {
        Ok((workspace, key_id, group)) => {
            let bytes = SessionBytes::new(context.limits.clone());
            Some(AuthenticatedCaller {
                wire: gate(wire, bytes.clone()),
                bytes,
                workspace,
                key_id,
                group,
                options: requested_settings(&startup.parameters),
            })
        }
        Err(error) => {
            wire.send(error.into_message()).await.ok()?;
            None
        }
    }
}

/// Lets the caller send large messages, which are read when there is memory for them.
fn gate(mut wire: CallerWire, bytes: Arc<SessionBytes>) -> CallerWire {
    wire.codec_mut().accept_large_messages();
    let parts = wire.into_parts();
    let gated = GatedIo::new(parts.io, bytes, &parts.read_buf);
    let mut gated_parts =
        FramedParts::new::<Reply>(Box::new(gated) as Box<dyn CallerIo>, parts.codec);
    gated_parts.read_buf = parts.read_buf;
    gated_parts.write_buf = parts.write_buf;
    Framed::from_parts(gated_parts)
}

async fn read_startup(
    context: &TrafficContext,
    stream: TcpStream,
) -> Option<(CallerWire, Startup)> {
    let codec = FrontendCodec::new(context.max_message_bytes);
    let mut wire: CallerWire = Framed::new(Box::new(stream) as Box<dyn CallerIo>, codec);
    loop {
        match wire.next().await?.ok()? {
            Request::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_)) => {
                wire = negotiate_tls(context, wire).await?;
            }
            Request::SslNegotiation(SslNegotiationMetaMessage::PostgresGss(_)) => {
                wire.send(Reply::GssEncResponse(GssEncResponse::Refuse)).await.ok()?;
            }
            Request::SslNegotiation(SslNegotiationMetaMessage::None) => {
                wire.codec_mut().expect_startup();
            }
            Request::CancelRequest(request) => {
                cancel(context, request.pid, &request.secret_key).await;
                return None;
            }
            Request::Startup(startup) => {
                wire.codec_mut().expect_messages();
                wire.codec_mut().await_authentication();
                return Some((wire, startup));
            }
            _ => return None,
        }
    }
}

async fn negotiate_tls(context: &TrafficContext, mut wire: CallerWire) -> Option<CallerWire> {
    let Some(acceptor) = &context.tls else {
        wire.send(Reply::SslResponse(SslResponse::Refuse)).await.ok()?;
        return Some(wire);
    };
    wire.send(Reply::SslResponse(SslResponse::Accept)).await.ok()?;
    let parts = wire.into_parts();
    // Plaintext bytes sent ahead of the handshake would be taken for part of the encrypted stream.
    if !parts.read_buf.is_empty() {
        return None;
    }
    let encrypted = acceptor.accept(parts.io).await.ok()?;
    let codec = FrontendCodec::new(context.max_message_bytes);
    let mut wire: CallerWire = Framed::new(Box::new(encrypted) as Box<dyn CallerIo>, codec);
    wire.codec_mut().expect_startup();
    Some(wire)
}

/// Cancels the running request of the session to which a cancel key belongs. A key that is not
/// known here is forwarded to the other daemons.
async fn cancel(context: &TrafficContext, process_id: i32, secret: &SecretKey) {
    let SecretKey::I32(secret) = *secret else {
        return;
    };
    let key = CancelKey { process_id, secret };
    if !context.cancels.cancel(key) {
        context.cancel_forwarder.forward(key).await;
    }
}

/// Workspace, key id and group of an authorised caller.
type Authorization = (Arc<str>, Arc<str>, Arc<str>);

fn authorize(
    context: &TrafficContext,
    startup: &Startup,
    password: &str,
) -> Result<Authorization, SqlError> {
    let parameter = |name: &str| startup.parameters.get(name).cloned().unwrap_or_default();
    let user = parameter("user");
    if !context.lease.is_valid() {
        let message = "not run: the daemon is not ready; connect to another";
        return Err(SqlError::fatal(sql_state::CANNOT_CONNECT, message));
    }
    if context.snapshot.borrow().is_draining {
        let message = "not run: the daemon is leaving service; connect to another";
        return Err(SqlError::fatal(sql_state::STOPPING, message));
    }
    if context.cancels.len() >= context.max_connections {
        let message = "not run: the daemon has reached its limit of connections";
        return Err(SqlError::fatal(sql_state::NO_CAPACITY, message));
    }
    let fleet = context.snapshot.borrow().fleet.clone();
    let key = fleet.keys.get(Key::id_of(password));
    let valid_key = key.filter(|key| key.matches(password) && !key.is_withdrawn);
    let Some(key) = valid_key.filter(|key| key.workspace == user) else {
        log::warn!(
            event = "caller_refused", workspace = user, reason = "invalid key";
            "A caller was refused: its key is unknown, withdrawn or not valid for the workspace."
        );
        let message = format!("the key is not valid for workspace \"{user}\"");
        return Err(SqlError::fatal(sql_state::INVALID_KEY, message));
    };
    let database = startup.parameters.get("database").cloned().unwrap_or_else(|| user.clone());
    let groups = fleet.workspace(&user).map(|workspace| workspace.groups.as_slice());
    if !groups.unwrap_or_default().contains(&database) {
        let message = format!("group \"{database}\" does not exist for workspace \"{user}\"");
        return Err(SqlError::fatal(sql_state::UNKNOWN_GROUP, message));
    }
    Ok((user.into(), key.key_id.as_str().into(), database.into()))
}

/// Collects the settings of the startup message, including those in its `options` parameter.
fn requested_settings(parameters: &BTreeMap<String, String>) -> BTreeMap<String, String> {
    let mut settings = BTreeMap::new();
    for (name, value) in parameters {
        match name.as_str() {
            "user" | "database" | "replication" => {}
            "options" => settings.extend(parse_options(value)),
            name if name.starts_with("_pq_.") => {}
            name => drop(settings.insert(name.to_lowercase(), value.clone())),
        }
    }
    settings
}

/// Parses `-c name=value` and `--name=value`.
fn parse_options(text: &str) -> BTreeMap<String, String> {
    let assignments = text.split_whitespace().filter(|word| *word != "-c").map(|word| {
        let word = word.strip_prefix("-c").unwrap_or(word);
        word.strip_prefix("--").unwrap_or(word)
    });
    assignments
        .filter_map(|word| word.split_once('='))
        .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
        .collect()
}
