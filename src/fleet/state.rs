//! The fleet's configuration at one version.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::change::Change;
use super::change::Operation;
use super::check::check_document;
use super::fleet_document::EntryHost;
use super::fleet_document::ExceptionScope;
use super::fleet_document::FleetDocument;
use super::fleet_document::Group;
use super::fleet_document::Member;
use super::fleet_document::Workspace;
use super::generation::Generation;
use super::key::Key;
use super::limits::Limits;
use crate::fleet::finding::Finding;

/// The configuration that results from all changes up to a version.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Version of the last applied change; 0 if there is none.
    pub version: u64,
    /// The fleet's document, once one has been applied.
    pub document: Option<FleetDocument>,
    /// Keys by id, including withdrawn ones.
    pub keys: BTreeMap<String, Key>,
    /// Data centres that are out of service.
    pub data_centres_out: BTreeSet<String>,
    /// Members that are leaving service, as names of group and member.
    pub members_leaving: BTreeSet<(String, String)>,
    /// The current generation.
    pub generation: Generation,
}

impl Fleet {
    /// Checks and applies the change at the next version.
    ///
    /// # Errors
    ///
    /// Returns the findings if the change is not valid; it is not applied then.
    pub fn apply(&mut self, change: &Change) -> Result<(), Vec<Finding>> {
        if change.version != self.version + 1 {
            let rule = format!("must be {}, the next version", self.version + 1);
            return Err(vec![Finding::new("/version", change.version, rule)]);
        }
        self.check(&change.operation)?;
        self.apply_checked(change);
        self.version = change.version;
        Ok(())
    }

    /// Applies a change from the log. A change that is not valid only advances the version, so that
    /// every daemon has the same configuration at each version.
    pub fn apply_committed(&mut self, change: &Change) {
        if change.version == self.version + 1 && self.apply(change).is_err() {
            self.version = change.version;
        }
    }

    /// Checks whether an operation is valid in the current state.
    ///
    /// # Errors
    ///
    /// Returns the findings if it is not.
    pub fn check(&self, operation: &Operation) -> Result<(), Vec<Finding>> {
        match operation {
            Operation::ApplyDocument { document } => check_document(document),
            Operation::IssueKey { key } => {
                self.require_known(
                    self.workspace(&key.workspace).is_some(),
                    "workspace",
                    &key.workspace,
                )?;
                let is_new = !self.keys.contains_key(&key.key_id);
                match is_new {
                    true => Ok(()),
                    false => Err(vec![Finding::new("/key_id", &key.key_id, "must not be in use")]),
                }
            }
            Operation::WithdrawKey { key_id } => {
                self.require_known(self.keys.contains_key(key_id), "key_id", key_id)
            }
            Operation::DataCentreOut { data_centre, is_forced } => {
                self.require_known(self.has_data_centre(data_centre), "data_centre", data_centre)?;
                match is_forced {
                    true => Ok(()),
                    false => self.check_majorities_without(data_centre),
                }
            }
            Operation::DataCentreIn { data_centre } => {
                self.require_known(self.has_data_centre(data_centre), "data_centre", data_centre)
            }
            Operation::MemberLeaves { group, member }
            | Operation::MemberReturns { group, member } => {
                let members = self.group(group).map(|group| group.members.as_slice());
                let is_known =
                    members.unwrap_or_default().iter().any(|known| known.name == *member);
                self.require_known(is_known, "member", &format!("{group}/{member}"))
            }
            Operation::StartGeneration { hosts } => {
                for host in hosts.keys() {
                    self.require_known(self.host(host).is_some(), "hosts", host)?;
                }
                Ok(())
            }
        }
    }

    fn require_known(&self, is_known: bool, field: &str, name: &str) -> Result<(), Vec<Finding>> {
        match is_known {
            true => Ok(()),
            false => {
                let rule = "must exist in the fleet's configuration";
                Err(vec![Finding::new(&format!("/{field}"), name, rule)])
            }
        }
    }

    fn check_majorities_without(&self, data_centre: &str) -> Result<(), Vec<Finding>> {
        let mut findings = Vec::new();
        for group in self.groups() {
            let is_remaining = |member: &&Member| {
                member.data_centre != data_centre
                    && !self.data_centres_out.contains(&member.data_centre)
            };
            let remaining = group.members.iter().filter(is_remaining).count();
            if remaining * 2 <= group.members.len() {
                let rule = format!(
                    "leaves {remaining} of {} members of group {}, which is no majority; \
                     force the change to make it anyway",
                    group.members.len(),
                    group.name
                );
                findings.push(Finding::new("/data_centre", data_centre, rule));
            }
        }
        match findings.is_empty() {
            true => Ok(()),
            false => Err(findings),
        }
    }

