//! Purposes of the calls to other systems. The purpose of a call is kept until its outcome arrives, and determines how
//! the outcome is handled.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use rushyoke_wire::cloud::Rental;
use rushyoke_wire::job::JobSpec;

use crate::io::{HttpResponse, RequestId};
use crate::jobs::{Name, TaskKey};

/// Why a call was made.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    /// Calls that concern leadership.
    Election(ElectionCall),
    /// Calls for a user's request.
    User(UserCall),
    /// Loading the records of earlier leaders.
    Load(LoadCall),
    /// Writing records, or resolving a write with an unknown outcome.
    Record(RecordCall),
    /// Renting and releasing machines.
    Rent(RentCall),
    /// A direct call to the worker on a machine.
    Order { machine: Name },
    /// The cloud's list of machine types.
    Types,
    /// Reading the record of machine types.
    ReadTypes,
    /// Writing the record of machine types.
    WriteTypes,
    /// Checks whether the state service responds again.
    Probe,
    /// Reports relayed to the leader.
    Relay,
}

impl Purpose {
    /// Whether the outcome only matters in the term in which the call was made.
    pub fn belongs_to_term(&self) -> bool {
        matches!(self, Purpose::Load(_) | Purpose::Record(_) | Purpose::Rent(_) | Purpose::Order { .. })
    }
}

/// Calls to the state service that concern leadership.
#[derive(Clone, Debug)]
pub(crate) enum ElectionCall {
    /// Reads the leader key.
    Read,
    /// Watches the leader key.
    Watch,
    /// Deletes a leader key that an earlier incarnation of this node wrote.
    DeleteOwnKey,
    /// Creates the lease of a candidate.
    NewLease { sent_at: Instant },
    /// Writes the leader key.
    Claim { lease: u64, sent_at: Instant },
    /// Renews the leader's lease.
    RenewLease { sent_at: Instant },
    /// Ends the lease of a leader or candidate that gives up.
    EndLease,
}

/// Calls that read the records, and the watch on jobs.
#[derive(Clone, Debug)]
pub(crate) enum LoadCall {
    /// Reads the jobs.
    Jobs,
    /// Reads the segments of the log.
    Segments,
    /// Reads the pages of tasks.
    Pages,
    /// Reads the open moves.
    OpenMoves,
    /// Reads the record of zones.
    Failover,
    /// Watches the jobs' records for changes.
    Watch { sent_at: Instant },
    /// Reads the record of a job on which others depend.
    Dependency(Name),
}

/// The contents of one transaction that writes records.
#[derive(Clone, Debug, Default)]
pub(crate) struct Batch {
    /// Tasks, each with its attempt if it is placed.
    pub tasks: Vec<(TaskKey, Option<u64>)>,
    /// Whether the last segment of the log is written.
    pub segment: bool,
    /// Whether that segment was due to be written because of starts settled since the last time.
    pub refresh: bool,
    /// Whether that segment contains new placements.
    pub new_placements: bool,
    /// Pages of tasks, by job and page number.
    pub pages: Vec<(Name, u32)>,
    /// Numbers of the parts of the record of open moves that are written.
    pub moves: Vec<usize>,
    /// Tasks and attempts of the moves that wait for those parts to be durable.
    pub waiting_moves: Vec<(TaskKey, u64)>,
    /// Whether the record of zones is written.
    pub failover: bool,
    /// Jobs whose end is recorded.
    pub closed_jobs: Vec<Name>,
    /// Keys that are deleted.
    pub deleted_keys: Vec<String>,
}

/// Calls that write records, or read them back after a write with an unknown outcome.
#[derive(Clone, Debug)]
pub(crate) enum RecordCall {
    /// Writes a batch.
    Write(Batch),
    /// Reads the last segment of the log.
    ReadSegment,
    /// Reads a job's record.
    ReadJob(Name),
}

/// Calls to the cloud.
#[derive(Clone, Debug)]
pub(crate) enum RentCall {
    /// Rents machines.
    Rent(Rental),
    /// Releases machines.
    Release(Vec<Name>),
    /// Lists the rented machines.
    List,
}

/// Calls to the state service on behalf of users.
#[derive(Clone, Debug)]
pub(crate) enum UserCall {
    /// Compares the versions of cached records.
    Compare { jobs: Vec<String> },
    /// Reads a job's record for the requests that ask about it.
    Read { job: String, requests: Vec<RequestId> },
    /// Reads the record of a job on which others depend, for a group of lookups.
    Refresh { job: String, group: u64 },
    /// Checks whether the dependencies of a submission were accepted.
    Dependencies { admission: Admission, queried: Vec<String> },
    /// Creates the records of a job.
    Create(Creation),
    /// Reads a job's record before a submission is refused, since an accepted job must never be refused.
    Refuse { request: RequestId, job: String, response: HttpResponse },
    /// Reads the record of a job that is to be cancelled.
    CancelRead { request: RequestId, job: String },
    /// Records the cancellation of a job.
    CancelWrite { request: RequestId, job: String, tasks: u32 },
}

/// A submission with dependencies that are not yet known to have been accepted.
#[derive(Clone, Debug)]
pub(crate) struct Admission {
    pub request: RequestId,
    pub spec: Box<JobSpec>,
    /// Dependencies whose records are known to exist, but may be missing from the cache.
    pub accepted: BTreeSet<String>,
}

/// A job whose records are being created.
#[derive(Clone, Debug)]
pub(crate) struct Creation {
    pub request: RequestId,
    pub job: String,
    /// Number of tasks.
    pub tasks: u32,
    /// Jobs that must be done first.
    pub dependencies: Arc<[String]>,
}
