//! Why calls are made: a call's purpose is kept until its outcome, which then finds its way.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use rushyoke_wire::cloud::Rental;
use rushyoke_wire::job::JobSpec;

use crate::io::{HttpResponse, RequestId};
use crate::jobs::{Name, TaskKey};

/// Why a call was made, so that its outcome finds its way.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    Election(ElectionCall),
    User(UserCall),
    Load(LoadCall),
    Record(RecordCall),
    Rent(RentCall),
    Order { machine: Name },
    Types,
    ReadTypes,
    WriteTypes,
    Probe,
    Relay,
}

impl Purpose {
    /// Whether the outcome concerns the present term only.
    pub fn belongs_to_term(&self) -> bool {
        matches!(self, Purpose::Load(_) | Purpose::Record(_) | Purpose::Rent(_) | Purpose::Order { .. })
    }
}

/// Calls to the state service that concern leadership.
#[derive(Clone, Debug)]
pub(crate) enum ElectionCall {
    Read,
    Watch,
    DeleteOwnKey,
    Lease { sent: Instant },
    Claim { lease: u64, sent: Instant },
    RenewLease { sent: Instant },
    EndLease,
}

/// Reads of the records, and the watch on jobs.
#[derive(Clone, Debug)]
pub(crate) enum LoadCall {
    Jobs,
    Segments,
    Pages,
    OpenMoves,
    Failover,
    Watch {
        sent: Instant,
    },
    /// The record of a job that others await.
    Dependency(Name),
}

/// What one transaction of the records writes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Batch {
    /// Tasks, and the attempt of those that have a place.
    pub tasks: Vec<(TaskKey, Option<u64>)>,
    /// Whether the last segment is written, and whether with new places.
    pub segment: bool,
    pub new_placements: bool,
    pub pages: Vec<(Name, u32)>,
    /// Values of the record of open moves, and the moves that wait for them, with their attempts.
    pub moves: Vec<usize>,
    pub waiting_moves: Vec<(TaskKey, u64)>,
    /// Whether the record of zones is written.
    pub failover: bool,
    pub closed_jobs: Vec<Name>,
    pub deleted_keys: Vec<String>,
}

/// Calls of the records.
#[derive(Clone, Debug)]
pub(crate) enum RecordCall {
    Write(Batch),
    ReadSegment,
    ReadJob(Name),
}

/// Calls to the cloud.
#[derive(Clone, Debug)]
pub(crate) enum RentCall {
    Rent(Rental),
    Release(Vec<Name>),
    List,
}

/// Calls to the state service on behalf of users.
#[derive(Clone, Debug)]
pub(crate) enum UserCall {
    /// Compares the versions of cached records.
    Compare {
        jobs: Vec<String>,
    },
    /// Reads a job's record for those who asked about it.
    Read {
        job: String,
        requests: Vec<RequestId>,
    },
    /// Reads the record of a job that others need, for a group of lookups.
    Refresh {
        job: String,
        group: u64,
    },
    /// Whether jobs that a submission awaits were accepted.
    Dependencies {
        admission: Admission,
        queried: Vec<String>,
    },
    Create(Creation),
    /// Before a refusal: an accepted job is never refused.
    Refuse {
        request: RequestId,
        job: String,
        answer: HttpResponse,
    },
    CancelRead {
        request: RequestId,
        job: String,
    },
    CancelWrite {
        request: RequestId,
        job: String,
        tasks: u32,
    },
}

/// A submission of which some dependencies are not yet known to have been accepted.
#[derive(Clone, Debug)]
pub(crate) struct Admission {
    pub request: RequestId,
    pub spec: Box<JobSpec>,
    /// Dependencies whose records were seen to exist, and may not be in the cache.
    pub accepted: BTreeSet<String>,
}

/// A job whose records are being created.
#[derive(Clone, Debug)]
pub(crate) struct Creation {
    pub request: RequestId,
    pub job: String,
    pub tasks: u32,
    pub dependencies: Arc<[String]>,
}