    fn apply_checked(&mut self, change: &Change) {
        match &change.operation {
            Operation::ApplyDocument { document } => self.document = Some((**document).clone()),
            Operation::IssueKey { key } => {
                self.keys.insert(key.key_id.clone(), key.clone());
            }
            Operation::WithdrawKey { key_id } => {
                if let Some(key) = self.keys.get_mut(key_id) {
                    key.is_withdrawn = true;
                }
            }
            Operation::DataCentreOut { data_centre, .. } => {
                self.data_centres_out.insert(data_centre.clone());
            }
            Operation::DataCentreIn { data_centre } => {
                self.data_centres_out.remove(data_centre);
            }
            Operation::MemberLeaves { group, member } => {
                self.members_leaving.insert((group.clone(), member.clone()));
            }
            Operation::MemberReturns { group, member } => {
                self.members_leaving.remove(&(group.clone(), member.clone()));
            }
            Operation::StartGeneration { hosts } => {
                self.generation = Generation { number: change.version, hosts: hosts.clone() };
            }
        }
    }

    /// Returns the entry hosts.
    pub fn hosts(&self) -> &[EntryHost] {
        self.document.as_ref().map_or(&[], |document| &document.entry_hosts)
    }

    /// Returns the groups.
    pub fn groups(&self) -> &[Group] {
        self.document.as_ref().map_or(&[], |document| &document.groups)
    }

    /// Returns the workspaces.
    pub fn workspaces(&self) -> &[Workspace] {
        self.document.as_ref().map_or(&[], |document| &document.workspaces)
    }

    /// Returns an entry host by name.
    pub fn host(&self, name: &str) -> Option<&EntryHost> {
        self.hosts().iter().find(|host| host.name == name)
    }

    /// Returns a group by name.
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.groups().iter().find(|group| group.name == name)
    }

    /// Returns a workspace by name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces().iter().find(|workspace| workspace.name == name)
    }

    /// Returns the data centre of an entry host, or an empty name.
    pub fn data_centre_of_host(&self, name: &str) -> &str {
        self.host(name).map_or("", |host| host.data_centre.as_str())
    }

    /// Returns whether the data centre of an entry host is out of service.
    pub fn is_host_out(&self, name: &str) -> bool {
        self.data_centres_out.contains(self.data_centre_of_host(name))
    }

    /// Returns whether a member is leaving service, by itself or with its data centre.
    pub fn is_member_leaving(&self, group: &str, member: &Member) -> bool {
        let id = (group.to_owned(), member.name.clone());
        self.members_leaving.contains(&id) || self.data_centres_out.contains(&member.data_centre)
    }

    fn has_data_centre(&self, name: &str) -> bool {
        let members = self.groups().iter().flat_map(|group| &group.members);
        self.hosts().iter().any(|host| host.data_centre == name)
            || members.into_iter().any(|member| member.data_centre == name)
    }

    /// Returns the limits of a workspace.
    pub fn limits_of_workspace(&self, name: &str) -> Limits {
        self.limits_of(name, |scope| matches!(scope, ExceptionScope::Workspace))
    }

    /// Returns the limits of a group.
    pub fn limits_of_group(&self, name: &str) -> Limits {
        self.limits_of(name, |scope| matches!(scope, ExceptionScope::Group))
    }

    fn limits_of<Matches>(&self, name: &str, matches: Matches) -> Limits
    where
        Matches: Fn(&ExceptionScope) -> bool,
    {
        let fallback = FleetDocument {
            defaults: Default::default(),
            entry_hosts: Vec::new(),
            exceptions: Vec::new(),
            groups: Vec::new(),
            workspaces: Vec::new(),
        };
        let document = self.document.as_ref().unwrap_or(&fallback);
        let mut limits = Limits::defaults(document);
        for exception in &document.exceptions {
            if matches(&exception.scope) && exception.name == name {
                // Cannot fail: exceptions are checked before a document is applied.
                let _ = limits.apply(exception);
            }
        }
        limits
    }
}
