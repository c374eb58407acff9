//! Fencing tokens of the messages to workers, which also refuse late copies of this leader's own direct calls.
//!
//! A direct call that was carried out may arrive once more, and one that was given up may still arrive. The worker
//! carries it out if its token and session match, unless it lists the attempt. So before a worker forgets an attempt, and
//! before the absence of an attempt proves anything, it is shown a token that is higher than that of every call that
//! started the attempt.
//!
//! A worker that restarts forgets its token and counts its sessions anew, so neither refuses a start that arrives for the
//! first time after that. Such a start, of a call without a response, keeps its placement: an expired lease or a report
//! does not end it, but the release of the machine or a higher token shown since does.
//!
//! The tokens of a term are the leader key's version and the revisions of the writes committed since. Each write has the
//! key's version as a condition, so this node was the leader at that revision: the key of a later leader has a higher
//! version, whichever program version that leader runs.

use super::{Attempt, Machine};
use crate::jobs::Name;
use crate::term::Term;

impl Machine {
    /// Notes a token that the worker has shown: it refuses direct calls with a lower one from then on.
    pub(super) fn note_shown_token(&mut self, token: u64) {
        self.shown_token = self.shown_token.max(token);
        self.token = self.token.max(token);
        self.direct_starts.retain(|_, sent_under| *sent_under >= token);
        self.token_due &= !self.direct_starts.is_empty();
    }

    /// Whether a worker that shows this token refuses all that it refused before. It does not if it has restarted, until
    /// it gets a message again.
    pub(super) fn has_kept_token(&self, token: u64) -> bool {
        token >= self.shown_token
    }

    /// Whether a direct call that starts the attempt may still be carried out, late or a second time.
    pub(super) fn may_still_start(&self, attempt: &Attempt) -> bool {
        self.direct_starts.contains_key(attempt)
    }

    /// Whether the worker may forget the attempt once it gets a message with the machine's token.
    pub(super) fn refuses_starts_of(&self, attempt: &Attempt) -> bool {
        !self.start_in_flight(attempt)
            && self.direct_starts.get(attempt).is_none_or(|sent_under| *sent_under < self.token)
    }
}

impl Term {
    /// Returns the token of a message that is sent to the machine now.
    pub(super) fn token_for(&self, name: &Name) -> u64 {
        self.machines.get(name).map_or(self.token, |machine| machine.token.max(self.token))
    }

    /// Raises the machine's token for the next message, if starts of direct calls may still be carried out. Not while a
    /// direct call is in flight, since the worker would refuse it.
    pub(super) fn raise_token(&mut self, name: &Name) {
        let newest_token = self.newest_token;
        if let Some(machine) = self.machines.get_mut(name)
            && machine.direct_call.is_none()
            && !machine.direct_starts.is_empty()
        {
            machine.token = machine.token.max(newest_token);
        }
    }

    /// Arranges that a direct call shows the worker a higher token than any call that started a task there.
    pub(super) fn request_token_raise(&mut self, name: &Name) {
        let Some(machine) = self.machines.get_mut(name).filter(|machine| !machine.direct_starts.is_empty()) else {
            return;
        };
        machine.token_due = true;
        let highest_start = machine.direct_starts.values().max().copied().unwrap_or_default();
        if highest_start < self.newest_token {
            self.queue_direct_call(name);
        } else {
            self.records.revision_due = true;
            self.machines_awaiting_revision.insert(name.clone());
        }
    }

    /// Notes the revision of a committed write of this leader: a new token.
    pub fn note_committed_revision(&mut self, revision: u64) {
        self.newest_token = self.newest_token.max(revision);
        self.records.revision_due = false;
        for name in std::mem::take(&mut self.machines_awaiting_revision) {
            self.queue_direct_call(&name);
        }
    }
}
